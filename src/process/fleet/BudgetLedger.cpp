#include "mustardtray/process/fleet/BudgetLedger.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardtray {

namespace {

Error RefusedError(const std::string& aVm, std::string aReason)
{
  return Error{ ErrorKind::Refused, "take VM out", aVm, std::move(aReason) };
}

const std::vector<std::string>& ServicesOf(const FleetState& aState, const std::string& aVm)
{
  static const std::vector<std::string> sNoServices;
  const auto found = aState.m_index.m_servicesByVm.find(aVm);
  return found == aState.m_index.m_servicesByVm.end() ? sNoServices : found->second;
}

/// Minions of one service in one zone.
struct ZoneCount
{
  int m_members = 0;
  int m_othersAvailable = 0; ///< Available ones, without the VM in question.
};

ZoneCount CountZoneMinions(const FleetState& aState,
                           const std::string& aService,
                           const VmRecord& aVm)
{
  ZoneCount count;
  const LedgerRecord ledger = aState.m_view.Ledger(aService).m_value;
  const auto members = aState.m_index.m_vmsByService.find(aService);
  if (members == aState.m_index.m_vmsByService.end()) {
    return count;
  }
  for (const std::string& name : members->second) {
    const VmRecord& member = *aState.m_view.Vm(name);
    if (member.m_zone != aVm.m_zone || IsJoining(member)) {
      continue;
    }
    ++count.m_members;
    const bool isOut = ledger.m_planned.contains(name) || ledger.m_down.contains(name);
    count.m_othersAvailable += name != aVm.m_name && !isOut ? 1 : 0;
  }
  return count;
}

std::optional<std::string> FindBudgetBlocker(const FleetState& aState,
                                             const ServiceConfig& aService,
                                             const LedgerRecord& aLedger)
{
  const FleetSafetyRules& rules = aState.m_policy.m_rules;
  const int reserve = rules.m_keepFailureReserve ? aService.m_budget.m_failureReserve : 0;
  const int planned = static_cast<int>(aLedger.m_planned.size());
  const int out = rules.m_countUnplannedOutages ? aLedger.CountUnavailable() : planned;
  const int allowed = aService.m_budget.m_maxUnavailable - reserve;
  if (!rules.m_enforceBudget || out + 1 <= allowed) {
    return std::nullopt;
  }
  return fmt::format(
    "service {} has {} unavailable VMs ({} planned, {} down); its budget allows {} "
    "with {} reserved for failures",
    aService.m_name,
    out,
    planned,
    aLedger.m_down.size(),
    aService.m_budget.m_maxUnavailable,
    reserve);
}

/// A VM that is down already counts in every ledger, so its planned stop uses no additional budget.
std::optional<std::string> FindServiceBlocker(const FleetState& aState,
                                              const std::string& aService,
                                              const VmRecord& aVm)
{
  const ServiceConfig& service = aState.m_configuration.m_services.at(aService);
  const LedgerRecord ledger = aState.m_view.Ledger(aService).m_value;
  const FleetSafetyRules& rules = aState.m_policy.m_rules;
  if (rules.m_refuseOlderConfig && ledger.m_configVersion > aState.m_configuration.m_version) {
    return fmt::format(
      "the ledger of service {} is based on configuration {}, this node has older configuration {}",
      aService,
      ledger.m_configVersion,
      aState.m_configuration.m_version);
  }
  if (aVm.m_isDown && ledger.m_down.contains(aVm.m_name)) {
    return std::nullopt;
  }
  if (auto reason = FindBudgetBlocker(aState, service, ledger)) {
    return reason;
  }
  const ZoneCount zone = CountZoneMinions(aState, aService, aVm);
  if (rules.m_keepMinionPerZone && zone.m_members > 1 && zone.m_othersAvailable == 0) {
    return fmt::format(
      "service {} has no other minion available in availability zone {}", aService, aVm.m_zone);
  }
  return std::nullopt;
}

/// Builds the transaction for one change of a VM row, with the resulting changes of ledger and pool
/// rows.
class VmTransactionBuilder
{
public:
  VmTransactionBuilder(const FleetState& aState, const VmRecord& aBefore, const VmRecord& aAfter)
    : m_state(aState)
    , m_before(aBefore)
    , m_after(aAfter)
  {
  }

  Transaction Build()
  {
    UpdatePlannedEntries();
    UpdateDownEntries();
    UpdatePoolRows();
    Transaction transaction;
    const std::string& vm = m_before.m_name;
    AddCheckedWrite(transaction, kVmRowPrefix, vm, m_state.m_view.m_vms.at(vm).m_version, m_after);
    AddRows(
      transaction, kLedgerRowPrefix, m_ledgers, m_state.m_policy.m_rules.m_checkLedgerVersions);
    AddRows(transaction, kPoolRowPrefix, m_pools, true);
    return transaction;
  }

private:
  LedgerRecord& Ledger(const std::string& aService)
  {
    const auto row = m_state.m_view.Ledger(aService);
    return m_ledgers.try_emplace(aService, row).first->second.m_value;
  }

