#pragma once

/// Maps the labels of VMs to pools and services.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mustardtray/process/Platform.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// A target VM with the labels that selectors are matched against.
struct LabelledVm
{
  VmListing m_listing;
  Labels m_labels; ///< Configured labels and those from the platform's list.
};

/// Returns the configured labels of a VM together with its name, zone and rack labels.
Labels LabelsOf(const Configuration& aConfiguration, const VmListing& aVm);

/// Returns the target VMs of the platform's list that are not gone, sorted by name without
/// duplicates.
std::vector<LabelledVm> LabelTargetVms(const Configuration& aConfiguration,
                                       const std::vector<VmListing>& aVms);

/// Finds the pools that match a label set without testing every pool: each pool is indexed by the
/// values of one label key of its selector.
class PoolMatcher
{
public:
  /// aConfiguration must outlive the matcher.
  explicit PoolMatcher(const Configuration& aConfiguration);

  /// Returns the sorted names of the pools whose selector matches. A valid configuration has at
  /// most one.
  std::vector<std::string> Match(const Labels& aLabels) const;

private:
  std::vector<const PoolConfig*> m_matchAll; ///< Pools with an empty selector.
  std::map<std::pair<std::string, std::string>, std::vector<const PoolConfig*>> m_poolsByLabel;
};

/// Finds the matching pools of a single VM by testing every pool, without building an index.
std::vector<std::string> FindMatchingPools(const Configuration& aConfiguration,
                                           const Labels& aLabels);

/// True when the service runs a minion on a VM that is in aPool and has aLabels.
bool RunsOn(const ServiceConfig& aService, const std::string& aPool, const Labels& aLabels);

} // namespace mustardtray
