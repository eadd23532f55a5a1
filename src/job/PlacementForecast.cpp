#include "mustardtray/job/PlacementForecast.h"

#include <algorithm>
#include <map>

#include "mustardtray/job/Placement.h"

namespace mustardtray::job {

namespace {

bool WillAcceptWork(const MinionState& aMinion, TimePoint aNow)
{
  switch (FindObstacle(aMinion, aNow)) {
    case PlacementObstacle::None:
    case PlacementObstacle::NotFenced:
    case PlacementObstacle::Unrecorded:
    case PlacementObstacle::Paused:
    case PlacementObstacle::UnknownRun:
    case PlacementObstacle::RegistrationOld:
      return true;
    default:
      return false;
  }
}

/// A minion with the units that it has and would get.
struct ForecastMinion
{
  const MinionState* m_minion;
  Resources m_free;
  Resources m_freeLater; ///< When its units that are not long-running have ended.
  std::map<std::string, std::uint32_t> m_addedByStep; ///< By unit prefix.
};

ForecastMinion MakeForecastMinion(const MinionState& aMinion)
{
  ForecastMinion minion{ &aMinion, aMinion.Free(), aMinion.m_entry.m_capacity, {} };
  for (const auto& [name, run] : aMinion.m_runs) {
    if (run.m_isLongRunning) {
      minion.m_freeLater -= run.m_reserved;
    }
  }
  return minion;
}

bool CanHold(const ForecastMinion& aMinion, const WaitingUnits& aUnits)
{
  const StepSpec& step = *aUnits.m_step;
  const Resources& free = step.m_isLongRunning ? aMinion.m_free : aMinion.m_freeLater;
  if (!free.Fits(step.Reserved()) || (!step.m_requiredLabel.empty() &&
                                      !aMinion.m_minion->m_entry.HasLabel(step.m_requiredLabel))) {
    return false;
  }
  if (step.m_maxPerMinion == 0) {
    return true;
  }
  const auto added = aMinion.m_addedByStep.find(aUnits.m_unitPrefix);
  return CountUnitsOfStep(*aMinion.m_minion, aUnits.m_unitPrefix) +
           (added == aMinion.m_addedByStep.end() ? 0 : added->second) <
         step.m_maxPerMinion;
}

void AddUnit(ForecastMinion& aMinion, const WaitingUnits& aUnits)
{
  const Resources need = aUnits.m_step->Reserved();
  if (aUnits.m_step->m_isLongRunning) {
    aMinion.m_free -= need;
  }
  aMinion.m_freeLater -= need;
  ++aMinion.m_addedByStep[aUnits.m_unitPrefix];
}

} // namespace

PlacementForecast ForecastPlacement(const MinionTable& aMinions,
                                    const std::vector<WaitingUnits>& aWaiting,
                                    TimePoint aNow)
{
  PlacementForecast forecast;
  std::vector<ForecastMinion> minions;
  for (const auto& [id, minion] : aMinions) {
    const bool isHost =
      minion.m_isRegistered && !minion.m_isCordoned &&
      std::any_of(minion.m_runs.begin(), minion.m_runs.end(), [](const auto& aEntry) {
        return aEntry.second.m_isLongRunning;
      });
    if (isHost) {
      forecast.m_hosts.insert(id);
    }
    if (WillAcceptWork(minion, aNow)) {
      minions.push_back(MakeForecastMinion(minion));
    }
  }
  // Minions that are in use come first, so that as few others as possible are needed.
  std::stable_partition(minions.begin(), minions.end(), [](const ForecastMinion& aMinion) {
    return !aMinion.m_minion->m_runs.empty();
  });
  for (const WaitingUnits& units : aWaiting) {
    const StepSpec& step = *units.m_step;
    const bool mustRunTogether = step.m_isLongRunning || step.m_isGang;
    if (!mustRunTogether) {
      // The units can run one after another, so one minion for the step is enough.
      const bool isPossible =
        minions.empty() || std::any_of(minions.begin(), minions.end(), [&](const auto& aMinion) {
          return CanHold(aMinion, units);
        });
      if (!isPossible) {
        forecast.m_unplaced.push_back(
          { step.Reserved(), step.m_requiredLabel, step.m_maxPerMinion, 1, false });
      }
      continue;
    }
    std::vector<ForecastMinion> placed = minions;
    std::set<std::string> hosts;
    std::uint32_t remaining = units.m_count;
    for (ForecastMinion& minion : placed) {
      for (; remaining > 0 && CanHold(minion, units); --remaining) {
        AddUnit(minion, units);
        hosts.insert(minion.m_minion->m_entry.m_id);
      }
    }
    if (remaining == 0 || !step.m_isGang) {
      minions = std::move(placed);
      forecast.m_hosts.merge(hosts);
    }
    if (remaining > 0) {
      forecast.m_unplaced.push_back(
        { step.Reserved(), step.m_requiredLabel, step.m_maxPerMinion, remaining, step.m_isGang });
    }
  }
  return forecast;
}

bool TakeUnitsFor(const Machine& aMachine, std::vector<UnplacedUnits>& aUnplaced)
{
  Resources free = aMachine.m_capacity;
  const std::vector<std::string>& labels = aMachine.m_labels;
  bool hasTaken = false;
  for (UnplacedUnits& units : aUnplaced) {
    const bool hasLabel =
      units.m_requiredLabel.empty() ||
      std::find(labels.begin(), labels.end(), units.m_requiredLabel) != labels.end();
    std::uint32_t taken = 0;
    while (hasLabel && units.m_count > 0 && free.Fits(units.m_need) &&
           (units.m_maxPerMinion == 0 || taken < units.m_maxPerMinion)) {
      free -= units.m_need;
      --units.m_count;
      ++taken;
    }
    hasTaken = hasTaken || taken > 0;
  }
  std::erase_if(aUnplaced, [](const UnplacedUnits& aUnits) { return aUnits.m_count == 0; });
  return hasTaken;
}

} // namespace mustardtray::job