  PoolRecord& Pool(const std::string& aPool)
  {
    return m_pools.try_emplace(aPool, m_state.m_view.Pool(aPool)).first->second.m_value;
  }

  void UpdatePlannedEntries()
  {
    for (const std::string& service : m_after.m_services) {
      LedgerRecord& ledger = Ledger(service);
      ledger.m_planned[m_before.m_name] = m_after.m_operationId;
      ledger.m_configVersion = std::max(ledger.m_configVersion, m_state.m_configuration.m_version);
    }
    for (const std::string& service : m_before.m_services) {
      if (m_after.m_services.empty()) {
        Ledger(service).m_planned.erase(m_before.m_name);
      }
    }
  }

  void UpdateDownEntries()
  {
    const bool hasMoved = m_before.m_pool != m_after.m_pool;
    if (m_before.m_isDown == m_after.m_isDown && !hasMoved) {
      return;
    }
    for (const std::string& service : ServicesOf(m_state, m_before.m_name)) {
      if (m_after.m_isDown && !hasMoved) {
        Ledger(service).m_down.insert(m_before.m_name);
      } else {
        Ledger(service).m_down.erase(m_before.m_name);
      }
    }
  }

  void UpdatePoolRows()
  {
    const std::string& vm = m_before.m_name;
    const bool isBegin = !m_before.IsOut() && m_after.m_operation == VmOperation::Move;
    const bool isEnd = m_before.m_operation == VmOperation::Move && !m_after.IsOut();
    if (isBegin) {
      Pool(m_after.m_pool).m_leaving[vm] = m_after.m_operationId;
      Pool(m_after.m_targetPool).m_joining[vm] = m_after.m_operationId;
    } else if (m_before.m_pool != m_after.m_pool) {
      Pool(m_before.m_pool).m_leaving.erase(vm);
    } else if (isEnd && IsJoining(m_before)) {
      Pool(m_after.m_pool).m_joining.erase(vm);
    } else if (isEnd) {
      Pool(m_before.m_pool).m_leaving.erase(vm);
      Pool(m_before.m_targetPool).m_joining.erase(vm);
    }
  }

  template<typename T>
  static void AddRows(Transaction& aTransaction,
                      std::string_view aPrefix,
                      const std::map<std::string, Versioned<T>>& aRows,
                      bool aIsChecked)
  {
    for (const auto& [name, row] : aRows) {
      AddCheckedWrite(aTransaction, aPrefix, name, row.m_version, row.m_value);
      if (!aIsChecked) {
        aTransaction.m_checks.pop_back();
      }
    }
  }

  const FleetState& m_state;
  const VmRecord& m_before;
  const VmRecord& m_after;
  std::map<std::string, Versioned<LedgerRecord>> m_ledgers;
  std::map<std::string, Versioned<PoolRecord>> m_pools;
};

std::optional<std::string> FindBeginBlocker(const FleetState& aState,
                                            const VmRecord& aVm,
                                            VmOperation aOperation)
{
  if (auto reason = FindTakeOutBlocker(aState, aVm.m_name)) {
    return reason;
  }
  if (aOperation == VmOperation::Move) {
    return FindPoolMinimumBlocker(aState, aVm.m_name);
  }
  return std::nullopt;
}

/// Returns whether the service's ledger has to count the VM as a planned stop.
bool IsPlannedOut(const FleetState& aState, const std::string& aService, const VmRecord& aVm)
{
  const auto& services = ServicesOf(aState, aVm.m_name);
  const bool isMember = std::find(services.begin(), services.end(), aService) != services.end();
  return isMember && aVm.IsOut() && !IsJoining(aVm);
}

/// Returns the VMs for which the ledger and the VM rows may differ.
std::set<std::string> VmsToCompare(const FleetState& aState,
                                   const std::string& aService,
                                   const LedgerRecord& aLedger)
{
  std::set<std::string> names = aLedger.m_down;
  for (const auto& [vm, operation] : aLedger.m_planned) {
    names.insert(vm);
  }
  const auto members = aState.m_index.m_vmsByService.find(aService);
  if (members != aState.m_index.m_vmsByService.end()) {
    names.insert(members->second.begin(), members->second.end());
  }
  return names;
}

/// Returns a copy of the record with the service added to or removed from those whose ledgers count
/// its planned stop.
VmRecord WithService(const VmRecord& aVm, const std::string& aService, bool aIsCounted)
{
  VmRecord changed = aVm;
  std::erase(changed.m_services, aService);
  if (aIsCounted) {
    changed.m_services.push_back(aService);
    std::sort(changed.m_services.begin(), changed.m_services.end());
  }
  return changed;
}

/// Corrects the ledger entry of one VM. Returns whether the ledger changed.
bool RepairEntry(const FleetState& aState,
                 const std::string& aService,
                 const std::string& aVm,
                 LedgerRecord& aLedger,
                 Transaction& aTransaction)
{
  const LedgerRecord before = aLedger;
  const VmRecord* vm = aState.m_view.Vm(aVm);
  const bool isPlanned = vm && IsPlannedOut(aState, aService, *vm);
  const auto& services = ServicesOf(aState, aVm);
  const bool isMember = std::find(services.begin(), services.end(), aService) != services.end();
  aLedger.m_planned.erase(aVm);
  aLedger.m_down.erase(aVm);
  if (isPlanned) {
    aLedger.m_planned[aVm] = vm->m_operationId;
  }
  if (vm && vm->m_isDown && isMember && !IsJoining(*vm)) {
    aLedger.m_down.insert(aVm);
  }
  if (aLedger == before) {
    return false;
  }
  if (!vm) {
    aTransaction.m_checks.push_back(RowCheck{ std::string(kVmRowPrefix) + aVm, 0 });
    return true;
  }
  const VmRecord changed = WithService(*vm, aService, isPlanned);
  AddCheckedWrite(aTransaction, kVmRowPrefix, aVm, aState.m_view.m_vms.at(aVm).m_version, changed);
  return true;
}

} // namespace

