#include "mustardtray/process/fleet/FleetReconciler.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/process/fleet/VmAdoption.h"
#include "mustardtray/process/fleet/VmExplanation.h"

namespace mustardtray {

namespace {

constexpr const char* kOperationsScope = "operations"; ///< Operations that belong to no wave.
constexpr const char* kMovesScope = "moves";
/// States of VM actions in memory. A state that was cleared is queried again under the same id.
constexpr std::size_t kMaxCachedActions = 1'000;
constexpr std::size_t kMaxStoredWaves = 50; ///< Ended waves beyond this number of rows are deleted.

std::string WaveLeaseScope(std::uint64_t aNumber)
{
  return fmt::format("wave-{:012}", aNumber);
}

bool IsEnded(WaveState aState)
{
  return aState == WaveState::Done || aState == WaveState::Cancelled;
}

/// Returns whether the VM should be reachable. If it is not, it has crashed.
bool IsExpectedUp(const VmRecord& aVm)
{
  return aVm.m_phase == VmPhase::Active || aVm.m_phase == VmPhase::Draining ||
         aVm.m_operation == VmOperation::Hold;
}

} // namespace

FleetReconciler::FleetReconciler(std::string aNode, FleetPolicy aPolicy)
  : m_policy(aPolicy)
  , m_configuration(std::make_shared<Configuration>())
  , m_inventory(aPolicy.m_missingGrace)
  , m_goneNodeDetector(aNode)
  , m_leases(std::move(aNode))
{
}

void FleetReconciler::SetConfiguration(std::shared_ptr<const Configuration> aConfiguration)
{
  m_configuration = std::move(aConfiguration);
  m_index = BuildFleetIndex(m_view, *m_configuration);
}

void FleetReconciler::ApplyRows(const ScanPage& aPage, TimePoint aNow)
{
  if (aPage.m_rows.empty() && aPage.m_deleted.empty()) {
    return;
  }
  m_view.Apply(aPage);
  bool hasVms = !aPage.m_deleted.empty();
  for (const Row& row : aPage.m_rows) {
    hasVms = hasVms || row.m_key.starts_with(kVmRowPrefix);
    if (row.m_key.starts_with(kReportRowPrefix)) {
      ApplyEntryReport(row.m_key.substr(kReportRowPrefix.size()), aNow);
    }
  }
  if (hasVms) {
    m_index = BuildFleetIndex(m_view, *m_configuration);
  }
}

void FleetReconciler::ApplyVmList(const std::vector<VmListing>& aList, TimePoint aNow)
{
  m_inventory.Update(aList, aNow);
  m_goneNodeDetector.OnVmList(aList, aNow);
}

void FleetReconciler::ApplyEntryReport(const std::string& aEntryVm, TimePoint aNow)
{
  const auto report = m_view.m_reports.find(aEntryVm);
  if (report != m_view.m_reports.end()) {
    const NodeIncarnation node{ aEntryVm, report->second.m_value.m_incarnation };
    const bool isNew = m_reportedEntryVms.insert(aEntryVm).second;
    isNew ? m_goneNodeDetector.OnIncarnationSeen(node, aNow)
          : m_goneNodeDetector.OnAlive(node, aNow);
  }
}

void FleetReconciler::ApplyLoads(const std::vector<PoolLoad>& aLoads, TimePoint aNow)
{
  m_moves.AddSample(aLoads, m_policy, aNow);
}

void FleetReconciler::ApplyActionState(const std::string& aOperationId, ActionState aState)
{
  m_actions[aOperationId] = aState;
}

void FleetReconciler::ApplyLeaseCommit(const std::string& aScope, TimePoint aSentAt)
{
  m_leases.OnCommitted(aScope, m_policy, aSentAt);
}

std::vector<FleetStep> FleetReconciler::PlanSteps(TimePoint aNow, WallTime aWallNow)
{
  m_now = aNow;
  m_wallNow = aWallNow;
  m_steps.clear();
  m_writtenKeys.clear();
  m_waitReasons.clear();
  if (m_actions.size() > kMaxCachedActions) {
    m_actions.clear();
  }
  for (const auto& [name, row] : m_view.m_vms) {
    PhaseStart& start = m_phaseStarts[name];
    if (start.m_generation != row.m_value.m_generation) {
      start = PhaseStart{ row.m_value.m_generation, aNow };
    }
  }
  AddLeaseSteps();
  if (m_leases.Holds(kOperationsScope, aNow)) {
    AddInventorySteps();
    AddHealthSteps();
    AddLedgerRepairSteps();
    AddHomePoolSteps();
    AddWaveCleanupSteps();
  }
  AddOperationSteps();
  AddWaveSteps();
  AddMoveSteps();
  return std::move(m_steps);
}

Result<Transaction> FleetReconciler::PlanRequest(const OperatorRequest& aRequest) const
{
  return PlanOperatorRequest(State(), aRequest);
}

std::vector<std::string> FleetReconciler::Explain(const std::string& aVm) const
{
  std::vector<std::string> lines = ExplainVm(State(), aVm);
  if (const auto reason = m_waitReasons.find(aVm); reason != m_waitReasons.end()) {
    lines.push_back("waiting: " + reason->second);
  }
  return lines;
}

std::optional<WaveProgress> FleetReconciler::ProgressOf(const std::string& aWaveId) const
{
  const auto* wave = FindWave(m_view, aWaveId);
  if (!wave) {
    return std::nullopt;
  }
  return ComputeWaveProgress(State(), wave->m_value, m_policy.m_vmOutageEstimate);
}

void FleetReconciler::AddLeaseSteps()
{
  std::set<std::string> scopes{ kOperationsScope, kMovesScope };
  for (const auto& [row, wave] : m_view.m_waves) {
    if (!IsEnded(wave.m_value.m_state)) {
      scopes.insert(WaveLeaseScope(wave.m_value.m_number));
    }
  }
  for (const auto& [name, row] : m_view.m_vms) {
    if (row.m_value.IsOut()) {
      scopes.insert(LeaseScopeOf(row.m_value));
    }
  }
  for (const std::string& scope : scopes) {
    if (auto transaction = m_leases.PlanRenewal(m_view, m_policy, scope, m_now)) {
      m_steps.push_back(FleetStep{ "lease", scope, "due", std::move(transaction), {}, scope });
    }
  }
}

void FleetReconciler::AddInventorySteps()
{
  for (const auto& [name, reconciledVm] : m_inventory.Vms()) {
    if (auto transaction = PlanAdoption(State(), name)) {
      AddTransactionStep(
        "adopt", name, "listed and matched by a pool's selector", std::move(*transaction));
    }
  }
  for (const auto& [name, row] : m_view.m_vms) {
    if (auto transaction = PlanListingUpdate(State(), name)) {
      AddTransactionStep(
        "relocate", name, "the listed address or rack changed", std::move(*transaction));
    }
    if (auto transaction = PlanRetirement(State(), name)) {
      AddTransactionStep(
        "retire", name, "gone and matched by no pool's selector", std::move(*transaction));
    }
  }
}

void FleetReconciler::AddHealthSteps()
{
  for (const auto& [name, row] : m_view.m_vms) {
    const VmRecord& vm = row.m_value;
    if (!IsExpectedUp(vm)) {
      continue;
    }
    const VmHealth health = EvaluateHealth(Observations(), vm);
    if (health == VmHealth::Unreachable && !vm.m_isDown) {
      AddEventStep(vm, VmEventKind::Crashed, "reported unreachable or listed as gone");
    } else if (health == VmHealth::Healthy && vm.m_isDown) {
      AddEventStep(vm, VmEventKind::Recovered, "reported healthy by entry VMs");
    }
  }
}

void FleetReconciler::AddLedgerRepairSteps()
{
  for (const auto& [name, service] : m_configuration->m_services) {
    if (auto transaction = PlanLedgerRepair(State(), name)) {
      AddTransactionStep(
        "repair-ledger", name, "ledger differs from the VM rows", std::move(*transaction));
    }
  }
}

void FleetReconciler::AddHomePoolSteps()
{
  for (const auto& [name, row] : m_view.m_vms) {
    const VmRecord& vm = row.m_value;
    const std::string home = PoolByLabels(*m_configuration, m_index.m_labelsByVm.at(name));
    const bool isNewer = m_configuration->m_version > vm.m_configVersion;
    if (home.empty() || home == vm.m_homePool || vm.IsOut() || !isNewer) {
      continue;
    }
    if (home == vm.m_pool) {
      AddTransactionStep(
        "set-home", name, "labels changed", PlanHomePoolChange(State(), name, home));
      continue;
    }
    VmEvent event;
    event.m_operation = VmOperation::Move;
    event.m_operationId = fmt::format("labels-{}/{}", m_configuration->m_version, name);
    event.m_targetPool = home;
    event.m_homePool = home;
    event.m_configVersion = m_configuration->m_version;
    AddBeginStep(name, event, "labels changed");
  }
}

void FleetReconciler::AddOperationSteps()
{
  for (const auto& [name, row] : m_view.m_vms) {
    const VmRecord& vm = row.m_value;
    if (!vm.IsOut() || !m_leases.Holds(LeaseScopeOf(vm), m_now)) {
      continue;
    }
    switch (vm.m_phase) {
      case VmPhase::Draining:
        AddDrainingSteps(vm);
        break;
      case VmPhase::Drained:
        AddDrainedSteps(vm);
        break;
      case VmPhase::Rebooting:
        AddRebootingSteps(vm);
        break;
      case VmPhase::Verifying:
        AddVerifyingSteps(vm);
        break;
      case VmPhase::Active:
        break;
    }
  }
}

void FleetReconciler::AddDrainingSteps(const VmRecord& aVm)
{
  if (m_policy.m_rules.m_awaitDrain) {
    if (auto reason = FindStopBlocker(Observations(), aVm)) {
      AddWaitReason(aVm.m_name, *reason);
      return;
    }
  }
  AddEventStep(
    aVm, VmEventKind::DrainComplete, "all entry VMs of the zone have acknowledged and finished");
}

void FleetReconciler::AddDrainedSteps(const VmRecord& aVm)
{
  if (aVm.m_operation == VmOperation::Hold) {
    AddWaitReason(aVm.m_name, "held by an operator");
    return;
  }
  // A crashed VM may restart with the services of its old pool, so a move requires a successful
  // stop.
  const bool isMove = aVm.m_operation == VmOperation::Move;
  const auto state = RequestAction(aVm, VmAction::Stop);
  if (state == ActionState::Done) {
    AddEventStep(aVm, VmEventKind::StopDone, "the VM was stopped gracefully");
  } else if (state == ActionState::Failed && aVm.m_isDown && !isMove) {
    AddEventStep(aVm, VmEventKind::StopDone, "the VM crashed before the stop");
  } else if (state == ActionState::Failed && !aVm.m_isDown &&
             EvaluateHealth(Observations(), aVm) == VmHealth::Unreachable) {
    AddEventStep(aVm, VmEventKind::Crashed, "the stop failed and the VM is unreachable");
  } else if (state == ActionState::Failed && IsRetryDue(aVm)) {
    AddEventStep(aVm, VmEventKind::ActionFailed, "the stop failed");
  }
}

void FleetReconciler::AddRebootingSteps(const VmRecord& aVm)
{
  const auto state = RequestAction(aVm, VmAction::Reboot);
  if (state == ActionState::Done) {
    AddEventStep(aVm, VmEventKind::RebootDone, "rebooted");
  } else if (state == ActionState::Failed && IsRetryDue(aVm)) {
    AddEventStep(aVm, VmEventKind::ActionFailed, "the reboot failed");
  }
}

void FleetReconciler::AddVerifyingSteps(const VmRecord& aVm)
{
  const auto state = RequestAction(aVm, VmAction::Start);
  const bool isHealthy = EvaluateHealth(Observations(), aVm) == VmHealth::Healthy;
  if (state == ActionState::Done && isHealthy) {
    AddEventStep(aVm, VmEventKind::Verified, "reported healthy by entry VMs");
    return;
  }
  const bool isLate = m_now - m_phaseStarts[aVm.m_name].m_since >= m_policy.m_verifyTimeout;
  if ((state == ActionState::Failed || isLate) && IsRetryDue(aVm)) {
    AddEventStep(aVm, VmEventKind::VerifyFailed, "the start failed or verification timed out");
  } else if (state == ActionState::Done) {
    AddWaitReason(aVm.m_name, "not reported healthy by entry VMs yet");
  }
}

void FleetReconciler::AddWaveSteps()
{
  for (const auto& [row, wave] : m_view.m_waves) {
    const WaveState state = wave.m_value.m_state;
    if (state != WaveState::Done && m_leases.Holds(WaveLeaseScope(wave.m_value.m_number), m_now)) {
      AddStepsOfWave(wave, row);
    }
  }
}

void FleetReconciler::AddStepsOfWave(const Versioned<WaveRecord>& aWave, const std::string& aRow)
{
  const WaveRecord& wave = aWave.m_value;
  if (wave.m_state == WaveState::Cancelled) {
    for (const auto& [name, row] : m_view.m_vms) {
      const VmRecord& vm = row.m_value;
      if (vm.m_waveNumber == wave.m_number && vm.m_phase == VmPhase::Draining) {
        AddEventStep(vm, VmEventKind::Cancel, "the wave was cancelled");
      }
    }
    return;
  }
  const WaveProgress progress = ComputeWaveProgress(State(), wave, m_policy.m_vmOutageEstimate);
  if (progress.m_done == progress.m_total && progress.m_out == 0) {
    WaveRecord done = wave;
    done.m_state = WaveState::Done;
    Transaction transaction;
    AddCheckedWrite(transaction, kWaveRowPrefix, aRow, aWave.m_version, done);
    AddTransactionStep(
      "wave-done", wave.m_operationId, "all VMs have been rebooted", std::move(transaction));
    return;
  }
  const WaveCandidates plan = PlanWave(State(), wave, m_wallNow);
  for (const auto& [vm, reason] : plan.m_waitReasons) {
    AddWaitReason(vm, reason);
  }
  for (const std::string& vm : plan.m_candidates) {
    VmEvent event;
    event.m_operation = VmOperation::Maintain;
    event.m_operationId = WaveOperationId(wave, vm);
    event.m_waveNumber = wave.m_number;
    AddBeginStep(vm, event, "selected by the wave");
  }
}

void FleetReconciler::AddWaveCleanupSteps()
{
  std::size_t surplus =
    m_view.m_waves.size() > kMaxStoredWaves ? m_view.m_waves.size() - kMaxStoredWaves : 0;
  for (const auto& [row, wave] : m_view.m_waves) {
    if (surplus == 0) {
      return;
    }
    if (!IsEnded(wave.m_value.m_state)) {
      continue;
    }
    const std::string key = std::string(kWaveRowPrefix) + row;
    const Transaction transaction{ { { key, wave.m_version } }, { { key, std::nullopt } } };
    AddTransactionStep(
      "forget-wave", wave.m_value.m_operationId, "too many stored waves", transaction);
    --surplus;
  }
}

void FleetReconciler::AddMoveSteps()
{
  if (!m_leases.Holds(kMovesScope, m_now)) {
    return;
  }
  for (const PlannedMove& move : m_moves.PlanMoves(State(), m_now)) {
    const VmRecord& vm = *m_view.Vm(move.m_vm);
    VmEvent event;
    event.m_operation = VmOperation::Move;
    event.m_operationId = fmt::format("move-{}-{}", move.m_vm, vm.m_generation);
    event.m_targetPool = move.m_targetPool;
    AddBeginStep(move.m_vm, event, move.m_isReturn ? "sustained surplus" : "sustained deficit");
  }
}

bool FleetReconciler::IsRetryDue(const VmRecord& aVm) const
{
  if (aVm.m_attempt < m_policy.m_maxAttempts) {
    return true;
  }
  const auto start = m_phaseStarts.find(aVm.m_name);
  return start != m_phaseStarts.end() && m_now - start->second.m_since >= m_policy.m_retryDelay;
}

std::optional<ActionState> FleetReconciler::RequestAction(const VmRecord& aVm, VmAction aAction)
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
  AddWaitReason(aVm.m_name,
                fmt::format("the platform has not completed the {} action yet", ToName(aAction)));
  return known == m_actions.end() ? std::nullopt : std::optional(known->second);
}

