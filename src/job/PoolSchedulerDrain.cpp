#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Draining of minions: which of the runs on them are stopped, and when.

namespace mustardtray::job {

namespace {

/// A minion that answered within this time is assumed to still run what it listed.
constexpr Millis kMaxReportAge{ 1'600 };
/// Time that units on a cordoned minion have to end by themselves before they are stopped.
constexpr Millis kCordonGracePeriod{ 2'500 };
/// Time after a takeover in which stops that the former owner ordered may be under way. Minions
/// list such units as running, so how many of a step are away is not known.
constexpr Millis kInheritedStopTime{ 1'000 };

} // namespace

std::optional<std::uint32_t> PoolScheduler::CountUnavailableOthers(const Run& aRun,
                                                                   const MinionState* aTogetherWith,
                                                                   TimePoint aNow) const
{
  const auto found = m_jobs.find(aRun.m_unit.m_job);
  if (found == m_jobs.end()) {
    return std::nullopt;
  }
  const auto occurrence = found->second->m_occurrences.find(aRun.m_unit.m_occurrence);
  if (occurrence == found->second->m_occurrences.end()) {
    return std::nullopt;
  }
  const StepState& step = occurrence->second.m_steps[aRun.m_unit.m_step];
  std::uint32_t unavailableUnits = 0;
  for (std::uint32_t i = 0; i < step.m_units.size(); ++i) {
    if (i == aRun.m_unit.m_index) {
      continue;
    }
    const UnitId id{ aRun.m_unit.m_job, aRun.m_unit.m_occurrence, aRun.m_unit.m_step, i };
    bool isAtWork = false;
    for (const std::string& minionId : step.m_units[i].m_minions) {
      const auto minion = m_minions.find(minionId);
      if (minion == m_minions.end() || &minion->second == aTogetherWith) {
        continue;
      }
      const auto run = minion->second.m_runs.find(id.Text());
      isAtWork = isAtWork ||
                 (run != minion->second.m_runs.end() && run->second.m_phase == RunPhase::Running &&
                  run->second.m_percent >= 100 && minion->second.m_missedCalls == 0 &&
                  aNow - minion->second.m_lastAnswerAt < kMaxReportAge);
    }
    unavailableUnits += isAtWork ? 0 : 1;
  }
  return unavailableUnits;
}

bool PoolScheduler::CanEvict(const Run& aRun,
                             const MinionState* aTogetherWith,
                             TimePoint aNow) const
{
  const std::optional<std::uint32_t> unavailable =
    CountUnavailableOthers(aRun, aTogetherWith, aNow);
  if (!unavailable) {
    return true; // The job is unknown or has ended.
  }
  const Job& job = *m_jobs.at(aRun.m_unit.m_job);
  if (job.m_isInherited && aNow - m_beganAt < kInheritedStopTime) {
    return false;
  }
  // Without a configured limit, units are taken one at a time, so that the step keeps working.
  const StepSpec& spec = job.m_record.m_spec.m_steps[aRun.m_unit.m_step];
  return *unavailable < spec.m_maxUnavailableUnits.value_or(1);
}

bool PoolScheduler::CanRestart(const Run& aRun, TimePoint aNow) const
{
  const auto job = m_jobs.find(aRun.m_unit.m_job);
  return job == m_jobs.end() || !job->second->m_isInherited || !IsRecovering(aNow);
}

bool PoolScheduler::ClaimPlace(const MinionState& aFrom,
                               const Run& aRun,
                               bool aMayUseCordoned,
                               std::vector<PlaceClaim>& aClaims,
                               TimePoint aNow)
{
  Job* job = nullptr;
  const Unit* unit = FindUnit(aRun.m_unit, &job);
  if (!unit || job->HasEnded()) {
    return true; // It does not start again.
  }
  const QueuedStep step{ job, aRun.m_unit.m_occurrence, aRun.m_unit.m_step };
  PlacementRequest request = RequestFor(step);
  request.m_isIsolated = MustIsolate(*job, aRun.m_unit);
  request.m_mayUseCordoned = aMayUseCordoned;
  const std::uint32_t perMinion = step.Spec().m_maxPerMinion;
  for (auto& [id, minion] : m_minions) {
    if (&minion == &aFrom || FindObstacle(minion, request, aNow) != PlacementObstacle::None) {
      continue;
    }
    const MinionState* candidate = &minion;
    const auto claimed = std::count_if(aClaims.begin(), aClaims.end(), [&](const auto& aClaim) {
      return aClaim.m_minion == candidate && aClaim.m_unitPrefix == request.m_unitPrefix;
    });
    const bool isFull =
      perMinion > 0 && CountUnitsOfStep(minion, request.m_unitPrefix) + claimed >= perMinion;
    if (!isFull) {
      minion.m_used += aRun.m_reserved;
      aClaims.push_back({ &minion, request.m_unitPrefix, aRun.m_reserved });
      return true;
    }
  }
  if (request.m_advice) {
    AskAdvice(step, aNow);
  }
  return false;
}

bool PoolScheduler::CanEmpty(const MinionState& aMinion, TimePoint aNow) const
{
  // Another unit of the step would take the next free place before one that waits already.
  const auto hasWaitingUnit = [&](const UnitId& aId) {
    const auto job = m_jobs.find(aId.m_job);
    return job != m_jobs.end() && job->second->m_occurrences.contains(aId.m_occurrence) &&
           CountWaiting({ job->second.get(), aId.m_occurrence, aId.m_step }) > 0;
  };
  return aMinion.m_isFenced && aMinion.m_missedCalls == 0 &&
         std::all_of(aMinion.m_runs.begin(), aMinion.m_runs.end(), [&](const auto& aEntry) {
           const Run& run = aEntry.second;
           return run.m_phase == RunPhase::Stopping ||
                  (run.m_phase == RunPhase::Running && run.m_isLongRunning &&
                   !hasWaitingUnit(run.m_unit) && CanRestart(run, aNow) &&
                   CanEvict(run, &aMinion, aNow));
         });
}

MinionState* PoolScheduler::FirstToDrain()
{
  const auto count = [](const MinionState& aMinion) {
    return std::count_if(aMinion.m_runs.begin(), aMinion.m_runs.end(), [](const auto& aEntry) {
      return aEntry.second.m_isLongRunning;
    });
  };
  MinionState* first = nullptr;
  for (auto& [id, minion] : m_minions) {
    const bool isCandidate = minion.m_isCordoned && count(minion) > 0;
    first = isCandidate && (!first || count(minion) < count(*first)) ? &minion : first;
  }
  return first;
}

void PoolScheduler::StopForDrain(MinionState& aMinion, Run& aRun, TimePoint aNow)
{
  if (!aMinion.m_isCordoned) {
    StopRun(aMinion, aRun, StopReason::MinionDraining, aNow);
  } else if (!aRun.m_isLongRunning) {
    StopRun(aMinion, aRun, StopReason::Overdue, aNow);
  } else {
    const bool isForWave = aMinion.m_isAwaitingMaintenance;
    StopRun(aMinion, aRun, isForWave ? StopReason::Wave : StopReason::Move, aNow);
  }
}

std::vector<PoolScheduler::PlaceClaim> PoolScheduler::DrainLeaving(TimePoint aNow)
{
  std::vector<PlaceClaim> claims;
  for (auto& [id, minion] : m_minions) {
    for (auto& [name, run] : minion.m_runs) {
      if (minion.IsLeaving() && run.m_isLongRunning && run.m_phase == RunPhase::Stopping) {
        ClaimPlace(minion, run, false, claims, aNow);
      }
    }
  }
  for (auto& [id, minion] : m_minions) {
    if (!minion.IsLeaving()) {
      continue;
    }
    const bool isOverdue = minion.m_isCordoned && aNow - minion.m_cordonedAt > kCordonGracePeriod;
    for (auto& [name, run] : minion.m_runs) {
      if (run.m_phase != RunPhase::Running) {
        continue;
      }
      // A draining minion ends its runs in any case.
      const bool canStop =
        run.m_isLongRunning
          ? CanEvict(run, nullptr, aNow) &&
              (minion.m_entry.m_isDraining ||
               (CanRestart(run, aNow) && ClaimPlace(minion, run, false, claims, aNow)))
          : isOverdue;
      if (canStop) {
        StopForDrain(minion, run, aNow);
      }
    }
  }
  DrainWithoutPlace(claims, aNow);
  return claims;
}

void PoolScheduler::DrainWithoutPlace(std::vector<PlaceClaim>& aClaims, TimePoint aNow)
{
  bool isDraining = false;
  for (auto& [id, minion] : m_minions) {
    const bool isEmptied = minion.m_isCordoned && !minion.m_runs.empty() && CanEmpty(minion, aNow);
    for (auto& [name, run] : minion.m_runs) {
      if (isEmptied && run.m_phase == RunPhase::Running) {
        StopForDrain(minion, run, aNow);
      }
      isDraining = isDraining || (minion.m_isCordoned && run.m_phase == RunPhase::Stopping);
    }
  }
  MinionState* first = isDraining ? nullptr : FirstToDrain();
  if (!first) {
    return;
  }
  // No minion can be emptied at once, for example because it has several units of a step that may
  // miss one. The units gather on the other cordoned minions then.
  for (auto& [name, run] : first->m_runs) {
    const bool canStop = run.m_isLongRunning && run.m_phase == RunPhase::Running &&
                         CanRestart(run, aNow) && CanEvict(run, nullptr, aNow);
    if (canStop && ClaimPlace(*first, run, true, aClaims, aNow)) {
      StopForDrain(*first, run, aNow);
    }
  }
}

void PoolScheduler::PlaceOnCordoned(std::vector<QueuedStep>& aQueued,
                                    bool aIsRecovering,
                                    TimePoint aNow)
{
  std::erase_if(aQueued, [&](QueuedStep& aStep) {
    const bool isBlocked = aStep.m_job->m_isHeld || (aIsRecovering && aStep.m_job->m_isInherited) ||
                           WaitsForOtherShards(aStep, aNow);
    const StepSpec& spec = aStep.Spec();
    if (isBlocked || !spec.m_isLongRunning || spec.m_isGang || !PlaceUnits(aStep, true, aNow)) {
      return false;
    }
    aStep.State().m_isQueued = false;
    return true;
  });
}

} // namespace mustardtray::job