bool FleetState::IsListed(const std::string& aVm, VmState aState) const
{
  const ReconciledVm* reconciledVm = m_inventory ? m_inventory->Find(aVm) : nullptr;
  return reconciledVm && reconciledVm->m_listing.m_state == aState;
}

std::optional<std::string> FindTakeOutBlocker(const FleetState& aState, const std::string& aVm)
{
  const VmRecord* vm = aState.m_view.Vm(aVm);
  if (!vm) {
    return "the VM has no row";
  }
  for (const std::string& service : ServicesOf(aState, aVm)) {
    if (auto reason = FindServiceBlocker(aState, service, *vm)) {
      return reason;
    }
  }
  return std::nullopt;
}

std::optional<std::string> FindPoolMinimumBlocker(const FleetState& aState, const std::string& aVm)
{
  const std::string& pool = aState.m_view.Vm(aVm)->m_pool;
  const auto config = aState.m_configuration.m_pools.find(pool);
  if (config == aState.m_configuration.m_pools.end() ||
      !aState.m_policy.m_rules.m_keepPoolMinimum) {
    return std::nullopt;
  }
  const auto members = aState.m_index.m_vmsByPool.find(pool);
  const std::size_t count =
    members == aState.m_index.m_vmsByPool.end() ? 0 : members->second.size();
  const PoolRecord record = aState.m_view.Pool(pool).m_value;
  const int left = static_cast<int>(count) - static_cast<int>(record.m_leaving.size()) - 1;
  if (left >= config->second.m_minVms) {
    return std::nullopt;
  }
  return fmt::format(
    "pool {} would keep {} VMs, below its minimum of {}", pool, left, config->second.m_minVms);
}

Result<Transaction> PlanVmEvent(const FleetState& aState,
                                const std::string& aVm,
                                const VmEvent& aEvent)
{
  const VmRecord* before = aState.m_view.Vm(aVm);
  if (!before) {
    return Error{ ErrorKind::NotFound, "change VM phase", aVm, "the VM has no row" };
  }
  VmEvent event = aEvent;
  if (event.m_kind == VmEventKind::Begin) {
    event.m_services = ServicesOf(aState, aVm);
  }
  auto after = ApplyVmEvent(*before, event);
  if (!after) {
    return after.error();
  }
  if (after.value() == *before) {
    return Transaction{};
  }
  if (event.m_kind == VmEventKind::Begin) {
    if (auto reason = FindBeginBlocker(aState, *before, event.m_operation)) {
      return RefusedError(aVm, std::move(*reason));
    }
  }
  return VmTransactionBuilder(aState, *before, after.value()).Build();
}

std::optional<Transaction> PlanLedgerRepair(const FleetState& aState, const std::string& aService)
{
  Versioned<LedgerRecord> row = aState.m_view.Ledger(aService);
  if (row.m_value.m_configVersion > aState.m_configuration.m_version) {
    return std::nullopt;
  }
  Transaction transaction;
  bool isChanged = false;
  for (const std::string& vm : VmsToCompare(aState, aService, row.m_value)) {
    isChanged = RepairEntry(aState, aService, vm, row.m_value, transaction) || isChanged;
  }
  if (!isChanged) {
    return std::nullopt;
  }
  row.m_value.m_configVersion = aState.m_configuration.m_version;
  AddCheckedWrite(transaction, kLedgerRowPrefix, aService, row.m_version, row.m_value);
  return transaction;
}

} // namespace mustardtray
