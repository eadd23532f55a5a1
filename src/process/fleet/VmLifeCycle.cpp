#include "mustardtray/process/fleet/VmLifeCycle.h"

#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr const char* kStep = "change VM phase";

Error Refusal(const VmRecord& aRecord, const VmEvent& aEvent)
{
  return Error{ ErrorKind::Refused,
                kStep,
                aRecord.m_name,
                fmt::format("{} is illegal in phase {} of operation {}",
                            ToName(aEvent.m_kind),
                            ToName(aRecord.m_phase),
                            ToName(aRecord.m_operation)) };
}

VmRecord InPhase(VmRecord aRecord, VmPhase aPhase)
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
  return InPhase(std::move(aRecord), VmPhase::Active);
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
  return InPhase(std::move(aRecord), VmPhase::Draining);
}

Result<VmRecord> Begin(const VmRecord& aRecord, const VmEvent& aEvent)
{
  const bool isKnown = aRecord.m_operationId == aEvent.m_operationId ||
                       aRecord.m_lastOperationId == aEvent.m_operationId;
  if (isKnown && !aEvent.m_operationId.empty()) {
    return aRecord;
  }
  const bool isMove = aEvent.m_operation == VmOperation::Move;
  const bool hasTarget = !aEvent.m_targetPool.empty() && aEvent.m_targetPool != aRecord.m_pool;
  const bool isLegal = aRecord.m_phase == VmPhase::Active && !aEvent.m_operationId.empty() &&
                       aEvent.m_operation != VmOperation::None && isMove == hasTarget;
  if (!isLegal) {
    return Refusal(aRecord, aEvent);
  }
  return StartOperation(aRecord, aEvent);
}

Result<VmRecord> StopDone(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aRecord.m_phase != VmPhase::Drained || aRecord.m_operation == VmOperation::Hold) {
    return Refusal(aRecord, aEvent);
  }
  if (aRecord.m_operation != VmOperation::Move) {
    return InPhase(aRecord, VmPhase::Rebooting);
  }
  VmRecord moved = InPhase(aRecord, VmPhase::Verifying);
  moved.m_pool = aRecord.m_targetPool;
  moved.m_targetPool.clear();
  moved.m_services.clear();
  return moved;
}

Result<VmRecord> Verified(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aRecord.m_phase != VmPhase::Verifying) {
    return Refusal(aRecord, aEvent);
  }
  VmRecord active = EndOperation(aRecord);
  active.m_isDown = false;
  active.m_lastRebootWave = std::max(aRecord.m_lastRebootWave, aRecord.m_waveNumber);
  return active;
}

Result<VmRecord> ActionFailed(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aRecord.m_phase != VmPhase::Drained && aRecord.m_phase != VmPhase::Rebooting) {
    return Refusal(aRecord, aEvent);
  }
  VmRecord next = InPhase(aRecord, aRecord.m_phase);
  ++next.m_attempt;
  return next;
}

Result<VmRecord> VerifyFailed(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aRecord.m_phase != VmPhase::Verifying) {
    return Refusal(aRecord, aEvent);
  }
  VmRecord next = InPhase(aRecord, VmPhase::Rebooting);
  ++next.m_attempt;
  return next;
}

/// Once a VM with a stop to come is drained, any controller may ask for the stop at any time, so
/// there is no way back to active but through it.
Result<VmRecord> Return(const VmRecord& aRecord, const VmEvent& aEvent)
{
  const bool isHeld = aRecord.m_operation == VmOperation::Hold;
  const bool isLegal =
    aRecord.m_phase == VmPhase::Draining || (isHeld && aRecord.m_phase == VmPhase::Drained);
  if (!isLegal || (aEvent.m_kind == VmEventKind::Release && !isHeld)) {
    return Refusal(aRecord, aEvent);
  }
  return EndOperation(aRecord);
}

/// A crash is no change of phase: a VM that is already out goes on with its operation.
Result<VmRecord> SetDown(const VmRecord& aRecord, bool aIsDown)
{
  VmRecord next = aRecord;
  next.m_isDown = aIsDown;
  return next;
}

Result<VmRecord> ApplyStep(const VmRecord& aRecord, const VmEvent& aEvent)
{
  switch (aEvent.m_kind) {
    case VmEventKind::DrainComplete:
      if (aRecord.m_phase != VmPhase::Draining) {
        return Refusal(aRecord, aEvent);
      }
      return InPhase(aRecord, VmPhase::Drained);
    case VmEventKind::StopDone:
      return StopDone(aRecord, aEvent);
    case VmEventKind::RebootDone:
      if (aRecord.m_phase != VmPhase::Rebooting) {
        return Refusal(aRecord, aEvent);
      }
      return InPhase(aRecord, VmPhase::Verifying);
    case VmEventKind::Verified:
      return Verified(aRecord, aEvent);
    case VmEventKind::ActionFailed:
      return ActionFailed(aRecord, aEvent);
    case VmEventKind::VerifyFailed:
      return VerifyFailed(aRecord, aEvent);
    case VmEventKind::Cancel:
    case VmEventKind::Release:
      return Return(aRecord, aEvent);
    default:
      return Refusal(aRecord, aEvent);
  }
}

} // namespace

Result<VmRecord> ApplyVmEvent(const VmRecord& aRecord, const VmEvent& aEvent)
{
  if (aEvent.m_kind == VmEventKind::Begin) {
    return Begin(aRecord, aEvent);
  }
  if (aEvent.m_kind == VmEventKind::Crashed || aEvent.m_kind == VmEventKind::Recovered) {
    return SetDown(aRecord, aEvent.m_kind == VmEventKind::Crashed);
  }
  const bool isCurrent = aRecord.m_operationId == aEvent.m_operationId;
  const bool isEnded = aRecord.m_lastOperationId == aEvent.m_operationId;
  const bool isOlder = aEvent.m_generation < aRecord.m_generation;
  if (!aEvent.m_operationId.empty() && isOlder && (isCurrent || isEnded)) {
    return aRecord;
  }
  if (!isCurrent || aEvent.m_generation != aRecord.m_generation) {
    return Error{ ErrorKind::Conflict, kStep, aRecord.m_name, "the record has changed" };
  }
  return ApplyStep(aRecord, aEvent);
}

std::string ActionOperationId(const VmRecord& aRecord, std::string_view aAction)
{
  return fmt::format(
    "{}/{}/{}/{}", aRecord.m_operationId, aRecord.m_name, aAction, aRecord.m_attempt);
}

} // namespace mustardtray
