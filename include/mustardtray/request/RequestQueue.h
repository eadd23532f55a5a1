#pragma once

/// Queues of requests of one service that wait at this entry VM, one for each kind of work.

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/MinionSlots.h"
#include "mustardtray/request/Routing.h"
#include "mustardtray/request/RunTimeEstimate.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// Order in which the queues receive free slots.
enum class QueueOrder
{
  ByUrgency,            ///< Urgent queues first, with a guaranteed floor for each may-wait queue.
  FirstComeFirstServed, ///< By arrival, regardless of urgency.
};

struct RequestQueue;

/// State of a request from its admission to its completion.
struct AdmittedRequest
{
  RequestInfo m_info;
  RequestQueue* m_queue = nullptr;
  std::uint64_t m_arrival = 0;  ///< Sequence number of the arrival.
  Micros m_responseMargin{ 0 }; ///< Reserved before the deadline for the response's way back.
  bool m_isWaiting = true;
  bool m_mayForward = true; ///< False after it was forwarded to a peer once.
  bool m_mayHaveRun = false;
  int m_attempts = 0;
  Target m_target;                              ///< Target of the last attempt.
  RouteReason m_reason = RouteReason::FreeSlot; ///< Reason for the last target.
  Hops m_outgoingHops; ///< Hops sent with the last attempt if its target is an entry VM.
  std::vector<std::string> m_triedMinions;
};

struct RequestQueue
{
  explicit RequestQueue(QueueConfig aConfig)
    : m_config(std::move(aConfig))
    , m_runTime(m_config.m_expectedRun)
  {
  }

  bool IsUrgent() const { return m_config.m_urgency == Urgency::Urgent; }
  int Waiting() const { return static_cast<int>(m_waiting.size()); }
  bool IsIdle() const { return m_waiting.empty() && m_running == 0 && m_forwarded == 0; }

  QueueConfig m_config;
  RunTimeEstimate m_runTime;
  std::deque<AdmittedRequest*> m_waiting;
  int m_running = 0;                           ///< Attempts in progress at minions.
  int m_forwarded = 0;                         ///< Attempts in progress at peers.
  std::chrono::duration<double> m_credit{ 0 }; ///< Slot time by which the queue is below its floor.
  std::uint64_t m_lastStart = 0;               ///< Sequence number of the last start.
  bool m_isRetired = false; ///< True if the queue is no longer in the configuration.
};

/// The queues of a service. Decides which queue may use the next slot and estimates the waiting
/// time of new requests.
class QueueSet
{
public:
  /// Replaces the configuration. Queues with the same name keep their state; a removed queue stays
  /// until its requests have completed.
  void Configure(const std::vector<QueueConfig>& aConfigs);
  /// The configured queue with this index, or nullptr if there is none.
  RequestQueue* At(std::size_t aIndex) const;
  const std::vector<std::unique_ptr<RequestQueue>>& All() const { return m_queues; }
  /// Deletes the queues that are not configured any more and have no requests.
  void DropRetired();

  /// Updates the credits for the time since the last call. To be called before any change of the
  /// queues or slots.
  void AdvanceCredits(TimePoint aNow, int aTotalSlots);
  /// True if a may-wait queue has received less slot time than its floor guarantees.
  bool IsBelowFloor(const RequestQueue& aQueue, int aTotalSlots) const;
  /// Queues with waiting requests, in the order in which they receive free slots.
  std::vector<RequestQueue*> Order(QueueOrder aOrder, int aTotalSlots) const;
  /// True if the queue may start a request on one of the free slots.
  bool MayUseSlot(const RequestQueue& aQueue, const SlotCount& aSlots, int aReserve) const;

  /// Slots that the may-wait queues without waiting requests could still use within their floors.
  int UnusedFloorSlots(int aTotalSlots) const;
  /// Number of may-wait requests that run in excess of the floors of their queues.
  int RunningAboveFloor(int aTotalSlots) const;
  /// Estimated time until a request that enters the queue now would start, based on measured run
  /// times.
  Micros ExpectedWait(TimePoint aNow,
                      const RequestQueue& aQueue,
                      const SlotCount& aSlots,
                      int aReserve) const;

private:
  /// Estimated total run time of the requests ahead of a new request in aQueue, and of that
  /// request.
  Micros WorkAhead(TimePoint aNow, const RequestQueue& aQueue) const;
  int RunningUrgent() const;

  /// Configured queues first, in the configuration's order.
  std::vector<std::unique_ptr<RequestQueue>> m_queues;
  std::size_t m_configuredCount = 0;
  TimePoint m_creditsUpdatedAt;
};

} // namespace mustardtray
