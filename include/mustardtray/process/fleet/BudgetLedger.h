#pragma once

/// Checks availability budgets before a VM is taken out of service, and builds the transaction that
/// updates the VM row and the ledger rows together.

#include <optional>
#include <string>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/fleet/FleetPolicy.h"
#include "mustardtray/process/fleet/FleetView.h"
#include "mustardtray/process/fleet/VmInventory.h"
#include "mustardtray/process/fleet/VmLifeCycle.h"

namespace mustardtray {

/// Input of the planning functions. The view may be stale: each transaction checks the versions of
/// all rows that its decision depends on.
struct FleetState
{
  const FleetView& m_view;
  const FleetIndex& m_index;
  const Configuration& m_configuration;
  const FleetPolicy& m_policy;
  const VmInventory* m_inventory = nullptr; ///< The platform's VM list; nullptr when unknown.

  /// Returns whether the reconciled VM list has the VM in the given state.
  bool IsListed(const std::string& aVm, VmState aState) const;
};

/// Returns the reason why a planned stop of the VM would violate a budget, or nothing when the stop
/// is allowed.
std::optional<std::string> FindTakeOutBlocker(const FleetState& aState, const std::string& aVm);

/// Returns the reason why moving the VM away would leave its pool below the minimum, or nothing
/// when the move is allowed. The VM must have a row.
std::optional<std::string> FindPoolMinimumBlocker(const FleetState& aState, const std::string& aVm);

/// Builds the transaction that applies an event to the VM row and to the ledger and pool rows that
/// depend on it. The transaction has no writes when the event has already been applied. Errors:
/// Refused with the reason, NotFound for a VM without a row, and those of ApplyVmEvent.
Result<Transaction> PlanVmEvent(const FleetState& aState,
                                const std::string& aVm,
                                const VmEvent& aEvent);

/// Builds the transaction that makes the ledger of a service match the VM rows after labels or
/// selectors have changed. Returns nothing when they match, or when the ledger was already written
/// under a newer configuration.
std::optional<Transaction> PlanLedgerRepair(const FleetState& aState, const std::string& aService);

/// Adds a write of aValue to the row, and a check that the row still has version aVersion. Version
/// 0 means that the row must not exist.
template<typename T>
void AddCheckedWrite(Transaction& aTransaction,
                     std::string_view aPrefix,
                     const std::string& aName,
                     std::uint64_t aVersion,
                     const T& aValue)
{
  std::string key = std::string(aPrefix) + aName;
  aTransaction.m_checks.push_back(RowCheck{ key, aVersion });
  aTransaction.m_writes.push_back(RowWrite{ std::move(key), ToJson(aValue) });
}

} // namespace mustardtray
