#pragma once

/// Describes the state of a VM for operators.

#include <string>
#include <vector>

#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

/// Returns the pool, phase and operation of the VM and the inconsistencies in the platform's list
/// about it, one line each.
std::vector<std::string> ExplainVm(const FleetState& aState, const std::string& aVm);

} // namespace mustardtray
