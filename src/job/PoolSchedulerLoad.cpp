#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Load of a pool, and the reasons why units wait.

namespace mustardtray::job {

namespace {

/// Steps in a report of units that fit on no minion; limits the size of the report.
constexpr std::size_t kMaxUnplacedSteps = 32;

} // namespace

bool PoolScheduler::LacksMemory(const StepSpec& aStep, TimePoint aNow) const
{
  const Resources need = aStep.Reserved();
  bool hasCpu = false;
  for (const auto& [id, minion] : m_minions) {
    if (!AcceptsWork(minion, aNow) || minion.Free().m_cpu < need.m_cpu) {
      continue;
    }
    hasCpu = true;
    if (minion.Free().Fits(need)) {
      return false;
    }
  }
  return hasCpu;
}

PoolLoad PoolScheduler::MeasureLoad(TimePoint aNow) const
{
  PoolLoad load;
  for (const auto& [id, minion] : m_minions) {
    if (minion.m_isRegistered && !minion.m_isCordoned) {
      load.m_capacityCpu += minion.m_entry.m_capacity.m_cpu;
      load.m_usedCpu += minion.m_used.m_cpu;
      ++load.m_minions;
    }
  }
  for (const QueuedStep& queued : m_queued) {
    if (WaitsForAllowance(queued) || OnlyWaitsForRack(queued)) {
      continue; // More machines would not help it.
    }
    load.m_waitingCpu += queued.Spec().Reserved().m_cpu * CountWaiting(queued);
    load.m_lacksMemory =
      load.m_lacksMemory || (!queued.Spec().m_isLongRunning && LacksMemory(queued.Spec(), aNow));
  }
  PlacementForecast forecast = ForecastWaiting(aNow);
  load.m_hostMinions = forecast.m_hosts.size();
  load.m_ownerAge = std::chrono::duration_cast<Millis>(aNow - m_beganAt);
  load.m_unplaced = std::move(forecast.m_unplaced);
  load.m_unplaced.resize(std::min(load.m_unplaced.size(), kMaxUnplacedSteps));
  for (const Job* job : m_activeJobs) {
    for (const StepSpec& step : job->m_record.m_spec.m_steps) {
      if (step.m_isLongRunning && !job->m_occurrences.empty()) {
        const std::size_t perMinion = step.m_maxPerMinion == 0 ? 1 : step.m_maxPerMinion;
        load.m_longRunningCpu += step.Reserved().m_cpu * step.m_count;
        load.m_spreadMinions =
          std::max(load.m_spreadMinions, (step.m_count + perMinion - 1) / perMinion);
      }
    }
  }
  for (const Job* job : m_activeJobs) {
    load.m_backlogCores += UsableCores(*job);
  }
  load.m_arrivingCores = m_arrivals.DemandedCores(aNow);
  for (const auto& [at, cores] : m_refusedDemand) {
    load.m_backlogCores += aNow - at <= kRefusedDemandTime ? cores : 0;
  }
  return load;
}

std::uint32_t PoolScheduler::CountWaiting(const QueuedStep& aQueued)
{
  std::uint32_t waiting = 0;
  for (std::uint32_t i = 0; i < aQueued.State().m_units.size(); ++i) {
    waiting += IsWaiting(aQueued, i) ? 1 : 0;
  }
  return waiting;
}

PlacementForecast PoolScheduler::ForecastWaiting(TimePoint aNow) const
{
  std::vector<WaitingUnits> waiting;
  for (const QueuedStep& queued : m_queued) {
    if (const std::uint32_t units = CountWaiting(queued); units > 0) {
      waiting.push_back({ &queued.Spec(), RequestFor(queued).m_unitPrefix, units });
    }
  }
  return ForecastPlacement(m_minions, waiting, aNow);
}

std::vector<std::string> PoolScheduler::IdleMachines(TimePoint aNow) const
{
  const PlacementForecast forecast = ForecastWaiting(aNow);
  std::vector<std::string> machines;
  for (const auto& [id, minion] : m_minions) {
    if (minion.m_isRegistered && !minion.m_isCordoned && minion.m_runs.empty() &&
        !forecast.m_hosts.contains(id)) {
      machines.push_back(minion.m_entry.m_machine);
    }
  }
  return machines;
}

std::vector<WaitingStep> PoolScheduler::DescribeWaiting(std::size_t aMaxSteps, TimePoint aNow) const
{
  std::vector<WaitingStep> steps;
  const bool isRecovering = IsRecovering(aNow);
  for (const QueuedStep& queued : m_queued) {
    WaitingStep step;
    step.m_units = CountWaiting(queued);
    if (step.m_units == 0) {
      continue;
    }
    if (steps.size() == aMaxSteps) {
      break;
    }
    const PlacementRequest request = RequestFor(queued);
    step.m_name = StepName(request.m_unitPrefix);
    step.m_isLongRunning = queued.Spec().m_isLongRunning;
    step.m_waitsForRecovery = isRecovering && queued.m_job->m_isInherited;
    for (const auto& [id, minion] : m_minions) {
      ++step.m_minionsByObstacle[FindObstacle(minion, request, aNow)];
    }
    steps.push_back(std::move(step));
  }
  return steps;
}

MinionCounts PoolScheduler::CountMinions(TimePoint aNow) const
{
  MinionCounts counts;
  counts.m_known = m_minions.size();
  counts.m_awaited = m_awaited.size();
  counts.m_usable = static_cast<std::size_t>(
    std::count_if(m_minions.begin(), m_minions.end(), [&](const auto& aEntry) {
      return AcceptsWork(aEntry.second, aNow);
    }));
  return counts;
}

std::vector<AwaitedMinion> PoolScheduler::DescribeAwaited(std::size_t aMaxMinions,
                                                          TimePoint aNow) const
{
  std::vector<AwaitedMinion> awaited;
  for (const auto& [id, leaseEnd] : m_awaited) {
    AwaitedMinion description{ id, {}, false, std::chrono::duration_cast<Millis>(leaseEnd - aNow) };
    if (const auto minion = m_minions.find(id); minion != m_minions.end()) {
      description.m_machine = minion->second.m_entry.m_machine;
      description.m_isRegistered = minion->second.m_isRegistered;
    }
    awaited.push_back(std::move(description));
  }
  std::stable_sort(
    awaited.begin(), awaited.end(), [](const AwaitedMinion& aLeft, const AwaitedMinion& aRight) {
      return aLeft.m_leaseLeft > aRight.m_leaseLeft;
    });
  awaited.resize(std::min(awaited.size(), aMaxMinions));
  return awaited;
}

} // namespace mustardtray::job
