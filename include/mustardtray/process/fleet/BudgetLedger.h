#pragma once

/// The availability budgets: whether a VM may be taken out, and the one transaction over the VM
/// row and the ledger rows that does it.

#include <optional>
#include <string>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/fleet/FleetPolicy.h"
#include "mustardtray/process/fleet/FleetView.h"
#include "mustardtray/process/fleet/VmInventory.h"
#include "mustardtray/process/fleet/VmLifeCycle.h"

namespace mustardtray {

/// What the planning functions decide on. The view may be stale: each transaction checks the
/// versions of all rows that the decision depends on.
struct FleetState
{
  const FleetView& m_view;
  const FleetIndex& m_index;
  const Configuration& m_configuration;
  const FleetPolicy& m_policy;
  const VmInventory* m_inventory = nullptr; ///< The platform's list, when it is known.

  /// Whether the platform lists the VM in that state.
  bool IsListed(const std::string& aVm, VmState aState) const;
};

/// Why a planned stop of the VM would break a budget; nothing when it would not.
std::optional<std::string> RefuseTakeOut(const FleetState& aState, const std::string& aVm);

/// Why a move would leave the VM's pool below its minimum; nothing when it would not.
std::optional<std::string> RefuseLeavePool(const FleetState& aState, const std::string& aVm);

/// The transaction that carries out an event: the VM row, and the ledger and pool rows that the
/// event touches. It has no writes when the event has been applied before. Errors: Refused with the
/// reason, NotFound for a VM without a row, and those of ApplyVmEvent.
Result<Transaction> PlanVmEvent(const FleetState& aState,
                                const std::string& aVm,
                                const VmEvent& aEvent);

/// Brings the ledger of a service in line with the VM rows after changes of labels or selectors;
/// nothing when it is in line, or when a newer configuration has judged it already.
std::optional<Transaction> PlanLedgerRepair(const FleetState& aState, const std::string& aService);

/// Checks that the row still has the version of aRow, and writes aValue.
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
