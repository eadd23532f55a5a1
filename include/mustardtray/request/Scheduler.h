#pragma once

/// Admission control and routing of one service at one entry VM. Not thread-safe. After each event,
/// the owner calls Next() until it returns nothing, then Expire(), and calls both again at
/// NextWake().

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/MinionSlots.h"
#include "mustardtray/request/PeerCapacities.h"
#include "mustardtray/request/RequestQueue.h"
#include "mustardtray/request/RetryBudget.h"
#include "mustardtray/request/Routing.h"
#include "mustardtray/request/RunTimeEstimate.h"
#include "mustardtray/request/UrgentReserve.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// Variants for comparison in benchmarks. The daemon uses the defaults.
struct SchedulerPolicy
{
  ReservePolicy m_reserve = ReservePolicy::Adaptive;
  QueueOrder m_order = QueueOrder::ByUrgency;
};

class Scheduler
{
public:
  explicit Scheduler(ServiceConfig aConfig, SchedulerPolicy aPolicy = {});
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Applies a configuration. Queues with the same name keep their state; requests of a removed
  /// queue are still served.
  void Configure(TimePoint aNow, ServiceConfig aConfig);
  /// Replaces the shares. A minion that is not listed or has no slots receives no new requests; its
  /// running requests continue.
  void SetMinions(TimePoint aNow, const std::vector<MinionShare>& aShares);
  void SetPeers(TimePoint aNow, std::vector<PeerCapacity> aPeers);

  /// Queues a request, or returns the reason for its refusal. A refused request has not run.
  std::optional<Refusal> Offer(TimePoint aNow, const RequestInfo& aRequest);
  /// Removes a queued request whose caller has disconnected. Returns false if it is not queued.
  bool RemoveQueued(TimePoint aNow, RequestId aId);
  /// Returns the next request to send, if one can start now.
  std::optional<Assignment> Next(TimePoint aNow);
  /// Removes and returns the queued requests that can no longer meet their deadline.
  std::vector<ExpiredRequest> Expire(TimePoint aNow);
  /// The next time at which Next() or Expire() may return a request without another event.
  std::optional<TimePoint> NextWake(TimePoint aNow) const;

  /// Reports the outcome of the request's current attempt and decides the next step. Any step other
  /// than Retry completes the request. After TimedOut at a minion, the slot stays taken until
  /// OnSlotFreed() or until the service's maximum run time has passed. aRunTime is the attempt's
  /// duration.
  AttemptDecision OnAttemptFinished(TimePoint aNow,
                                    RequestId aId,
                                    AttemptOutcome aOutcome,
                                    Micros aRunTime);
  /// Reports that the minion has ended an attempt that had timed out.
  void OnSlotFreed(TimePoint aNow, const std::string& aMinion);

  ServiceLoad Load(TimePoint aNow) const;
  bool IsHealthy(const std::string& aMinion) const { return m_minions.Health().IsHealthy(aMinion); }
  /// Slots of a minion that this entry VM uses, including those held by timed-out attempts.
  int SlotsInUse(TimePoint aNow, const std::string& aMinion) const;

private:
  int ReserveSlots(TimePoint aNow, int aTotal) const;
  void AdvanceCredits(TimePoint aNow);
  void UpdateUrgentReserve(TimePoint aNow);
  bool CannotMeetDeadline(TimePoint aNow, const AdmittedRequest& aRequest) const;
  /// Latest start after which the response would not reach the caller by the deadline.
  static TimePoint LatestStart(TimePoint aNow, const AdmittedRequest& aRequest);
  Micros ExpectedWait(TimePoint aNow, const RequestQueue& aQueue) const;
  std::optional<RefusalReason> CheckAdmission(TimePoint aNow,
                                              const AdmittedRequest& aRequest) const;
  Refusal MakeRefusal(TimePoint aNow, const AdmittedRequest& aRequest, RefusalReason aReason) const;

  std::optional<Assignment> AssignFrom(TimePoint aNow,
                                       RequestQueue& aQueue,
                                       const SlotCount& aSlots);
  std::optional<Target> ChooseTarget(TimePoint aNow,
                                     AdmittedRequest& aRequest,
                                     const SlotCount& aSlots);
  std::optional<Target> ChooseMinion(TimePoint aNow,
                                     AdmittedRequest& aRequest,
                                     const SlotCount& aSlots);
  std::optional<Target> ChoosePeer(TimePoint aNow,
                                   AdmittedRequest& aRequest,
                                   const SlotCount& aSlots);
  Assignment Start(TimePoint aNow, AdmittedRequest& aRequest, Target aTarget);
  Micros AttemptTimeout(TimePoint aNow, const AdmittedRequest& aRequest) const;

  void EndAttempt(TimePoint aNow,
                  AdmittedRequest& aRequest,
                  AttemptOutcome aOutcome,
                  Micros aRunTime);
  AttemptDecision DecideNextStep(TimePoint aNow,
                                 AdmittedRequest& aRequest,
                                 AttemptOutcome aOutcome);
  AttemptDecision DecideAfterNotRun(TimePoint aNow, AdmittedRequest& aRequest);
  AttemptDecision DecideAfterRun(TimePoint aNow, AdmittedRequest& aRequest, NextStep aElse);
  bool MayRetry(TimePoint aNow, const AdmittedRequest& aRequest);
  void Requeue(AdmittedRequest& aRequest);
  void UpdateNextExpiry(TimePoint aNow, const AdmittedRequest& aRequest);

  ServiceConfig m_config;
  SchedulerPolicy m_policy;
  QueueSet m_queues;
  std::unordered_map<RequestId, std::unique_ptr<AdmittedRequest>> m_requests;
  MinionSlots m_minions;
  PeerCapacities m_peers;
  RetryBudget m_retryBudget;
  UrgentReserve m_reserve;
  std::uint64_t m_arrivals = 0;
  std::uint64_t m_starts = 0;
  std::optional<TimePoint> m_nextExpiry;
};

} // namespace mustardtray
