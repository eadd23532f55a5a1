#pragma once

/// Updates VM rows to match the platform's VM list and the configured labels.

#include <optional>
#include <string>

#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

/// Builds the transaction that creates the row of a target VM that the platform lists. Returns
/// nothing when the row exists or when no pool's selector matches the VM.
std::optional<Transaction> PlanAdoption(const FleetState& aState, const std::string& aVm);

/// Builds the transaction that copies a changed address or rack to the VM row. Returns nothing when
/// neither has changed. The address is not copied while the list is inconsistent about the VM.
std::optional<Transaction> PlanListingUpdate(const FleetState& aState, const std::string& aVm);

/// Builds the transaction that deletes the row of a VM that is gone and that no pool's selector
/// matches any longer. Returns nothing for any other VM.
std::optional<Transaction> PlanRetirement(const FleetState& aState, const std::string& aVm);

/// Builds the transaction that sets the home pool of a VM that is already in that pool.
Transaction PlanHomePoolChange(const FleetState& aState,
                               const std::string& aVm,
                               const std::string& aHomePool);

} // namespace mustardtray
