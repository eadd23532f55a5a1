#include "mustardtray/job/LocalityWait.h"

#include <algorithm>

#include "mustardtray/job/RunTimeCorrection.h"

namespace mustardtray::job {

namespace {

std::size_t CountFitting(const Resources& aFree, const Resources& aNeed, std::size_t aMax)
{
  std::size_t count = aMax;
  const auto limit = [&](std::int64_t aAvailable, std::int64_t aNeeded) {
    if (aNeeded > 0) {
      const std::int64_t fitting = std::max<std::int64_t>(aAvailable, 0) / aNeeded;
      count = std::min(count, static_cast<std::size_t>(fitting));
    }
  };
  limit(aFree.m_cpu, aNeed.m_cpu);
  limit(aFree.m_memoryMb, aNeed.m_memoryMb);
  limit(aFree.m_gpu, aNeed.m_gpu);
  return count;
}

/// Times at which the rack has room for one more unit each, in order, as far as runs end until
/// aHorizon. The ends of the units that start there meanwhile are not included.
std::vector<TimePoint> FindPlaces(const LocalityInputs& aInputs, TimePoint aHorizon, TimePoint aNow)
{
  const std::size_t wanted = aInputs.m_unitsAhead + 1;
  std::vector<TimePoint> places;
  for (const LocalMinion& minion : *aInputs.m_minions) {
    Resources free = minion.m_free;
    std::size_t fitting = CountFitting(free, aInputs.m_need, wanted);
    places.insert(places.end(), fitting, aNow);
    for (const LocalMinion::Run& run : minion.m_runs) {
      if (run.m_expectedEnd > aHorizon || fitting >= wanted) {
        break;
      }
      free += run.m_reserved;
      const std::size_t now = CountFitting(free, aInputs.m_need, wanted);
      places.insert(places.end(), now - fitting, std::max(run.m_expectedEnd, aNow));
      fitting = now;
    }
  }
  std::sort(places.begin(), places.end());
  return places;
}

/// Returns the reason that rules out a wait regardless of its length, or GainExpected.
LocalityReason FindObstacle(const LocalityInputs& aInputs)
{
  if (aInputs.m_farFactor <= 1.0) {
    return LocalityReason::NoSlowdown;
  }
  if (aInputs.m_isLate) {
    return LocalityReason::JobLate;
  }
  if (aInputs.m_isCapacityShort) {
    return LocalityReason::CapacityShort;
  }
  if (aInputs.m_minions->empty()) {
    return LocalityReason::RackUnusable;
  }
  const bool hasRoom = std::any_of(
    aInputs.m_minions->begin(), aInputs.m_minions->end(), [&](const LocalMinion& aMinion) {
      return CountFitting(aMinion.m_free, aInputs.m_need, 1) > 0;
    });
  return hasRoom ? LocalityReason::RackHasRoom : LocalityReason::GainExpected;
}

} // namespace

LocalityWait BeginLocalityWait(const LocalityInputs& aInputs, TimePoint aNow)
{
  LocalityWait wait{ FindObstacle(aInputs), aNow, aNow, Millis(0), false };
  if (wait.m_reason != LocalityReason::GainExpected) {
    return wait;
  }
  const Millis gain = Scaled(aInputs.m_runTime, aInputs.m_farFactor - 1.0);
  const std::vector<TimePoint> places = FindPlaces(aInputs, aNow + gain, aNow);
  if (places.size() <= aInputs.m_unitsAhead) {
    wait.m_reason = places.empty() ? LocalityReason::GainTooSmall : LocalityReason::RackHot;
    return wait;
  }
  wait.m_expected = std::chrono::duration_cast<Millis>(places[aInputs.m_unitsAhead] - aNow);
  const Millis limit = wait.m_expected + LocalityMargin(wait.m_expected);
  if (limit >= gain) {
    wait.m_reason = LocalityReason::GainTooSmall;
  } else if (limit > aInputs.m_slack) {
    wait.m_reason = LocalityReason::NoSlack;
  } else {
    wait.m_end = aNow + limit;
  }
  return wait;
}

LocalityReason ReviewLocalityWait(const LocalityWait& aWait,
                                  const LocalityInputs& aInputs,
                                  TimePoint aNow)
{
  if (aNow >= aWait.m_end) {
    return LocalityReason::WaitOver;
  }
  if (const LocalityReason obstacle = FindObstacle(aInputs);
      obstacle != LocalityReason::GainExpected) {
    return obstacle;
  }
  const bool isInTime = FindPlaces(aInputs, aWait.m_end, aNow).size() > aInputs.m_unitsAhead;
  return isInTime ? LocalityReason::GainExpected : LocalityReason::RackHot;
}

} // namespace mustardtray::job
