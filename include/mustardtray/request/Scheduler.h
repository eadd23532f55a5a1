#pragma once

/// Admission and routing of one service at one entry VM. One thread owns it. After each event call
/// Next() until it is empty and Expire(); call both again at NextWake().

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/MinionSlots.h"
#include "mustardtray/request/PeerRooms.h"
#include "mustardtray/request/RequestQueue.h"
#include "mustardtray/request/RetryBudget.h"
#include "mustardtray/request/Routing.h"
#include "mustardtray/request/RunTimeEstimate.h"
#include "mustardtray/request/UrgentReserve.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// Variants that benches compare; the daemon uses the defaults.
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

  /// Puts another configuration version into force. Queues keep their state by name; requests of
  /// a queue that is gone are still served.
  void Configure(TimePoint aNow, ServiceConfig aConfig);
  /// Shares may change at any time. A minion that is not listed or has no slots takes no new work;
  /// what runs there goes on.
  void SetMinions(TimePoint aNow, const std::vector<MinionShare>& aShares);
  void SetPeers(TimePoint aNow, std::vector<PeerRoom> aPeers);

  /// Queues a request, or refuses it with proof that it did not run.
  std::optional<Refusal> Offer(TimePoint aNow, const RequestInfo& aRequest);
  /// Forgets a queued request whose caller is gone. False when it is not queued.
  bool Withdraw(TimePoint aNow, RequestId aId);
  /// The next request to send, if one can start now.
  std::optional<Assignment> Next(TimePoint aNow);
  /// Queued requests that can no longer meet their deadline; they are forgotten.
  std::vector<Expired> Expire(TimePoint aNow);
  /// When time alone may change what Next() or Expire() return.
  std::optional<TimePoint> NextWake(TimePoint aNow) const;

  /// Reports the end of the request's current attempt. Anything but Retry ends the request here.
  /// After TimedOut at a minion its slot stays taken until SlotFreed() or until the service's
  /// longest run time has passed.
  AttemptVerdict OnFinished(TimePoint aNow, RequestId aId, AttemptOutcome aOutcome, Micros aRun);
  /// The minion has ended an attempt that had timed out.
  void SlotFreed(TimePoint aNow, const std::string& aMinion);

  ServiceLoad Load(TimePoint aNow) const;
  bool IsHealthy(const std::string& aMinion) const { return m_minions.Health().IsHealthy(aMinion); }
  /// Slots of a minion that this entry VM holds now, timed-out attempts included.
  int SlotsInUse(TimePoint aNow, const std::string& aMinion) const;

private:
  int ReserveSlots(TimePoint aNow, int aTotal) const;
  void AdvanceCredits(TimePoint aNow);
  void NoteUrgentArrival(TimePoint aNow);
  bool IsHopeless(TimePoint aNow, const AdmittedRequest& aRequest) const;
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

  void EndAttempt(TimePoint aNow, AdmittedRequest& aRequest, AttemptOutcome aOutcome, Micros aRun);
  AttemptVerdict Judge(TimePoint aNow, AdmittedRequest& aRequest, AttemptOutcome aOutcome);
  AttemptVerdict JudgeNotRun(TimePoint aNow, AdmittedRequest& aRequest);
  AttemptVerdict JudgeRun(TimePoint aNow, AdmittedRequest& aRequest, NextStep aOtherwise);
  bool MayRetry(TimePoint aNow, const AdmittedRequest& aRequest);
  void Requeue(AdmittedRequest& aRequest);
  void NoteWaiting(TimePoint aNow, const AdmittedRequest& aRequest);

  ServiceConfig m_config;
  SchedulerPolicy m_policy;
  QueueSet m_queues;
  std::unordered_map<RequestId, std::unique_ptr<AdmittedRequest>> m_requests;
  MinionSlots m_minions;
  PeerRooms m_peers;
  RetryBudget m_retryBudget;
  UrgentReserve m_reserve;
  std::uint64_t m_arrivals = 0;
  std::uint64_t m_starts = 0;
  std::optional<TimePoint> m_nextExpiry;
};

} // namespace mustardtray
