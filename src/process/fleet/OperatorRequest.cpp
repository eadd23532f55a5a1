#include "mustardtray/process/fleet/OperatorRequest.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/process/fleet/WavePlanner.h"

namespace mustardtray {

namespace {

Error MakeRequestError(ErrorKind aKind, const OperatorRequest& aRequest, std::string aMessage)
{
  return Error{ aKind,
                fmt::format("{} {}", ToName(aRequest.m_kind), aRequest.m_operationId),
                aRequest.m_vm,
                std::move(aMessage) };
}

/// Returns a number above every wave number that was ever assigned.
std::uint64_t NextWaveNumber(const FleetView& aView)
{
  std::uint64_t highest = 0;
  for (const auto& [row, wave] : aView.m_waves) {
    highest = std::max(highest, wave.m_value.m_number);
  }
  for (const auto& [name, vm] : aView.m_vms) {
    highest = std::max({ highest, vm.m_value.m_waveNumber, vm.m_value.m_lastRebootWave });
  }
  return highest + 1;
}

/// Rows are named by wave number, so that one of two waves created concurrently gets a conflict and
/// is retried.
Result<Transaction> PlanMaintain(const FleetState& aState, const OperatorRequest& aRequest)
{
  if (FindWave(aState.m_view, aRequest.m_operationId)) {
    return Transaction{};
  }
  WaveRecord wave;
  wave.m_operationId = aRequest.m_operationId;
  wave.m_number = NextWaveNumber(aState.m_view);
  wave.m_selector = aRequest.m_selector;
  Transaction transaction;
  AddCheckedWrite(transaction, kWaveRowPrefix, fmt::format("{:012}", wave.m_number), 0, wave);
  return transaction;
}

Result<Transaction> PlanWaveStateChange(const FleetState& aState,
                                        const OperatorRequest& aRequest,
                                        WaveState aNext)
{
  std::string row;
  const auto* wave = FindWave(aState.m_view, aRequest.m_operationId, &row);
  if (!wave) {
    return MakeRequestError(ErrorKind::NotFound, aRequest, "no wave has this operation id");
  }
  const WaveState present = wave->m_value.m_state;
  if (present == WaveState::Done || present == WaveState::Cancelled) {
    if (present == aNext) {
      return Transaction{};
    }
    return MakeRequestError(
      ErrorKind::Refused, aRequest, fmt::format("the wave is {}", ToName(present)));
  }
  WaveRecord next = wave->m_value;
  next.m_state = aNext;
  if (aNext == WaveState::Running) {
    next.m_acceptedFailures = ComputeWaveProgress(aState, next, Millis{ 0 }).m_failing;
  }
  Transaction transaction;
  AddCheckedWrite(transaction, kWaveRowPrefix, row, wave->m_version, next);
  return transaction;
}

Result<Transaction> PlanDrain(const FleetState& aState, const OperatorRequest& aRequest)
{
  VmEvent event;
  event.m_kind = VmEventKind::Begin;
  event.m_operation = VmOperation::Hold;
  event.m_operationId = aRequest.m_operationId;
  return PlanVmEvent(aState, aRequest.m_vm, event);
}

Result<Transaction> PlanRelease(const FleetState& aState, const OperatorRequest& aRequest)
{
  const VmRecord* vm = aState.m_view.Vm(aRequest.m_vm);
  if (!vm) {
    return MakeRequestError(ErrorKind::NotFound, aRequest, "the VM has no row");
  }
  if (!vm->IsOut()) {
    return Transaction{};
  }
  VmEvent event;
  event.m_kind = VmEventKind::Release;
  event.m_operationId = vm->m_operationId;
  event.m_generation = vm->m_generation;
  return PlanVmEvent(aState, aRequest.m_vm, event);
}

} // namespace

const Versioned<WaveRecord>* FindWave(const FleetView& aView,
                                      const std::string& aOperationId,
                                      std::string* aRow)
{
  for (const auto& [row, wave] : aView.m_waves) {
    if (wave.m_value.m_operationId == aOperationId) {
      if (aRow) {
        *aRow = row;
      }
      return &wave;
    }
  }
  return nullptr;
}

Result<Transaction> PlanOperatorRequest(const FleetState& aState, const OperatorRequest& aRequest)
{
  if (aRequest.m_operationId.empty() && aRequest.m_kind != OperatorRequestKind::Release) {
    return MakeRequestError(ErrorKind::Invalid, aRequest, "the operation id is missing");
  }
  switch (aRequest.m_kind) {
    case OperatorRequestKind::Drain:
      return PlanDrain(aState, aRequest);
    case OperatorRequestKind::Release:
      return PlanRelease(aState, aRequest);
    case OperatorRequestKind::Maintain:
      return PlanMaintain(aState, aRequest);
    case OperatorRequestKind::PauseWave:
      return PlanWaveStateChange(aState, aRequest, WaveState::Paused);
    case OperatorRequestKind::ResumeWave:
      return PlanWaveStateChange(aState, aRequest, WaveState::Running);
    case OperatorRequestKind::CancelWave:
      return PlanWaveStateChange(aState, aRequest, WaveState::Cancelled);
  }
  return MakeRequestError(ErrorKind::Invalid, aRequest, "unknown request kind");
}

} // namespace mustardtray