void FleetReconciler::AddEventStep(const VmRecord& aVm,
                                   VmEventKind aKind,
                                   const std::string& aReason)
{
  VmEvent event;
  event.m_kind = aKind;
  event.m_operationId = aVm.m_operationId;
  event.m_generation = aVm.m_generation;
  auto transaction = PlanVmEvent(State(), aVm.m_name, event);
  if (transaction) {
    AddTransactionStep(
      std::string(ToName(aKind)), aVm.m_name, std::move(aReason), std::move(transaction).value());
  } else {
    AddWaitReason(aVm.m_name, transaction.error().Text());
  }
}

void FleetReconciler::AddBeginStep(const std::string& aVm,
                                   const VmEvent& aEvent,
                                   const std::string& aReason)
{
  auto transaction = PlanVmEvent(State(), aVm, aEvent);
  if (transaction) {
    const std::string event = fmt::format("begin-{}", ToName(aEvent.m_operation));
    AddTransactionStep(event, aVm, aReason, std::move(transaction).value());
  } else {
    AddWaitReason(aVm, transaction.error().m_message);
  }
}

void FleetReconciler::AddTransactionStep(const std::string& aEvent,
                                         const std::string& aSubject,
                                         const std::string& aReason,
                                         Transaction aTransaction)
{
  const auto& writes = aTransaction.m_writes;
  const bool isFree = std::none_of(writes.begin(), writes.end(), [this](const RowWrite& aWrite) {
    return m_writtenKeys.contains(aWrite.m_key);
  });
  if (writes.empty() || !isFree) {
    return;
  }
  for (const RowWrite& write : writes) {
    m_writtenKeys.insert(write.m_key);
  }
  m_steps.push_back(FleetStep{
    std::move(aEvent), std::move(aSubject), std::move(aReason), std::move(aTransaction), {}, {} });
}

void FleetReconciler::AddWaitReason(const std::string& aVm, const std::string& aReason)
{
  m_waitReasons.try_emplace(aVm, aReason);
}

std::string FleetReconciler::LeaseScopeOf(const VmRecord& aVm) const
{
  return aVm.m_waveNumber == 0 ? kOperationsScope : WaveLeaseScope(aVm.m_waveNumber);
}

} // namespace mustardtray
