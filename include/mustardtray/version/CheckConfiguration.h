#pragma once

/// Judges a configuration as a whole, against the platform's VM list, before it is accepted.

#include <vector>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// What a check found; each fault names the object and field by its pointer.
struct ConfigurationCheck
{
  FieldErrors m_errors;   ///< The configuration must not be accepted.
  FieldErrors m_warnings; ///< Allowed, but hardly meant.
};

/// Checks names, paths, ports, budgets and floors, and which VMs the selectors match. With an
/// empty VM list nothing that depends on it is checked, and a warning says so.
ConfigurationCheck CheckConfiguration(const Configuration& aConfiguration,
                                      const std::vector<VmListing>& aVms);

} // namespace mustardtray
