#include "mustardtray/process/fleet/FleetDecider.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/process/fleet/VmAdoption.h"
#include "mustardtray/process/fleet/VmExplanation.h"

namespace mustardtray {

namespace {

constexpr const char* kOperationsScope = "operations"; ///< All that belongs to no wave.
constexpr const char* kMovesScope = "moves";
constexpr std::size_t kKeptActions = 1'000; ///< States that can be asked for again.
constexpr std::size_t kKeptWaves = 50;      ///< Ended waves that stay in the table.

std::string WaveScope(std::uint64_t aNumber)
{
  return fmt::format("wave-{:012}", aNumber);
}

bool IsEnded(WaveState aState)
{
  return aState == WaveState::Done || aState == WaveState::Cancelled;
}

/// Whether the VM should be reachable, so that its absence is a crash and not part of a reboot.
bool IsExpectedUp(const VmRecord& aVm)
{
  return aVm.m_phase == VmPhase::Active || aVm.m_phase == VmPhase::Draining ||
         aVm.m_operation == VmOperation::Hold;
}

} // namespace

FleetDecider::FleetDecider(std::string aNode, FleetPolicy aPolicy)
  : m_policy(aPolicy)
  , m_configuration(std::make_shared<Configuration>())
  , m_inventory(aPolicy.m_vanishGrace)
  , m_goneNodeDetector(aNode)
  , m_leases(std::move(aNode))
{
}

void FleetDecider::SetConfiguration(std::shared_ptr<const Configuration> aConfiguration)
{
  m_configuration = std::move(aConfiguration);
  m_index = BuildFleetIndex(m_view, *m_configuration);
}

void FleetDecider::TakeRows(const ScanPage& aPage, TimePoint aNow)
{
  if (aPage.m_rows.empty() && aPage.m_deleted.empty()) {
    return;
  }
  m_view.Apply(aPage);
  bool hasVms = !aPage.m_deleted.empty();
  for (const Row& row : aPage.m_rows) {
    hasVms = hasVms || row.m_key.starts_with(kVmRowPrefix);
    if (row.m_key.starts_with(kReportRowPrefix)) {
      NoteReport(row.m_key.substr(kReportRowPrefix.size()), aNow);
    }
  }
  if (hasVms) {
    m_index = BuildFleetIndex(m_view, *m_configuration);
  }
}

void FleetDecider::TakeVmList(const std::vector<VmListing>& aList, TimePoint aNow)
{
  m_inventory.Update(aList, aNow);
  m_goneNodeDetector.OnVmList(aList, aNow);
}

void FleetDecider::NoteReport(const std::string& aEntryVm, TimePoint aNow)
{
  const auto report = m_view.m_reports.find(aEntryVm);
  if (report != m_view.m_reports.end()) {
    const NodeIncarnation node{ aEntryVm, report->second.m_value.m_incarnation };
    const bool isNew = m_seenReports.insert(aEntryVm).second;
    isNew ? m_goneNodeDetector.OnIncarnationSeen(node, aNow)
          : m_goneNodeDetector.OnAlive(node, aNow);
  }
}

void FleetDecider::TakeLoads(const std::vector<PoolLoad>& aLoads, TimePoint aNow)
{
  m_moves.AddSample(aLoads, m_policy, aNow);
}

void FleetDecider::TakeActionState(const std::string& aOperationId, ActionState aState)
{
  m_actions[aOperationId] = aState;
}

void FleetDecider::TakeLease(const std::string& aScope, TimePoint aSentAt)
{
  m_leases.OnCommitted(aScope, m_policy, aSentAt);
}

std::vector<FleetStep> FleetDecider::Decide(TimePoint aNow, WallTime aWallNow)
{
  m_now = aNow;
  m_wallNow = aWallNow;
  m_steps.clear();
  m_touched.clear();
  m_reasons.clear();
  if (m_actions.size() > kKeptActions) {
    m_actions.clear();
  }
  for (const auto& [name, row] : m_view.m_vms) {
    PhaseClock& clock = m_phaseClocks[name];
    if (clock.m_generation != row.m_value.m_generation) {
      clock = PhaseClock{ row.m_value.m_generation, aNow };
    }
  }
  DecideLeases();
  if (m_leases.Holds(kOperationsScope, aNow)) {
    DecideInventory();
    DecideHealth();
    DecideLedgers();
    DecideHomePools();
    ForgetOldWaves();
  }
  DecideOperations();
  DecideWaves();
  DecideMoves();
  return std::move(m_steps);
}

Result<Transaction> FleetDecider::PlanRequest(const OperatorRequest& aRequest) const
{
  return PlanOperatorRequest(State(), aRequest);
}

std::vector<std::string> FleetDecider::Explain(const std::string& aVm) const
{
  std::vector<std::string> lines = ExplainVm(State(), aVm);
  if (const auto reason = m_reasons.find(aVm); reason != m_reasons.end()) {
    lines.push_back("waits: " + reason->second);
  }
  return lines;
}

std::optional<WaveProgress> FleetDecider::ProgressOf(const std::string& aWaveId) const
{
  const auto* wave = FindWave(m_view, aWaveId);
  if (!wave) {
    return std::nullopt;
  }
  return MeasureWave(State(), wave->m_value, m_policy.m_vmOutEstimate);
}

void FleetDecider::DecideLeases()
{
  std::set<std::string> scopes{ kOperationsScope, kMovesScope };
  for (const auto& [row, wave] : m_view.m_waves) {
    if (!IsEnded(wave.m_value.m_state)) {
      scopes.insert(WaveScope(wave.m_value.m_number));
    }
  }
  for (const auto& [name, row] : m_view.m_vms) {
    if (row.m_value.IsOut()) {
      scopes.insert(ScopeOf(row.m_value));
    }
  }
  for (const std::string& scope : scopes) {
    if (auto transaction = m_leases.Plan(m_view, m_policy, scope, m_now)) {
      m_steps.push_back(FleetStep{ "lease", scope, "due", std::move(transaction), {}, scope });
    }
  }
}

void FleetDecider::DecideInventory()
{
  for (const auto& [name, believed] : m_inventory.Vms()) {
    if (auto transaction = PlanAdoption(State(), name)) {
      AddTransaction("adopt", name, "listed and matched by a pool", std::move(*transaction));
    }
  }
  for (const auto& [name, row] : m_view.m_vms) {
    if (auto transaction = PlanListing(State(), name)) {
      AddTransaction("relocate", name, "the platform's list changed", std::move(*transaction));
    }
    if (auto transaction = PlanRetirement(State(), name)) {
      AddTransaction("retire", name, "gone and not configured", std::move(*transaction));
    }
  }
}

void FleetDecider::DecideHealth()
{
  for (const auto& [name, row] : m_view.m_vms) {
    const VmRecord& vm = row.m_value;
    if (!IsExpectedUp(vm)) {
      continue;
    }
    const VmHealth health = JudgeHealth(Evidence(), vm);
    if (health == VmHealth::Unreachable && !vm.m_isDown) {
      AddEvent(vm, VmEventKind::Crashed, "its entry VMs or the platform say so");
    } else if (health == VmHealth::Healthy && vm.m_isDown) {
      AddEvent(vm, VmEventKind::Recovered, "its entry VMs reach it");
    }
  }
}

void FleetDecider::DecideLedgers()
{
  for (const auto& [name, service] : m_configuration->m_services) {
    if (auto transaction = PlanLedgerRepair(State(), name)) {
      AddTransaction("repair-ledger", name, "VM rows differ", std::move(*transaction));
    }
  }
}

void FleetDecider::DecideHomePools()
{
  for (const auto& [name, row] : m_view.m_vms) {
    const VmRecord& vm = row.m_value;
    const std::string home = PoolByLabels(*m_configuration, m_index.m_labelsOf.at(name));
    const bool isNewer = m_configuration->m_version > vm.m_configVersion;
    if (home.empty() || home == vm.m_homePool || vm.IsOut() || !isNewer) {
      continue;
    }
    if (home == vm.m_pool) {
      AddTransaction("set-home", name, "labels changed", PlanHomePool(State(), name, home));
      continue;
    }
    VmEvent event;
    event.m_operation = VmOperation::Move;
    event.m_operationId = fmt::format("labels-{}/{}", m_configuration->m_version, name);
    event.m_targetPool = home;
    event.m_homePool = home;
    event.m_configVersion = m_configuration->m_version;
    AddBegin(name, event, "labels changed");
  }
}

void FleetDecider::DecideOperations()
{
  for (const auto& [name, row] : m_view.m_vms) {
    const VmRecord& vm = row.m_value;
    if (!vm.IsOut() || !m_leases.Holds(ScopeOf(vm), m_now)) {
      continue;
    }
    switch (vm.m_phase) {
      case VmPhase::Draining:
        DecideDraining(vm);
        break;
      case VmPhase::Drained:
        DecideDrained(vm);
        break;
      case VmPhase::Rebooting:
        DecideRebooting(vm);
        break;
      case VmPhase::Verifying:
        DecideVerifying(vm);
        break;
      case VmPhase::Active:
        break;
    }
  }
}

void FleetDecider::DecideDraining(const VmRecord& aVm)
{
  if (m_policy.m_rules.m_awaitDrain) {
    if (auto reason = RefuseStop(Evidence(), aVm)) {
      Wait(aVm.m_name, *reason);
      return;
    }
  }
  AddEvent(aVm, VmEventKind::DrainComplete, "all entry VMs of the zone are done");
}

void FleetDecider::DecideDrained(const VmRecord& aVm)
{
  if (aVm.m_operation == VmOperation::Hold) {
    Wait(aVm.m_name, "held by an operator");
    return;
  }
  // A crashed VM may come back with the services of its old pool, so a move needs a true stop.
  const bool isMove = aVm.m_operation == VmOperation::Move;
  const auto state = AskAction(aVm, VmAction::Stop);
  if (state == ActionState::Done) {
    AddEvent(aVm, VmEventKind::StopDone, "stopped gracefully");
  } else if (state == ActionState::Failed && aVm.m_isDown && !isMove) {
    AddEvent(aVm, VmEventKind::StopDone, "crashed before the stop");
  } else if (state == ActionState::Failed && !aVm.m_isDown &&
             JudgeHealth(Evidence(), aVm) == VmHealth::Unreachable) {
    AddEvent(aVm, VmEventKind::Crashed, "the stop failed and its entry VMs do not reach it");
  } else if (state == ActionState::Failed && IsRetryDue(aVm)) {
    AddEvent(aVm, VmEventKind::ActionFailed, "the stop failed");
  }
}

void FleetDecider::DecideRebooting(const VmRecord& aVm)
{
  const auto state = AskAction(aVm, VmAction::Reboot);
  if (state == ActionState::Done) {
    AddEvent(aVm, VmEventKind::RebootDone, "rebooted");
  } else if (state == ActionState::Failed && IsRetryDue(aVm)) {
    AddEvent(aVm, VmEventKind::ActionFailed, "the reboot failed");
  }
}

void FleetDecider::DecideVerifying(const VmRecord& aVm)
{
  const auto state = AskAction(aVm, VmAction::Start);
  const bool isHealthy = JudgeHealth(Evidence(), aVm) == VmHealth::Healthy;
  if (state == ActionState::Done && isHealthy) {
    AddEvent(aVm, VmEventKind::Verified, "seen healthy");
    return;
  }
  const bool isLate = m_now - m_phaseClocks[aVm.m_name].m_since >= m_policy.m_verifyTimeout;
  if ((state == ActionState::Failed || isLate) && IsRetryDue(aVm)) {
    AddEvent(aVm, VmEventKind::VerifyFailed, "not seen healthy in time");
  } else if (state == ActionState::Done) {
    Wait(aVm.m_name, "not seen healthy yet");
  }
}

void FleetDecider::DecideWaves()
{
  for (const auto& [row, wave] : m_view.m_waves) {
    const WaveState state = wave.m_value.m_state;
    if (state != WaveState::Done && m_leases.Holds(WaveScope(wave.m_value.m_number), m_now)) {
      DecideWave(wave, row);
    }
  }
}

void FleetDecider::DecideWave(const Versioned<WaveRecord>& aWave, const std::string& aRow)
{
  const WaveRecord& wave = aWave.m_value;
  if (wave.m_state == WaveState::Cancelled) {
    for (const auto& [name, row] : m_view.m_vms) {
      const VmRecord& vm = row.m_value;
      if (vm.m_waveNumber == wave.m_number && vm.m_phase == VmPhase::Draining) {
        AddEvent(vm, VmEventKind::Cancel, "the wave was cancelled");
      }
    }
    return;
  }
  const WaveProgress progress = MeasureWave(State(), wave, m_policy.m_vmOutEstimate);
  if (progress.m_done == progress.m_total && progress.m_out == 0) {
    WaveRecord done = wave;
    done.m_state = WaveState::Done;
    Transaction transaction;
    AddCheckedWrite(transaction, kWaveRowPrefix, aRow, aWave.m_version, done);
    AddTransaction("wave-done", wave.m_operationId, "all VMs rebooted", std::move(transaction));
    return;
  }
  const WaveCandidates plan = PlanWave(State(), wave, m_wallNow);
  for (const auto& [vm, reason] : plan.m_reasons) {
    Wait(vm, reason);
  }
  for (const std::string& vm : plan.m_next) {
    VmEvent event;
    event.m_operation = VmOperation::Maintain;
    event.m_operationId = WaveOperationId(wave, vm);
    event.m_waveNumber = wave.m_number;
    AddBegin(vm, event, "next of the wave");
  }
}

void FleetDecider::ForgetOldWaves()
{
  std::size_t surplus = m_view.m_waves.size() > kKeptWaves ? m_view.m_waves.size() - kKeptWaves : 0;
  for (const auto& [row, wave] : m_view.m_waves) {
    if (surplus == 0) {
      return;
    }
    if (!IsEnded(wave.m_value.m_state)) {
      continue;
    }
    const std::string key = std::string(kWaveRowPrefix) + row;
    const Transaction transaction{ { { key, wave.m_version } }, { { key, std::nullopt } } };
    AddTransaction("forget-wave", wave.m_value.m_operationId, "ended long ago", transaction);
    --surplus;
  }
}

void FleetDecider::DecideMoves()
{
  if (!m_leases.Holds(kMovesScope, m_now)) {
    return;
  }
  for (const PlannedMove& move : m_moves.Plan(State(), m_now)) {
    const VmRecord& vm = *m_view.Vm(move.m_vm);
    VmEvent event;
    event.m_operation = VmOperation::Move;
    event.m_operationId = fmt::format("move-{}-{}", move.m_vm, vm.m_generation);
    event.m_targetPool = move.m_targetPool;
    AddBegin(move.m_vm, event, move.m_isReturn ? "lasting surplus" : "lasting deficit");
  }
}

bool FleetDecider::IsRetryDue(const VmRecord& aVm) const
{
  if (aVm.m_attempt < m_policy.m_maxAttempts) {
    return true;
  }
  const auto clock = m_phaseClocks.find(aVm.m_name);
  return clock != m_phaseClocks.end() && m_now - clock->second.m_since >= m_policy.m_retryDelay;
}

std::optional<ActionState> FleetDecider::AskAction(const VmRecord& aVm, VmAction aAction)
{
  const std::string id = ActionOperationId(aVm, ToName(aAction));
  const auto known = m_actions.find(id);
  if (known != m_actions.end() && known->second != ActionState::Running) {
    return known->second;
  }
  VmActionRequest request;
  request.m_vm = aVm.m_name;
  request.m_action = aAction;
  request.m_operationId = id;
  request.m_pool = aVm.m_pool;
  const std::string event = fmt::format("ask-{}", ToName(aAction));
  m_steps.push_back(FleetStep{ event, aVm.m_name, id, {}, std::move(request), {} });
  Wait(aVm.m_name, fmt::format("the platform has not ended its {} yet", ToName(aAction)));
  return known == m_actions.end() ? std::nullopt : std::optional(known->second);
}

void FleetDecider::AddEvent(const VmRecord& aVm, VmEventKind aKind, const std::string& aReason)
{
  VmEvent event;
  event.m_kind = aKind;
  event.m_operationId = aVm.m_operationId;
  event.m_generation = aVm.m_generation;
  auto transaction = PlanVmEvent(State(), aVm.m_name, event);
  if (transaction) {
    AddTransaction(
      std::string(ToName(aKind)), aVm.m_name, std::move(aReason), std::move(transaction).value());
  } else {
    Wait(aVm.m_name, transaction.error().Text());
  }
}

void FleetDecider::AddBegin(const std::string& aVm,
                            const VmEvent& aEvent,
                            const std::string& aReason)
{
  auto transaction = PlanVmEvent(State(), aVm, aEvent);
  if (transaction) {
    const std::string event = fmt::format("begin-{}", ToName(aEvent.m_operation));
    AddTransaction(event, aVm, aReason, std::move(transaction).value());
  } else {
    Wait(aVm, transaction.error().m_message);
  }
}

void FleetDecider::AddTransaction(const std::string& aEvent,
                                  const std::string& aSubject,
                                  const std::string& aReason,
                                  Transaction aTransaction)
{
  const auto& writes = aTransaction.m_writes;
  const bool isFree = std::none_of(writes.begin(), writes.end(), [this](const RowWrite& aWrite) {
    return m_touched.contains(aWrite.m_key);
  });
  if (writes.empty() || !isFree) {
    return;
  }
  for (const RowWrite& write : writes) {
    m_touched.insert(write.m_key);
  }
  m_steps.push_back(FleetStep{
    std::move(aEvent), std::move(aSubject), std::move(aReason), std::move(aTransaction), {}, {} });
}

void FleetDecider::Wait(const std::string& aVm, const std::string& aReason)
{
  m_reasons.try_emplace(aVm, aReason);
}

std::string FleetDecider::ScopeOf(const VmRecord& aVm) const
{
  return aVm.m_waveNumber == 0 ? kOperationsScope : WaveScope(aVm.m_waveNumber);
}

} // namespace mustardtray
