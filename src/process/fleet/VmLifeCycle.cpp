#include "mustardtray/process/fleet/VmLifeCycle.h"

#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr const char* kErrorStep = "change VM phase";

Error IllegalEventError(const VmRecord& aRecord, const VmEvent& aEvent)
{
  return Error{ ErrorKind::Refused,
                kErrorStep,
                aRecord.m_name,
                fmt::format("event {} is not allowed in phase {} of operation {}",
                            ToName(aEvent.m_kind),
                            ToName(aRecord.m_phase),
                            ToName(aRecord.m_operation)) };
}

VmRecord EnterPhase(VmRecord aRecord, VmPhase aPhase)
{
  aRecord.m_phase = aPhase;
  ++aRecord.m_generation;
  return aRecord;
}

VmRecord EndOperation(VmRecord aRecord)
{
  aRecord.m_lastOperationId = aRecord.m_operationId;
  aRecord.m_operationId.clear();
  aRecord.m_operation = VmOperation::None;
  aRecord.m_targetPool.clear();
  aRecord.m_services.clear();
  aRecord.m_attempt = 0;
  aRecord.m_waveNumber = 0;
  return EnterPhase(std::move(aRecord), VmPhase::Active);
}

VmRecord StartOperation(VmRecord aRecord, const VmEvent& aEvent)
{
  aRecord.m_operation = aEvent.m_operation;
  aRecord.m_operationId = aEvent.m_operationId;
  aRecord.m_targetPool = aEvent.m_targetPool;
  aRecord.m_waveNumber = aEvent.m_waveNumber;
  aRecord.m_services = aEvent.m_services;
  aRecord.m_attempt = 0;
  if (!aEvent.m_homePool.empty()) {
    aRecord.m_homePool = aEvent.m_homePool;
    aRecord.m_configVersion = aEvent.m_configVersion;
  }
  return EnterPhase(std::move(aRecord), VmPhase::Draining);
}

Result<VmRecord> ApplyBegin(const VmRecord& aRecord, const VmEvent& aEvent)
{
  const bool isRepeat = aRecord.m_operationId == aEvent.m_operationId ||
                        aRecord.m_lastOperationId == aEvent.m_operationId;
  if (isRepeat && !aEvent.m_operationId.empty()) {
    return aRecord;
  }
  const bool isMove = aEvent.m_operation == VmOperation::Move;
  const bool hasTarget = !aEvent.m_targetPool.empty() && aEvent.m_targetPool != aRecord.m_pool;
  const bool isLegal = aRecord.m_phase == VmPhase::Active && !aEvent.m_operationId.empty() &&
                       aEvent.m_operation != VmOperation::None && isMove == hasTarget;
  if (!isLegal) {
    return IllegalEventError(aRecord, aEvent);
  }
  return StartOperation(aRecord, aEvent);
}

Result<VmRecord> ApplyStopDone(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aRecord.m_phase != VmPhase::Drained || aRecord.m_operation == VmOperation::Hold) {
    return IllegalEventError(aRecord, aEvent);
  }
  if (aRecord.m_operation != VmOperation::Move) {
    return EnterPhase(aRecord, VmPhase::Rebooting);
  }
  VmRecord moved = EnterPhase(aRecord, VmPhase::Verifying);
  moved.m_pool = aRecord.m_targetPool;
  moved.m_targetPool.clear();
  moved.m_services.clear();
  return moved;
}

Result<VmRecord> ApplyVerified(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aRecord.m_phase != VmPhase::Verifying) {
    return IllegalEventError(aRecord, aEvent);
  }
  VmRecord active = EndOperation(aRecord);
  active.m_isDown = false;
  active.m_lastRebootWave = std::max(aRecord.m_lastRebootWave, aRecord.m_waveNumber);
  return active;
}

Result<VmRecord> ApplyActionFailed(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aRecord.m_phase != VmPhase::Drained && aRecord.m_phase != VmPhase::Rebooting) {
    return IllegalEventError(aRecord, aEvent);
  }
  VmRecord next = EnterPhase(aRecord, aRecord.m_phase);
  ++next.m_attempt;
  return next;
}

