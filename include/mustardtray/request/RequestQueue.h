#pragma once

/// Requests of one service that wait at this entry VM, in one queue for each kind of work.

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

/// The order in which queues draw on free slots.
enum class QueueOrder
{
  ByUrgency,      ///< Urgent first, with a floor for each queue that may wait.
  FirstComeFirst, ///< By arrival, whatever the urgency.
};

struct RequestQueue;

/// A request from its admission to its end.
struct AdmittedRequest
{
  RequestInfo m_info;
  RequestQueue* m_queue = nullptr;
  std::uint64_t m_arrival = 0; ///< Order of arrival.
  bool m_isWaiting = true;
  bool m_mayForward = true; ///< False once it was forwarded from here.
  bool m_mayHaveRun = false;
  int m_attempts = 0;
  Target m_target;                              ///< Of the last attempt.
  RouteReason m_reason = RouteReason::FreeSlot; ///< Of the last attempt.
  Hops m_sentHops;                              ///< To send along with the last attempt.
  std::vector<std::string> m_tried;
};

struct RequestQueue
{
  explicit RequestQueue(QueueConfig aConfig)
    : m_config(std::move(aConfig))
    , m_run(m_config.m_expectedRun)
  {
  }

  bool IsUrgent() const { return m_config.m_urgency == Urgency::Urgent; }
  int Waiting() const { return static_cast<int>(m_waiting.size()); }
  bool IsIdle() const { return m_waiting.empty() && m_running == 0 && m_forwarded == 0; }

  QueueConfig m_config;
  RunTimeEstimate m_run;
  std::deque<AdmittedRequest*> m_waiting;
  int m_running = 0; ///< At minions.
  int m_forwarded = 0;
  std::chrono::duration<double> m_credit{ 0 }; ///< Slot time that the floor owes this queue.
  std::uint64_t m_lastStart = 0;               ///< Order of the last start.
  bool m_isRetired = false;                    ///< No longer in the configuration.
};

/// The queues of a service: who may use the next slot, and how long a newcomer would wait.
class QueueSet
{
public:
  /// Queues keep their state by name; one that is gone stays until its requests have ended.
  void Configure(const std::vector<QueueConfig>& aConfigs);
  /// A configured queue; nullptr outside the configuration.
  RequestQueue* At(std::size_t aIndex) const;
  const std::vector<std::unique_ptr<RequestQueue>>& All() const { return m_queues; }
  void DropRetired();

  /// Accounts for the slot time since the last call; call before anything changes.
  void AdvanceCredits(TimePoint aNow, int aTotalSlots);
  /// True when a queue that may wait has had less than its floor.
  bool IsFloorDue(const RequestQueue& aQueue, int aTotalSlots) const;
  /// Queues with waiting requests, in the order in which they draw on free slots.
  std::vector<RequestQueue*> Order(QueueOrder aOrder, int aTotalSlots) const;
  bool MayUseSlot(const RequestQueue& aQueue, const SlotCount& aSlots, int aReserve) const;

  /// May-wait requests that run beyond the floors of their queues.
  int MayWaitBeyondFloor(int aTotalSlots) const;
  /// Time until a request that joins the queue now would start, by measured run times.
  Micros ExpectedWait(TimePoint aNow,
                      const RequestQueue& aQueue,
                      const SlotCount& aSlots,
                      int aReserve) const;

private:
  Micros WorkAhead(TimePoint aNow, const RequestQueue& aQueue) const;
  int RunningUrgent() const;

  std::vector<std::unique_ptr<RequestQueue>> m_queues; ///< Configured ones first, in their order.
  std::size_t m_configured = 0;
  TimePoint m_creditsAt;
};

} // namespace mustardtray
