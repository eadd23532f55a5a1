#include "mustardtray/request/RequestQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mustardtray {

using Seconds = std::chrono::duration<double>;

void QueueSet::Configure(const std::vector<QueueConfig>& aConfigs)
{
  std::vector<std::unique_ptr<RequestQueue>> old = std::move(m_queues);
  m_queues.clear();
  for (const QueueConfig& config : aConfigs) {
    const auto known = std::find_if(old.begin(), old.end(), [&](const auto& aQueue) {
      return aQueue && aQueue->m_config.m_name == config.m_name;
    });
    if (known == old.end()) {
      m_queues.push_back(std::make_unique<RequestQueue>(config));
      continue;
    }
    (*known)->m_config = config;
    (*known)->m_runTime.SetHint(config.m_expectedRun);
    (*known)->m_isRetired = false;
    m_queues.push_back(std::move(*known));
  }
  m_configuredCount = m_queues.size();
  for (auto& queue : old) {
    if (queue) {
      queue->m_isRetired = true;
      m_queues.push_back(std::move(queue));
    }
  }
  DropRetired();
}

RequestQueue* QueueSet::At(std::size_t aIndex) const
{
  return aIndex < m_configuredCount ? m_queues[aIndex].get() : nullptr;
}

void QueueSet::DropRetired()
{
  std::erase_if(m_queues,
                [](const auto& aQueue) { return aQueue->m_isRetired && aQueue->IsIdle(); });
}

void QueueSet::AdvanceCredits(TimePoint aNow, int aTotalSlots)
{
  const Seconds passed = std::max(aNow - m_creditsUpdatedAt, Micros(0));
  m_creditsUpdatedAt = std::max(aNow, m_creditsUpdatedAt);
  for (const auto& queue : m_queues) {
    const Seconds run = queue->m_runTime.Mean(aNow);
    const double deficit = queue->m_config.m_floorShare * aTotalSlots - queue->m_running;
    const Seconds maxCredit = queue->m_waiting.empty() ? Seconds(0) : run;
    queue->m_credit = std::clamp(queue->m_credit + deficit * passed, -2 * run, maxCredit);
  }
}

bool QueueSet::IsBelowFloor(const RequestQueue& aQueue, int aTotalSlots) const
{
  const double floorSlots = aQueue.m_config.m_floorShare * aTotalSlots;
  return !aQueue.IsUrgent() && aQueue.m_credit >= Seconds(0) &&
         aQueue.m_running < std::ceil(floorSlots);
}

std::vector<RequestQueue*> QueueSet::Order(QueueOrder aOrder, int aTotalSlots) const
{
  std::vector<RequestQueue*> queues;
  for (const auto& queue : m_queues) {
    if (!queue->m_waiting.empty()) {
      queues.push_back(queue.get());
    }
  }
  const auto byArrival = [](const RequestQueue* aLeft, const RequestQueue* aRight) {
    return aLeft->m_waiting.front()->m_arrival < aRight->m_waiting.front()->m_arrival;
  };
  const auto rank = [&](const RequestQueue* aQueue) {
    const int urgencyRank = aQueue->IsUrgent() ? 1 : 2;
    const int priority = IsBelowFloor(*aQueue, aTotalSlots) ? 0 : urgencyRank;
    return std::tuple(priority, aQueue->m_running, aQueue->m_lastStart);
  };
  const auto byRank = [&](const RequestQueue* aLeft, const RequestQueue* aRight) {
    return rank(aLeft) < rank(aRight);
  };
  if (aOrder == QueueOrder::FirstComeFirstServed) {
    std::sort(queues.begin(), queues.end(), byArrival);
  } else {
    std::sort(queues.begin(), queues.end(), byRank);
  }
  return queues;
}

bool QueueSet::MayUseSlot(const RequestQueue& aQueue, const SlotCount& aSlots, int aReserve) const
{
  if (aSlots.m_free == 0) {
    return false;
  }
  if (aQueue.IsUrgent() || IsBelowFloor(aQueue, aSlots.m_total)) {
    return true;
  }
  return aSlots.m_free > aReserve;
}

int QueueSet::RunningAboveFloor(int aTotalSlots) const
{
  int aboveFloor = 0;
  for (const auto& queue : m_queues) {
    const double floorSlots = std::ceil(queue->m_config.m_floorShare * aTotalSlots);
    const int over = queue->m_running - static_cast<int>(floorSlots);
    aboveFloor += queue->IsUrgent() ? 0 : std::max(0, over);
  }
  return aboveFloor;
}

int QueueSet::UnusedFloorSlots(int aTotalSlots) const
{
  int unused = 0;
  for (const auto& queue : m_queues) {
    if (queue->m_waiting.empty() && IsBelowFloor(*queue, aTotalSlots)) {
      const double floorSlots = std::ceil(queue->m_config.m_floorShare * aTotalSlots);
      unused += static_cast<int>(floorSlots) - queue->m_running;
    }
  }
  return unused;
}

int QueueSet::RunningUrgent() const
{
  int running = 0;
  for (const auto& queue : m_queues) {
    running += queue->IsUrgent() ? queue->m_running : 0;
  }
  return running;
}

Micros QueueSet::WorkAhead(TimePoint aNow, const RequestQueue& aQueue) const
{
  const Micros queueWork = (aQueue.Waiting() + 1) * aQueue.m_runTime.Mean(aNow);
  Micros work = queueWork;
  for (const auto& other : m_queues) {
    if (other.get() == &aQueue) {
      continue;
    }
    const Micros otherWork = other->Waiting() * other->m_runTime.Mean(aNow);
    if (other->IsUrgent() && !aQueue.IsUrgent()) {
      work += otherWork;
    } else if (other->IsUrgent() == aQueue.IsUrgent()) {
      work += std::min(queueWork, otherWork);
    }
  }
  return work;
}

Micros QueueSet::ExpectedWait(TimePoint aNow,
                              const RequestQueue& aQueue,
                              const SlotCount& aSlots,
                              int aReserve) const
{
  if (aQueue.m_waiting.empty() && MayUseSlot(aQueue, aSlots, aReserve)) {
    return Micros(0);
  }
  const int reserved = aQueue.IsUrgent() ? 0 : std::max(RunningUrgent(), aReserve);
  const Micros wait = WorkAhead(aNow, aQueue) / std::max(aSlots.m_total - reserved, 1);
  const double floorSlots = aQueue.IsUrgent() ? 0 : aQueue.m_config.m_floorShare * aSlots.m_total;
  if (floorSlots == 0) {
    return wait;
  }
  const Seconds ownWork = (aQueue.Waiting() + 1) * aQueue.m_runTime.Mean(aNow);
  return std::min(wait, std::chrono::duration_cast<Micros>(ownWork / floorSlots));
}

} // namespace mustardtray