Result<VmRecord> ApplyVerifyFailed(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aRecord.m_phase != VmPhase::Verifying) {
    return IllegalEventError(aRecord, aEvent);
  }
  VmRecord next = EnterPhase(aRecord, VmPhase::Rebooting);
  ++next.m_attempt;
  return next;
}

/// Returns a VM to service. A VM that is drained for a stop cannot return before the stop, because
/// any controller may request that stop at any time.
Result<VmRecord> ApplyReturn(const VmRecord& aRecord, const VmEvent& aEvent)
{
  const bool isHeld = aRecord.m_operation == VmOperation::Hold;
  const bool isLegal =
    aRecord.m_phase == VmPhase::Draining || (isHeld && aRecord.m_phase == VmPhase::Drained);
  if (!isLegal || (aEvent.m_kind == VmEventKind::Release && !isHeld)) {
    return IllegalEventError(aRecord, aEvent);
  }
  return EndOperation(aRecord);
}

/// A crash does not change the phase: a VM that is already out of service continues its operation.
Result<VmRecord> ApplyDown(const VmRecord& aRecord, bool aIsDown)
{
  VmRecord next = aRecord;
  next.m_isDown = aIsDown;
  return next;
}

Result<VmRecord> ApplyPhaseEvent(const VmRecord& aRecord, const VmEvent& aEvent)
{
  switch (aEvent.m_kind) {
    case VmEventKind::DrainComplete:
      if (aRecord.m_phase != VmPhase::Draining) {
        return IllegalEventError(aRecord, aEvent);
      }
      return EnterPhase(aRecord, VmPhase::Drained);
    case VmEventKind::StopDone:
      return ApplyStopDone(aRecord, aEvent);
    case VmEventKind::RebootDone:
      if (aRecord.m_phase != VmPhase::Rebooting) {
        return IllegalEventError(aRecord, aEvent);
      }
      return EnterPhase(aRecord, VmPhase::Verifying);
    case VmEventKind::Verified:
      return ApplyVerified(aRecord, aEvent);
    case VmEventKind::ActionFailed:
      return ApplyActionFailed(aRecord, aEvent);
    case VmEventKind::VerifyFailed:
      return ApplyVerifyFailed(aRecord, aEvent);
    case VmEventKind::Cancel:
    case VmEventKind::Release:
      return ApplyReturn(aRecord, aEvent);
    default:
      return IllegalEventError(aRecord, aEvent);
  }
}

} // namespace

Result<VmRecord> ApplyVmEvent(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aEvent.m_kind == VmEventKind::Begin) {
    return ApplyBegin(aRecord, aEvent);
  }
  if (aEvent.m_kind == VmEventKind::Crashed || aEvent.m_kind == VmEventKind::Recovered) {
    return ApplyDown(aRecord, aEvent.m_kind == VmEventKind::Crashed);
  }
  const bool isCurrent = aRecord.m_operationId == aEvent.m_operationId;
  const bool isEnded = aRecord.m_lastOperationId == aEvent.m_operationId;
  const bool isOlder = aEvent.m_generation < aRecord.m_generation;
  if (!aEvent.m_operationId.empty() && isOlder && (isCurrent || isEnded)) {
    return aRecord;
  }
  if (!isCurrent || aEvent.m_generation != aRecord.m_generation) {
    return Error{ ErrorKind::Conflict,
                  kErrorStep,
                  aRecord.m_name,
                  "the VM row has changed since the event was planned" };
  }
  return ApplyPhaseEvent(aRecord, aEvent);
}

std::string ActionOperationId(const VmRecord& aRecord, std::string_view aAction)
{
  return fmt::format(
    "{}/{}/{}/{}", aRecord.m_operationId, aRecord.m_name, aAction, aRecord.m_attempt);
}

} // namespace mustardtray
