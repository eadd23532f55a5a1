#include "mustardtray/request/Scheduler.h"

#include <algorithm>

namespace mustardtray {

namespace {

constexpr int kMaxAttempts = 3;
constexpr Millis kShortestRetryAfter{ 100 };
constexpr Millis kLongestRetryAfter{ 60'000 };
/// Requests looked at for one that may use what is free, when the first may not.
constexpr std::size_t kLookAhead = 8;
/// An attempt that can be retried ends early only when this many likely run times fit.
constexpr int kRunsBeforeEarlyTimeout = 3;

/// May-wait work keeps at least half of the slots from the reserve.
int HighestReserve(int aTotalSlots)
{
  return aTotalSlots / 2;
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
  m_minions.Set(aShares);
}

void Scheduler::SetPeers(TimePoint, std::vector<PeerRoom> aPeers)
{
  m_peers.Set(std::move(aPeers));
}

// --- Admission

std::optional<Refusal> Scheduler::Offer(TimePoint aNow, const RequestInfo& aRequest)
{
  RequestQueue* queue = m_queues.At(aRequest.m_queue);
  if (!queue) {
    return Refusal{ RefusalReason::UnknownQueue, kShortestRetryAfter };
  }
  auto request = std::make_unique<AdmittedRequest>();
  request->m_info = aRequest;
  request->m_queue = queue;
  request->m_arrival = ++m_arrivals;
  if (m_requests.contains(aRequest.m_id)) {
    return MakeRefusal(aNow, *request, RefusalReason::DuplicateId);
  }
  if (const auto reason = CheckAdmission(aNow, *request)) {
    return MakeRefusal(aNow, *request, *reason);
  }
  AdvanceCredits(aNow);
  if (request->m_queue->IsUrgent()) {
    NoteUrgentArrival(aNow);
  }
  request->m_queue->m_waiting.push_back(request.get());
  NoteWaiting(aNow, *request);
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
  const bool peersHaveRoom = m_peers.HasRoom(queue.m_config.m_urgency, aRequest.m_info.m_hops);
  if (!m_minions.HasAny() && !peersHaveRoom) {
    return RefusalReason::NoMinion;
  }
  if (IsHopeless(aNow, aRequest)) {
    return RefusalReason::DeadlineTooClose;
  }
  const Micros wait = peersHaveRoom ? Micros(0) : ExpectedWait(aNow, queue);
  if (aNow + wait + queue.m_run.Likely(aNow) > aRequest.m_info.m_deadline) {
    return RefusalReason::DeadlineTooClose;
  }
  return std::nullopt;
}

bool Scheduler::IsHopeless(TimePoint aNow, const AdmittedRequest& aRequest) const
{
  return aNow + aRequest.m_queue->m_run.Likely(aNow) > aRequest.m_info.m_deadline;
}

Micros Scheduler::ExpectedWait(TimePoint aNow, const RequestQueue& aQueue) const
{
  const SlotCount slots = m_minions.Count(aNow);
  return m_queues.ExpectedWait(aNow, aQueue, slots, ReserveSlots(aNow, slots.m_total));
}

Refusal Scheduler::MakeRefusal(TimePoint aNow,
                               const AdmittedRequest& aRequest,
                               RefusalReason aReason) const
{
  const Millis wait = CeilMillis(ExpectedWait(aNow, *aRequest.m_queue));
  const Millis retryAfter = std::clamp(wait, kShortestRetryAfter, kLongestRetryAfter);
  return { aReason, retryAfter, aRequest.m_mayHaveRun };
}

bool Scheduler::Withdraw(TimePoint, RequestId aId)
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

// --- Shares of the slots

int Scheduler::ReserveSlots(TimePoint aNow, int aTotal) const
{
  return m_reserve.Slots(aNow, aTotal, HighestReserve(aTotal));
}

void Scheduler::AdvanceCredits(TimePoint aNow)
{
  m_queues.AdvanceCredits(aNow, m_minions.Count(aNow).m_total);
}

void Scheduler::NoteUrgentArrival(TimePoint aNow)
{
  const SlotCount slots = m_minions.Count(aNow);
  if (slots.m_free == 0 && m_queues.MayWaitBeyondFloor(slots.m_total) > 0) {
    m_reserve.OnUrgentBlocked(aNow, HighestReserve(slots.m_total));
  }
}

// --- Assignment

std::optional<Assignment> Scheduler::Next(TimePoint aNow)
{
  AdvanceCredits(aNow);
  const SlotCount slots = m_minions.Count(aNow);
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
  const std::size_t end = std::min(aQueue.m_waiting.size(), kLookAhead);
  for (std::size_t i = 0; i < end; ++i) {
    AdmittedRequest& request = *aQueue.m_waiting[i];
    if (IsHopeless(aNow, request)) {
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
    choice = m_minions.Take(aNow, aRequest.m_tried);
    const bool floorDue = m_queues.IsFloorDue(queue, aSlots.m_total);
    aRequest.m_reason = floorDue ? RouteReason::Floor : RouteReason::FreeSlot;
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
  const Micros wait = aSlots.m_total == 0 ? Micros::max() : queue.m_run.Mean(aNow) / aSlots.m_total;
  const PeerRoom* peer = m_peers.Take(queue.m_config.m_urgency, aRequest.m_info.m_hops, wait);
  if (!peer) {
    return std::nullopt;
  }
  aRequest.m_mayForward = false;
  aRequest.m_reason = peer->m_sameZone ? RouteReason::ZonePeer : RouteReason::OtherZone;
  aRequest.m_sentHops = aRequest.m_info.m_hops;
  aRequest.m_sentHops.m_withinZone |= peer->m_sameZone;
  aRequest.m_sentHops.m_acrossZones |= !peer->m_sameZone;
  return Target{ TargetKind::EntryVm, peer->m_id };
}

Micros Scheduler::AttemptTimeout(TimePoint aNow, const AdmittedRequest& aRequest) const
{
  const Micros left = aRequest.m_info.m_deadline - aNow;
  const bool mayRetry = aRequest.m_info.m_idempotent && aRequest.m_attempts < kMaxAttempts &&
                        aRequest.m_target.m_kind == TargetKind::Minion;
  const bool fits = left / 2 > kRunsBeforeEarlyTimeout * aRequest.m_queue->m_run.Likely(aNow);
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
  assignment.m_hops = aRequest.m_sentHops;
  assignment.m_reason = aRequest.m_reason;
  assignment.m_attempt = aRequest.m_attempts;
  return assignment;
}

// --- Ends

AttemptVerdict Scheduler::OnFinished(TimePoint aNow,
                                     RequestId aId,
                                     AttemptOutcome aOutcome,
                                     Micros aRun)
{
  const auto found = m_requests.find(aId);
  if (found == m_requests.end() || found->second->m_isWaiting) {
    return {};
  }
  AdvanceCredits(aNow);
  AdmittedRequest& request = *found->second;
  EndAttempt(aNow, request, aOutcome, aRun);
  const AttemptVerdict verdict = Judge(aNow, request, aOutcome);
  if (verdict.m_step == NextStep::Retry) {
    Requeue(request);
    NoteWaiting(aNow, request);
  } else {
    m_requests.erase(found);
    m_queues.DropRetired();
  }
  return verdict;
}

void Scheduler::EndAttempt(TimePoint aNow,
                           AdmittedRequest& aRequest,
                           AttemptOutcome aOutcome,
                           Micros aRun)
{
  RequestQueue& queue = *aRequest.m_queue;
  if (aRequest.m_target.m_kind == TargetKind::EntryVm) {
    --queue.m_forwarded;
    if (aOutcome != AttemptOutcome::Succeeded) {
      m_peers.SetFull(aRequest.m_target.m_id);
    }
    return;
  }
  --queue.m_running;
  HealthSample sample{
    aOutcome, aRun, queue.m_run.Mean(aNow), aRequest.m_reason == RouteReason::Probe
  };
  m_minions.Release(aNow, aRequest.m_target.m_id, sample, aNow - aRun + m_config.m_maxRun);
  aRequest.m_tried.push_back(aRequest.m_target.m_id);
  if (aOutcome == AttemptOutcome::Succeeded || aOutcome == AttemptOutcome::TimedOut) {
    queue.m_run.Add(aNow, aRun);
  }
  if (aOutcome == AttemptOutcome::Succeeded) {
    m_retryBudget.OnSuccess();
  }
}

AttemptVerdict Scheduler::Judge(TimePoint aNow, AdmittedRequest& aRequest, AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
      return { NextStep::PassOn, {} };
    case AttemptOutcome::MinionFailed:
      return JudgeRun(aNow, aRequest, NextStep::PassOn);
    case AttemptOutcome::NotSent:
    case AttemptOutcome::RefusedNotRun:
      return JudgeNotRun(aNow, aRequest);
    case AttemptOutcome::Broken:
    case AttemptOutcome::TimedOut:
      break;
  }
  return JudgeRun(aNow, aRequest, NextStep::Unknown);
}

bool Scheduler::MayRetry(TimePoint aNow, const AdmittedRequest& aRequest)
{
  return aRequest.m_attempts < kMaxAttempts && !IsHopeless(aNow, aRequest) && m_retryBudget.Take();
}

AttemptVerdict Scheduler::JudgeRun(TimePoint aNow, AdmittedRequest& aRequest, NextStep aOtherwise)
{
  aRequest.m_mayHaveRun = true;
  if (aRequest.m_info.m_idempotent && MayRetry(aNow, aRequest)) {
    return { NextStep::Retry, {} };
  }
  return { aOtherwise, {} };
}

AttemptVerdict Scheduler::JudgeNotRun(TimePoint aNow, AdmittedRequest& aRequest)
{
  // A request is forwarded at most once from here, so coming back needs no retry budget.
  const bool wasForwarded = aRequest.m_target.m_kind == TargetKind::EntryVm;
  const bool mayRetry = wasForwarded ? !IsHopeless(aNow, aRequest) : MayRetry(aNow, aRequest);
  if (mayRetry) {
    return { NextStep::Retry, {} };
  }
  if (aRequest.m_mayHaveRun) {
    return { NextStep::Unknown, {} };
  }
  const auto reason =
    IsHopeless(aNow, aRequest) ? RefusalReason::DeadlinePassed : RefusalReason::RetriesSpent;
  return { NextStep::Refuse, MakeRefusal(aNow, aRequest, reason) };
}

void Scheduler::Requeue(AdmittedRequest& aRequest)
{
  aRequest.m_isWaiting = true;
  aRequest.m_queue->m_waiting.push_front(&aRequest);
}

void Scheduler::SlotFreed(TimePoint aNow, const std::string& aMinion)
{
  AdvanceCredits(aNow);
  m_minions.SlotFreed(aMinion);
}

// --- Time

void Scheduler::NoteWaiting(TimePoint aNow, const AdmittedRequest& aRequest)
{
  const TimePoint latestStart = aRequest.m_info.m_deadline - aRequest.m_queue->m_run.Likely(aNow);
  m_nextExpiry = m_nextExpiry ? std::min(*m_nextExpiry, latestStart) : latestStart;
}

std::vector<Expired> Scheduler::Expire(TimePoint aNow)
{
  std::vector<Expired> expired;
  if (!m_nextExpiry || aNow < *m_nextExpiry) {
    return expired;
  }
  m_nextExpiry.reset();
  for (const auto& queue : m_queues.All()) {
    std::erase_if(queue->m_waiting, [&](const AdmittedRequest* aRequest) {
      if (!IsHopeless(aNow, *aRequest)) {
        NoteWaiting(aNow, *aRequest);
        return false;
      }
      expired.push_back(
        { aRequest->m_info.m_id, MakeRefusal(aNow, *aRequest, RefusalReason::DeadlinePassed) });
      return true;
    });
  }
  for (const Expired& one : expired) {
    m_requests.erase(one.m_request);
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
  const SlotCount slots = m_minions.Count(aNow);
  ServiceLoad load;
  load.m_slots = slots.m_total;
  load.m_reserve = ReserveSlots(aNow, slots.m_total);
  Micros work{ 0 };
  int running = 0;
  for (const auto& queue : m_queues.All()) {
    const int waiting = queue->Waiting();
    (queue->IsUrgent() ? load.m_queuedUrgent : load.m_queuedMayWait) += waiting;
    work += (1 + queue->m_running) * queue->m_run.Mean(aNow);
    running += queue->m_running + 1;
  }
  load.m_meanRun = running == 0 ? Micros(0) : work / running;
  load.m_freeUrgent = std::max(0, slots.m_free - load.m_queuedUrgent);
  const int queued = load.m_queuedUrgent + load.m_queuedMayWait;
  load.m_freeMayWait = std::max(0, slots.m_free - load.m_reserve - queued);
  return load;
}

int Scheduler::SlotsInUse(TimePoint aNow, const std::string& aMinion) const
{
  return m_minions.InUse(aNow, aMinion);
}

} // namespace mustardtray
