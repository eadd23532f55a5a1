#pragma once

/// Tells an operator where a VM stands.

#include <string>
#include <vector>

#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

/// Pool, phase, operation, and what the platform's list says of the VM that cannot be; one line
/// each.
std::vector<std::string> ExplainVm(const FleetState& aState, const std::string& aVm);

} // namespace mustardtray
