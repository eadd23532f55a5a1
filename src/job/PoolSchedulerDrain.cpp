#include "mustardtray/job/PoolScheduler.h"

/// Draining of minions: which of the runs on them are stopped, and when.

namespace mustardtray::job {

namespace {

/// A minion that answered within this time is assumed to still run what it listed.
constexpr Millis kMaxReportAge{ 1'600 };
/// Time that units on a cordoned minion have to end by themselves before they are stopped.
constexpr Millis kCordonGracePeriod{ 2'500 };

StopReason DrainReason(const MinionState& aMinion)
{
  if (!aMinion.m_isCordoned) {
    return StopReason::MinionDraining;
  }
  return aMinion.m_isAwaitingMaintenance ? StopReason::Wave : StopReason::Move;
}

} // namespace

bool PoolScheduler::CanEvict(const Run& aRun, TimePoint aNow) const
{
  const auto found = m_jobs.find(aRun.m_unit.m_job);
  if (found == m_jobs.end()) {
    return true;
  }
  const Job& job = *found->second;
  const auto occurrence = job.m_occurrences.find(aRun.m_unit.m_occurrence);
  if (occurrence == job.m_occurrences.end()) {
    return true;
  }
  const StepSpec& spec = job.m_record.m_spec.m_steps[aRun.m_unit.m_step];
  // Without a configured limit, units are taken one at a time, so that the step keeps working.
  const std::uint32_t maxUnavailable = spec.m_maxUnavailableUnits.value_or(1);
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
      if (minion == m_minions.end()) {
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
  return unavailableUnits < maxUnavailable;
}

void PoolScheduler::DrainCordoned(TimePoint aNow)
{
  for (auto& [id, minion] : m_minions) {
    const bool mustDrain = minion.m_isCordoned || minion.m_entry.m_isDraining;
    if (!mustDrain) {
      continue;
    }
    for (auto& [name, run] : minion.m_runs) {
      const bool isOverdue = minion.m_isCordoned && aNow - minion.m_cordonedAt > kCordonGracePeriod;
      const bool canStop = run.m_isLongRunning ? CanEvict(run, aNow) : isOverdue;
      if (run.m_phase == RunPhase::Running && canStop) {
        StopRun(minion, run, run.m_isLongRunning ? DrainReason(minion) : StopReason::Overdue, aNow);
      }
    }
  }
}

} // namespace mustardtray::job
