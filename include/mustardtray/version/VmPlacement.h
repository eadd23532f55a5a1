#pragma once

/// Which pool and services the labels of a VM give it.

#include <string>
#include <vector>

#include "mustardtray/process/Platform.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// A target VM as the selectors see it.
struct LabelledVm
{
  VmListing m_listing;
  Labels m_labels; ///< Configured labels, and those that the platform gives.
};

/// Configured labels of a VM, with its name, zone and rack.
Labels LabelsOf(const Configuration& aConfiguration, const VmListing& aVm);

/// Target VMs of the platform's list that are not gone, each once, by name.
std::vector<LabelledVm> LabelTargetVms(const Configuration& aConfiguration,
                                       const std::vector<VmListing>& aVms);

/// Names of the pools whose selector matches; a checked configuration gives at most one.
std::vector<std::string> MatchingPools(const Configuration& aConfiguration, const Labels& aLabels);

/// True when the service runs a minion on a VM with these labels in that pool.
bool RunsOn(const ServiceConfig& aService, const std::string& aPool, const Labels& aLabels);

} // namespace mustardtray
