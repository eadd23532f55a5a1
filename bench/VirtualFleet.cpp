#include "bench/VirtualFleet.h"

#include <algorithm>

namespace mustardtray {

namespace {

constexpr Millis kSecond{ 1'000 };
constexpr int kWorkInFlight = 2;

} // namespace

VirtualFleet::VirtualFleet(VirtualTime& aTime, Configuration aConfiguration, std::uint64_t aSeed)
  : m_time(aTime)
  , m_configuration(std::move(aConfiguration))
  , m_random(aSeed)
{
  CountExceedances();
}

void VirtualFleet::AddVm(const VmListing& aListing)
{
  m_listings[aListing.m_name] = aListing;
  if (aListing.m_role == VmRole::Target) {
    const Labels labels = LabelsOf(m_configuration, aListing);
    m_targets[aListing.m_name].m_runningPool = PoolByLabels(m_configuration, labels);
    return;
  }
  EntryVm& entryVm = m_entryVms[aListing.m_name];
  entryVm.m_identity.m_entryVm = aListing.m_name;
  entryVm.m_identity.m_address = aListing.m_address;
  entryVm.m_identity.m_zone = aListing.m_zone;
  entryVm.m_identity.m_incarnation = 1;
  std::uniform_int_distribution<std::int64_t> offset(0, m_times.m_entryPeriod.count());
  m_time.After(Millis(offset(m_random)), [this, name = aListing.m_name] { RunEntryVm(name); });
}

void VirtualFleet::Crash(const std::string& aVm, Millis aDuration)
{
  Target& target = m_targets.at(aVm);
  target.m_isCrashed = true;
  target.m_changed = m_time.Now();
  for (auto& [name, entryVm] : m_entryVms) {
    entryVm.m_targets[aVm].m_inFlight = 0;
    entryVm.m_busyUntil[aVm] = m_time.Now();
  }
  m_time.After(aDuration, [this, &target] {
    target.m_isCrashed = false;
    target.m_changed = m_time.Now();
  });
}

void VirtualFleet::FailReboots(const std::string& aVm, int aCount)
{
  m_targets.at(aVm).m_failingReboots = aCount;
}

void VirtualFleet::SetCutOff(const std::string& aEntryVm, bool aIsCutOff)
{
  m_entryVms.at(aEntryVm).m_isCutOff = aIsCutOff;
}

void VirtualFleet::EndEntryVm(const std::string& aEntryVm)
{
  m_entryVms.at(aEntryVm).m_isGone = true;
  m_entryVms.at(aEntryVm).m_targets.clear();
}

void VirtualFleet::SetListed(const std::string& aVm, VmState aState)
{
  m_listings.at(aVm).m_state = aState;
}

Commit VirtualFleet::Transact(const Transaction& aTransaction)
{
  const Commit commit = m_table.Transact(aTransaction);
  if (!commit.m_isCommitted) {
    return commit;
  }
  const auto before = WrittenVms(aTransaction);
  const ScanPage page = m_table.Scan("", m_revision);
  m_revision = page.m_revision;
  m_view.Apply(page);
  if (!before.empty()) {
    m_index = BuildFleetIndex(m_view, m_configuration);
  }
  for (const auto& [name, vm] : before) {
    CheckCommit(vm, name);
  }
  return commit;
}

ActionState VirtualFleet::RunVmAction(const VmActionRequest& aRequest)
{
  const auto known = m_actions.find(aRequest.m_operationId);
  if (known != m_actions.end()) {
    return known->second;
  }
  if (!BeginAction(aRequest)) {
    m_actions[aRequest.m_operationId] = ActionState::Failed;
    return ActionState::Failed;
  }
  m_actions[aRequest.m_operationId] = ActionState::Running;
  m_time.After(DurationOf(aRequest), [this, aRequest] { EndAction(aRequest); });
  return ActionState::Running;
}

std::vector<VmListing> VirtualFleet::ListVms() const
{
  std::vector<VmListing> list;
  for (const auto& [name, listing] : m_listings) {
    list.push_back(listing);
  }
  return list;
}

bool VirtualFleet::IsMaintained(std::uint64_t aWaveNumber) const
{
  return std::all_of(m_view.m_vms.begin(), m_view.m_vms.end(), [&](const auto& aVm) {
    const VmRecord& vm = aVm.second.m_value;
    return vm.m_lastRebootWave >= aWaveNumber && !vm.IsOut();
  });
}

void VirtualFleet::RunEntryVm(const std::string& aName)
{
  EntryVm& entryVm = m_entryVms.at(aName);
  if (entryVm.m_isGone) {
    return;
  }
  m_time.After(m_times.m_entryPeriod, [this, aName] { RunEntryVm(aName); });
  const bool isReading = !entryVm.m_isCutOff && !m_isStoreDown;
  const bool isRegistered = entryVm.m_written.has_value();
  if (isReading && isRegistered) {
    const ScanPage page = m_table.Scan(std::string(kVmRowPrefix), entryVm.m_revision);
    entryVm.m_revision = page.m_revision;
    entryVm.m_view.Apply(page);
  }
  for (const auto& [name, row] : entryVm.m_view.m_vms) {
    if (row.m_value.m_zone == entryVm.m_identity.m_zone) {
      UpdateTarget(entryVm, row.m_value);
    }
  }
  if (isReading) {
    WriteReport(entryVm);
  }
}

void VirtualFleet::UpdateTarget(EntryVm& aEntryVm, const VmRecord& aVm)
{
  const Target& target = m_targets.at(aVm.m_name);
  const TimePoint now = m_time.Now();
  LocalTargetStatus& local = aEntryVm.m_targets[aVm.m_name];
  const bool isNoticed = now - target.m_changed >= m_times.m_noticeDown;
  if (target.IsUp()) {
    local.m_health = VmHealth::Healthy;
  } else if (isNoticed) {
    local.m_health = VmHealth::Unreachable;
  }
  if (!aVm.IsOut()) {
    local.m_inFlight = target.IsUp() ? kWorkInFlight : 0;
    aEntryVm.m_busyUntil.erase(aVm.m_name);
    return;
  }
  if (!aEntryVm.m_busyUntil.contains(aVm.m_name)) {
    std::uniform_int_distribution<std::int64_t> rest(0, m_times.m_drainMost.count());
    const Millis busy(rest(m_random));
    aEntryVm.m_busyUntil[aVm.m_name] = now + busy;
    m_outTimes[aVm.m_name] = std::max(m_outTimes[aVm.m_name], busy);
  }
  if (now >= aEntryVm.m_busyUntil[aVm.m_name]) {
    local.m_inFlight = 0;
  }
}

void VirtualFleet::WriteReport(EntryVm& aEntryVm)
{
  const EntryReport report =
    BuildEntryReport(aEntryVm.m_identity, aEntryVm.m_view, aEntryVm.m_targets);
  if (report == aEntryVm.m_written) {
    return;
  }
  Transaction transaction;
  transaction.m_writes.push_back(
    RowWrite{ std::string(kReportRowPrefix) + report.m_entryVm, ToJson(report) });
  Transact(transaction);
  aEntryVm.m_written = report;
}

int VirtualFleet::InFlight(const std::string& aVm) const
{
  int count = 0;
  for (const auto& [name, entryVm] : m_entryVms) {
    const auto found = entryVm.m_targets.find(aVm);
    count += found == entryVm.m_targets.end() ? 0 : found->second.m_inFlight;
  }
  return count;
}

Millis VirtualFleet::DurationOf(const VmActionRequest& aRequest)
{
  Millis duration = m_times.m_stop;
  if (aRequest.m_action == VmAction::Start) {
    duration = m_times.m_start;
  } else if (aRequest.m_action == VmAction::Reboot) {
    std::uniform_int_distribution<std::int64_t> reboot(m_times.m_rebootLeast.count(),
                                                       m_times.m_rebootMost.count());
    duration = Millis(reboot(m_random));
  }
  m_outTimes[aRequest.m_vm] += duration;
  return duration;
}

bool VirtualFleet::BeginAction(const VmActionRequest& aRequest)
{
  const Target& target = m_targets.at(aRequest.m_vm);
  if (aRequest.m_action == VmAction::Stop) {
    m_faults.m_stopsWithWork += target.IsUp() && InFlight(aRequest.m_vm) > 0 ? 1 : 0;
  }
  if (aRequest.m_action == VmAction::Start) {
    const bool isForeign = !target.m_runningPool.empty() && target.m_runningPool != aRequest.m_pool;
    const bool isUnknown = m_view.Vm(aRequest.m_vm)->m_pool != aRequest.m_pool;
    m_faults.m_twoPools += isForeign || isUnknown ? 1 : 0;
  }
  return aRequest.m_action == VmAction::Reboot || !target.m_isCrashed;
}

void VirtualFleet::EndAction(const VmActionRequest& aRequest)
{
  Target& target = m_targets.at(aRequest.m_vm);
  bool isDone = aRequest.m_action == VmAction::Reboot || !target.m_isCrashed;
  if (aRequest.m_action == VmAction::Reboot && target.m_failingReboots > 0) {
    --target.m_failingReboots;
    isDone = false;
  }
  if (isDone) {
    target.m_isCrashed = false;
    target.m_runningPool = aRequest.m_action == VmAction::Start ? aRequest.m_pool : std::string();
    target.m_changed = m_time.Now();
  }
  m_actions[aRequest.m_operationId] = isDone ? ActionState::Done : ActionState::Failed;
}

std::map<std::string, VmRecord> VirtualFleet::WrittenVms(const Transaction& aTransaction) const
{
  std::map<std::string, VmRecord> written;
  for (const RowWrite& write : aTransaction.m_writes) {
    if (write.m_key.starts_with(kVmRowPrefix)) {
      const std::string name = write.m_key.substr(kVmRowPrefix.size());
      const VmRecord* before = m_view.Vm(name);
      written[name] = before ? *before : VmRecord{};
    }
  }
  return written;
}

void VirtualFleet::CheckCommit(const VmRecord& aBefore, const std::string& aVm)
{
  const VmRecord* found = m_view.Vm(aVm);
  if (!found || aBefore.m_name.empty()) {
    return;
  }
  const VmRecord& after = *found;
  if (!aBefore.IsOut() && after.IsOut()) {
    CheckTakeOut(aVm);
  }
  if (aBefore.m_pool != after.m_pool) {
    ++(after.m_pool == after.m_homePool ? m_returns : m_moves);
    m_faults.m_twoPools += m_targets.at(aVm).m_runningPool.empty() ? 0 : 1;
    const auto members = m_index.m_vmsByPool.find(aBefore.m_pool);
    const int left =
      members == m_index.m_vmsByPool.end() ? 0 : static_cast<int>(members->second.size());
    const bool isBelow = left < m_configuration.m_pools.at(aBefore.m_pool).m_minVms;
    m_faults.m_poolBelowMinimum += isBelow ? 1 : 0;
  }
}

void VirtualFleet::CheckTakeOut(const std::string& aVm)
{
  const auto services = m_index.m_servicesByVm.find(aVm);
  if (services == m_index.m_servicesByVm.end() || m_view.Vm(aVm)->m_isDown) {
    return;
  }
  for (const std::string& service : services->second) {
    int out = 0;
    for (const std::string& name : m_index.m_vmsByService.at(service)) {
      const VmRecord& vm = *m_view.Vm(name);
      out += (vm.IsOut() && !IsJoining(vm)) || vm.m_isDown ? 1 : 0;
    }
    const int allowed = m_configuration.m_services.at(service).m_budget.m_maxUnavailable;
    m_faults.m_budgetViolations += out > allowed ? 1 : 0;
  }
}

void VirtualFleet::CountExceedances()
{
  m_time.After(kSecond, [this] { CountExceedances(); });
  for (const auto& [service, members] : m_index.m_vmsByService) {
    const auto out = std::count_if(members.begin(), members.end(), [this](const auto& aName) {
      const VmRecord& vm = *m_view.Vm(aName);
      return !IsServing(vm) && !IsJoining(vm);
    });
    const int allowed = m_configuration.m_services.at(service).m_budget.m_maxUnavailable;
    m_faults.m_budgetExceedances += out > allowed ? 1 : 0;
  }
}

bool VirtualFleet::IsServing(const VmRecord& aVm) const
{
  return !aVm.IsOut() && m_targets.at(aVm.m_name).IsUp();
}

} // namespace mustardtray
