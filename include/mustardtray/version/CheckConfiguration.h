#pragma once

/// Validates a whole configuration against the platform's VM list before it is accepted.

#include <vector>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// Faults that a check found, each with the JSON pointer of the field.
struct ConfigurationCheckResult
{
  FieldErrors m_errors;   ///< The configuration must not be accepted.
  FieldErrors m_warnings; ///< Accepted, but probably a mistake.
};

/// Checks references to pools, paths, ports, budgets, queue floors and which VMs the selectors
/// match. An empty VM list skips every check that depends on it and adds a warning.
ConfigurationCheckResult CheckConfiguration(const Configuration& aConfiguration,
                                            const std::vector<VmListing>& aVms);

} // namespace mustardtray
