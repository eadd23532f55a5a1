#include "mustardtray/request/Scheduler.h"

#include <algorithm>

namespace mustardtray {

namespace {

constexpr int kMaxAttempts = 3;
constexpr Millis kMinRetryAfter{ 100 };
constexpr Millis kMaxRetryAfter{ 60'000 };
/// Number of requests at the head of a queue that are checked for one that can start.
constexpr std::size_t kMaxScannedRequests = 8;
/// A retryable attempt times out after half of the time left, if that is more than this multiple of
/// the upper estimate of the run time.
constexpr int kRunsBeforeEarlyTimeout = 3;
/// Reserved before the deadline for the response's way back, for each entry VM on it.
constexpr Micros kResponseMargin = std::chrono::milliseconds(25);
/// The margin is at most this part of the time that the request has when it arrives.
constexpr int kMaxMarginDivisor = 8;

/// Limits the reserve for urgent requests to half of the slots, so that may-wait requests can use
/// the other half.
int MaxReserve(int aTotalSlots)
{
  return aTotalSlots / 2;
}

Micros ResponseMargin(TimePoint aNow, const RequestInfo& aRequest)
{
  const int entryVms =
    1 + (aRequest.m_hops.m_withinZone ? 1 : 0) + (aRequest.m_hops.m_acrossZones ? 1 : 0);
  const Micros timeLeft = std::max(Micros(0), Micros(aRequest.m_deadline - aNow));
  return std::min(kResponseMargin * entryVms, timeLeft / kMaxMarginDivisor);
}

} // namespace

Scheduler::Scheduler(ServiceConfig aConfig, SchedulerPolicy aPolicy)
  : m_policy(aPolicy)
  , m_reserve(aPolicy.m_reserve)
{
  Configure(TimePoint{}, std::move(aConfig));
}

Scheduler::~Scheduler() = default;

void Scheduler::Configure(TimePoint aNow, ServiceConfig aConfig)
{
  AdvanceCredits(aNow);
  m_queues.Configure(aConfig.m_queues);
  m_config = std::move(aConfig);
}

void Scheduler::SetMinions(TimePoint aNow, const std::vector<MinionShare>& aShares)
{
  AdvanceCredits(aNow);
  m_minions.SetShares(aShares);
}

void Scheduler::SetPeers(TimePoint, std::vector<PeerCapacity> aPeers)
{
  m_peers.Set(std::move(aPeers));
}

// --- Admission

std::optional<Refusal> Scheduler::Offer(TimePoint aNow, const RequestInfo& aRequest)
{
  RequestQueue* queue = m_queues.At(aRequest.m_queue);
  if (!queue) {
    return Refusal{ RefusalReason::UnknownQueue, kMinRetryAfter };
  }
  auto request = std::make_unique<AdmittedRequest>();
  request->m_info = aRequest;
  request->m_queue = queue;
  request->m_arrival = ++m_arrivals;
  request->m_responseMargin = ResponseMargin(aNow, aRequest);
  if (m_requests.contains(aRequest.m_id)) {
    return MakeRefusal(aNow, *request, RefusalReason::DuplicateId);
  }
  if (const auto reason = CheckAdmission(aNow, *request)) {
    return MakeRefusal(aNow, *request, *reason);
  }
  AdvanceCredits(aNow);
  if (request->m_queue->IsUrgent()) {
    UpdateUrgentReserve(aNow);
  }
  request->m_queue->m_waiting.push_back(request.get());
  UpdateNextExpiry(aNow, *request);
  m_requests.emplace(aRequest.m_id, std::move(request));
  return std::nullopt;
}

std::optional<RefusalReason> Scheduler::CheckAdmission(TimePoint aNow,
                                                       const AdmittedRequest& aRequest) const
{
  const RequestQueue& queue = *aRequest.m_queue;
  if (queue.Waiting() >= queue.m_config.m_maxQueued) {
    return RefusalReason::QueueFull;
  }
  const bool peersHaveCapacity =
    m_peers.HasFreeCapacity(queue.m_config.m_urgency, aRequest.m_info.m_hops);
  const bool hasMinions = m_minions.HasSlots();
  if (!hasMinions && !m_peers.HasEligiblePeer(aRequest.m_info.m_hops)) {
    return RefusalReason::NoMinion;
  }
  if (CannotMeetDeadline(aNow, aRequest)) {
    return RefusalReason::DeadlineTooClose;
  }
  // Without local minions, the waiting time depends on the next reports of the peers and cannot be
  // estimated.
  const bool isWaitKnown = hasMinions && !peersHaveCapacity;
  const Micros wait = isWaitKnown ? ExpectedWait(aNow, queue) : Micros(0);
  if (aNow + wait > LatestStart(aNow, aRequest)) {
    return RefusalReason::DeadlineTooClose;
  }
  return std::nullopt;
}

bool Scheduler::CannotMeetDeadline(TimePoint aNow, const AdmittedRequest& aRequest) const
{
  return aNow > LatestStart(aNow, aRequest);
}

TimePoint Scheduler::LatestStart(TimePoint aNow, const AdmittedRequest& aRequest)
{
  return aRequest.m_info.m_deadline - aRequest.m_queue->m_runTime.UpperEstimate(aNow) -
         aRequest.m_responseMargin;
}

Micros Scheduler::ExpectedWait(TimePoint aNow, const RequestQueue& aQueue) const
{
  const SlotCount slots = m_minions.CountHealthySlots(aNow);
  return m_queues.ExpectedWait(aNow, aQueue, slots, ReserveSlots(aNow, slots.m_total));
}

Refusal Scheduler::MakeRefusal(TimePoint aNow,
                               const AdmittedRequest& aRequest,
                               RefusalReason aReason) const
{
  const Millis wait = CeilMillis(ExpectedWait(aNow, *aRequest.m_queue));
  const Millis retryAfter = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
  return { aReason, retryAfter, aRequest.m_mayHaveRun };
}

bool Scheduler::RemoveQueued(TimePoint, RequestId aId)
{
  const auto found = m_requests.find(aId);
  if (found == m_requests.end() || !found->second->m_isWaiting) {
    return false;
  }
  std::erase(found->second->m_queue->m_waiting, found->second.get());
  m_requests.erase(found);
  m_queues.DropRetired();
  return true;
}

// --- Slot reservation and credits

int Scheduler::ReserveSlots(TimePoint aNow, int aTotal) const
{
  return m_reserve.Slots(aNow, aTotal, MaxReserve(aTotal));
}

void Scheduler::AdvanceCredits(TimePoint aNow)
{
  m_queues.AdvanceCredits(aNow, m_minions.CountHealthySlots(aNow).m_total);
}

void Scheduler::UpdateUrgentReserve(TimePoint aNow)
{
  const SlotCount slots = m_minions.CountHealthySlots(aNow);
  if (slots.m_free == 0 && m_queues.RunningAboveFloor(slots.m_total) > 0) {
    m_reserve.OnUrgentBlocked(aNow, MaxReserve(slots.m_total));
  }
}

// --- Assignment

std::optional<Assignment> Scheduler::Next(TimePoint aNow)
{
  AdvanceCredits(aNow);
  const SlotCount slots = m_minions.CountHealthySlots(aNow);
  for (RequestQueue* queue : m_queues.Order(m_policy.m_order, slots.m_total)) {
    if (auto assignment = AssignFrom(aNow, *queue, slots)) {
      return assignment;
    }
  }
  return std::nullopt;
}

std::optional<Assignment> Scheduler::AssignFrom(TimePoint aNow,
                                                RequestQueue& aQueue,
                                                const SlotCount& aSlots)
{
  const std::size_t end = std::min(aQueue.m_waiting.size(), kMaxScannedRequests);
  for (std::size_t i = 0; i < end; ++i) {
    AdmittedRequest& request = *aQueue.m_waiting[i];
    if (CannotMeetDeadline(aNow, request)) {
      m_nextExpiry = aNow;
      continue;
    }
    if (auto target = ChooseTarget(aNow, request, aSlots)) {
      aQueue.m_waiting.erase(aQueue.m_waiting.begin() + static_cast<std::ptrdiff_t>(i));
      return Start(aNow, request, std::move(*target));
    }
  }
  return std::nullopt;
}

std::optional<Target> Scheduler::ChooseTarget(TimePoint aNow,
                                              AdmittedRequest& aRequest,
                                              const SlotCount& aSlots)
{
  auto target = ChooseMinion(aNow, aRequest, aSlots);
  if (!target && aRequest.m_mayForward) {
    target = ChoosePeer(aNow, aRequest, aSlots);
  }
  return target;
}

std::optional<Target> Scheduler::ChooseMinion(TimePoint aNow,
                                              AdmittedRequest& aRequest,
                                              const SlotCount& aSlots)
{
  const RequestQueue& queue = *aRequest.m_queue;
  ProbeRisk risk = queue.IsUrgent() ? ProbeRisk::Medium : ProbeRisk::Low;
  risk = aRequest.m_info.m_idempotent ? risk : ProbeRisk::High;
  auto choice = m_minions.TakeProbe(aNow, risk);
  aRequest.m_reason = RouteReason::Probe;
  const int reserve = ReserveSlots(aNow, aSlots.m_total);
  if (!choice && m_queues.MayUseSlot(queue, aSlots, reserve)) {
    choice = m_minions.TakeHealthy(aNow, aRequest.m_triedMinions);
    const bool isBelowFloor = m_queues.IsBelowFloor(queue, aSlots.m_total);
    aRequest.m_reason = isBelowFloor ? RouteReason::Floor : RouteReason::FreeSlot;
  }
  if (!choice) {
    return std::nullopt;
  }
  return Target{ TargetKind::Minion, choice->m_minion };
}

std::optional<Target> Scheduler::ChoosePeer(TimePoint aNow,
                                            AdmittedRequest& aRequest,
                                            const SlotCount& aSlots)
{
  const RequestQueue& queue = *aRequest.m_queue;
  const Micros wait =
    aSlots.m_total == 0 ? Micros::max() : queue.m_runTime.Mean(aNow) / aSlots.m_total;
  const PeerCapacity* peer = m_peers.Take(queue.m_config.m_urgency, aRequest.m_info.m_hops, wait);
  if (!peer) {
    return std::nullopt;
  }
  aRequest.m_mayForward = false;
  aRequest.m_reason = peer->m_isSameZone ? RouteReason::ZonePeer : RouteReason::OtherZone;
  aRequest.m_outgoingHops = aRequest.m_info.m_hops;
  aRequest.m_outgoingHops.m_withinZone |= peer->m_isSameZone;
  aRequest.m_outgoingHops.m_acrossZones |= !peer->m_isSameZone;
  return Target{ TargetKind::EntryVm, peer->m_id };
}

Micros Scheduler::AttemptTimeout(TimePoint aNow, const AdmittedRequest& aRequest) const
{
  const Micros left = aRequest.m_info.m_deadline - aNow;
  const bool mayRetry = aRequest.m_info.m_idempotent && aRequest.m_attempts < kMaxAttempts &&
                        aRequest.m_target.m_kind == TargetKind::Minion;
  const bool fits =
    left / 2 > kRunsBeforeEarlyTimeout * aRequest.m_queue->m_runTime.UpperEstimate(aNow);
  return mayRetry && fits ? left / 2 : left;
}

Assignment Scheduler::Start(TimePoint aNow, AdmittedRequest& aRequest, Target aTarget)
{
  RequestQueue& queue = *aRequest.m_queue;
  aRequest.m_isWaiting = false;
  aRequest.m_target = aTarget;
  ++aRequest.m_attempts;
  queue.m_lastStart = ++m_starts;
  if (aTarget.m_kind == TargetKind::Minion) {
    ++queue.m_running;
  } else {
    ++queue.m_forwarded;
  }
  Assignment assignment;
  assignment.m_request = aRequest.m_info.m_id;
  assignment.m_target = std::move(aTarget);
  assignment.m_timeout = AttemptTimeout(aNow, aRequest);
  assignment.m_hops = aRequest.m_outgoingHops;
  assignment.m_reason = aRequest.m_reason;
  assignment.m_attempt = aRequest.m_attempts;
  return assignment;
}

// --- Completion

AttemptDecision Scheduler::OnAttemptFinished(TimePoint aNow,
                                             RequestId aId,
                                             AttemptOutcome aOutcome,
                                             Micros aRunTime)
{
  const auto found = m_requests.find(aId);
  if (found == m_requests.end() || found->second->m_isWaiting) {
    return {};
  }
  AdvanceCredits(aNow);
  AdmittedRequest& request = *found->second;
  EndAttempt(aNow, request, aOutcome, aRunTime);
  const AttemptDecision decision = DecideNextStep(aNow, request, aOutcome);
  if (decision.m_step == NextStep::Retry) {
    Requeue(request);
    UpdateNextExpiry(aNow, request);
  } else {
    m_requests.erase(found);
    m_queues.DropRetired();
  }
  return decision;
}

void Scheduler::EndAttempt(TimePoint aNow,
                           AdmittedRequest& aRequest,
                           AttemptOutcome aOutcome,
                           Micros aRunTime)
{
  RequestQueue& queue = *aRequest.m_queue;
  if (aRequest.m_target.m_kind == TargetKind::EntryVm) {
    --queue.m_forwarded;
    if (aOutcome == AttemptOutcome::Succeeded) {
      m_peers.Release(aRequest.m_target.m_id);
    } else {
      m_peers.ClearCapacity(aRequest.m_target.m_id);
    }
    return;
  }
  --queue.m_running;
  HealthSample sample{
    aOutcome, aRunTime, queue.m_runTime.Mean(aNow), aRequest.m_reason == RouteReason::Probe
  };
  m_minions.Release(aNow, aRequest.m_target.m_id, sample, aNow - aRunTime + m_config.m_maxRun);
  aRequest.m_triedMinions.push_back(aRequest.m_target.m_id);
  if (aOutcome == AttemptOutcome::Succeeded || aOutcome == AttemptOutcome::TimedOut) {
    queue.m_runTime.Add(aNow, aRunTime);
  }
  if (aOutcome == AttemptOutcome::Succeeded) {
    m_retryBudget.OnSuccess();
  }
}

AttemptDecision Scheduler::DecideNextStep(TimePoint aNow,
                                          AdmittedRequest& aRequest,
                                          AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
      return { NextStep::PassOn, {} };
    case AttemptOutcome::MinionFailed:
      return DecideAfterRun(aNow, aRequest, NextStep::PassOn);
    case AttemptOutcome::NotSent:
    case AttemptOutcome::RefusedNotRun:
      return DecideAfterNotRun(aNow, aRequest);
    case AttemptOutcome::Broken:
    case AttemptOutcome::TimedOut:
      break;
  }
  return DecideAfterRun(aNow, aRequest, NextStep::Unknown);
}

bool Scheduler::MayRetry(TimePoint aNow, const AdmittedRequest& aRequest)
{
  return aRequest.m_attempts < kMaxAttempts && !CannotMeetDeadline(aNow, aRequest) &&
         m_retryBudget.Take();
}

AttemptDecision Scheduler::DecideAfterRun(TimePoint aNow, AdmittedRequest& aRequest, NextStep aElse)
{
  aRequest.m_mayHaveRun = true;
  if (aRequest.m_info.m_idempotent && MayRetry(aNow, aRequest)) {
    return { NextStep::Retry, {} };
  }
  return { aElse, {} };
}

AttemptDecision Scheduler::DecideAfterNotRun(TimePoint aNow, AdmittedRequest& aRequest)
{
  // A request is forwarded at most once, so a retry after a refused forward needs no retry budget.
  const bool wasForwarded = aRequest.m_target.m_kind == TargetKind::EntryVm;
  const bool mayRetry =
    wasForwarded ? !CannotMeetDeadline(aNow, aRequest) : MayRetry(aNow, aRequest);
  if (mayRetry) {
    return { NextStep::Retry, {} };
  }
  if (aRequest.m_mayHaveRun) {
    return { NextStep::Unknown, {} };
  }
  const auto reason = CannotMeetDeadline(aNow, aRequest) ? RefusalReason::DeadlinePassed
                                                         : RefusalReason::RetriesSpent;
  return { NextStep::Refuse, MakeRefusal(aNow, aRequest, reason) };
}

void Scheduler::Requeue(AdmittedRequest& aRequest)
{
  aRequest.m_isWaiting = true;
  aRequest.m_queue->m_waiting.push_front(&aRequest);
}

void Scheduler::OnSlotFreed(TimePoint aNow, const std::string& aMinion)
{
  AdvanceCredits(aNow);
  m_minions.OnSlotFreed(aMinion);
}

// --- Expiry and wake-ups

void Scheduler::UpdateNextExpiry(TimePoint aNow, const AdmittedRequest& aRequest)
{
  const TimePoint latestStart = LatestStart(aNow, aRequest);
  m_nextExpiry = m_nextExpiry ? std::min(*m_nextExpiry, latestStart) : latestStart;
}

std::vector<ExpiredRequest> Scheduler::Expire(TimePoint aNow)
{
  std::vector<ExpiredRequest> expired;
  if (!m_nextExpiry || aNow < *m_nextExpiry) {
    return expired;
  }
  m_nextExpiry.reset();
  for (const auto& queue : m_queues.All()) {
    std::erase_if(queue->m_waiting, [&](const AdmittedRequest* aRequest) {
      if (!CannotMeetDeadline(aNow, *aRequest)) {
        UpdateNextExpiry(aNow, *aRequest);
        return false;
      }
      expired.push_back(
        { aRequest->m_info.m_id, MakeRefusal(aNow, *aRequest, RefusalReason::DeadlinePassed) });
      return true;
    });
  }
  for (const ExpiredRequest& expiredRequest : expired) {
    m_requests.erase(expiredRequest.m_request);
  }
  m_queues.DropRetired();
  return expired;
}

std::optional<TimePoint> Scheduler::NextWake(TimePoint aNow) const
{
  std::optional<TimePoint> next = m_nextExpiry;
  const bool anyWaiting =
    std::any_of(m_queues.All().begin(), m_queues.All().end(), [](const auto& aQueue) {
      return !aQueue->m_waiting.empty();
    });
  const auto minionWake = m_minions.NextWake(aNow);
  if (anyWaiting && minionWake) {
    next = next ? std::min(*next, *minionWake) : *minionWake;
  }
  return next;
}

ServiceLoad Scheduler::Load(TimePoint aNow) const
{
  const SlotCount slots = m_minions.CountHealthySlots(aNow);
  ServiceLoad load;
  load.m_slots = slots.m_total;
  load.m_reserve = ReserveSlots(aNow, slots.m_total);
  Micros work{ 0 };
  int running = 0;
  for (const auto& queue : m_queues.All()) {
    const int waiting = queue->Waiting();
    (queue->IsUrgent() ? load.m_queuedUrgent : load.m_queuedMayWait) += waiting;
    work += (1 + queue->m_running) * queue->m_runTime.Mean(aNow);
    running += queue->m_running + 1;
  }
  load.m_meanRunTime = running == 0 ? Micros(0) : work / running;
  load.m_freeUrgent = std::max(0, slots.m_free - load.m_queuedUrgent);
  const int queued = load.m_queuedUrgent + load.m_queuedMayWait;
  const int beyondReserve = slots.m_free - load.m_reserve - queued;
  load.m_freeMayWait = std::max(beyondReserve, m_queues.UnusedFloorSlots(slots.m_total));
  return load;
}

int Scheduler::SlotsInUse(TimePoint aNow, const std::string& aMinion) const
{
  return m_minions.InUse(aNow, aMinion);
}

} // namespace mustardtray
