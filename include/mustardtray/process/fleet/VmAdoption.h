#pragma once

/// Brings VM rows in line with the platform's list and with the operators' labels.

#include <optional>
#include <string>

#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

/// Creates the row of a VM that is configured and listed; nothing when it has one or when no pool's
/// selector matches it.
std::optional<Transaction> PlanAdoption(const FleetState& aState, const std::string& aVm);

/// Takes over a changed address or rack; nothing when there is none, or when the list contradicts
/// itself about the VM.
std::optional<Transaction> PlanListing(const FleetState& aState, const std::string& aVm);

/// Removes the row of a VM that is gone and that the configuration no longer knows.
std::optional<Transaction> PlanRetirement(const FleetState& aState, const std::string& aVm);

/// Writes the home pool of a VM that is in that pool already.
Transaction PlanHomePool(const FleetState& aState,
                         const std::string& aVm,
                         const std::string& aHomePool);

} // namespace mustardtray
