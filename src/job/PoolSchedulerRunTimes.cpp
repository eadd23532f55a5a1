#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Run times in the scheduler: what is learned from ends, and the paths of jobs.

namespace mustardtray::job {

namespace {

/// Weight of the measured run times from which minions are compared by them: 16 observations.
constexpr double kMinConfidence = 0.88;

} // namespace

const CorrectedPaths& PoolScheduler::PathsOf(const Job& aJob) const
{
  if (aJob.m_correctedPaths.m_revision != m_runTimeCorrection.Revision()) {
    aJob.m_correctedPaths =
      m_runTimeCorrection.Paths(aJob.m_record.m_queuePolicy.m_queue, aJob.m_record.m_spec);
  }
  return aJob.m_correctedPaths;
}

RunTimeKey PoolScheduler::RunTimeKeyOf(const Job& aJob,
                                       const UnitId& aUnit,
                                       const MinionState& aMinion) const
{
  const JobRecord& record = aJob.m_record;
  const StepSpec& spec = record.m_spec.m_steps[aUnit.m_step];
  bool isRemote = !spec.m_dataRack.empty() && !aMinion.m_entry.HasLabel(spec.m_dataRack);
  const auto occurrence = aJob.m_occurrences.find(aUnit.m_occurrence);
  if (spec.m_isGang && spec.m_prefersSameRack && occurrence != aJob.m_occurrences.end()) {
    for (const Unit& member : occurrence->second.m_steps[aUnit.m_step].m_units) {
      for (const std::string& id : member.m_minions) {
        const auto minion = m_minions.find(id);
        isRemote = isRemote || (minion != m_minions.end() &&
                                minion->second.m_entry.Rack() != aMinion.m_entry.Rack());
      }
    }
  }
  return KeyOf(record.m_queuePolicy.m_queue, record.m_spec, aUnit.m_step, isRemote);
}

void PoolScheduler::ObserveRunTime(const MinionState& aMinion,
                                   const Run& aRun,
                                   const Job& aJob,
                                   TimePoint aNow)
{
  const Millis estimate = aJob.m_record.m_spec.m_steps[aRun.m_unit.m_step].m_estimate;
  const auto measured = std::chrono::duration_cast<Millis>(aNow - aRun.m_orderedAt);
  const RunTimeKey key = RunTimeKeyOf(aJob, aRun.m_unit, aMinion);
  if (!m_runTimeCorrection.Learns()) {
    m_runTimeCorrection.Observe(key, estimate, measured);
    return;
  }
  const std::string& minion = aMinion.m_entry.m_id;
  const Millis expected = Scaled(estimate, m_runTimeCorrection.Factor(key));
  if (expected.count() > 0 && m_runTimeCorrection.Learned().Confidence(key) >= kMinConfidence) {
    m_minionSpeeds.Observe(
      minion, static_cast<double>(measured.count()) / static_cast<double>(expected.count()));
  }
  MinionState& observed = m_minions.at(minion);
  if (const bool isSlow = m_minionSpeeds.IsSlow(minion); isSlow != observed.m_isSlow) {
    observed.m_isSlow = isSlow;
    observed.m_trialAt = aNow + kTrialPeriod;
  }
  // What a slow minion takes says nothing about the queue.
  if (!observed.m_isSlow) {
    m_runTimeCorrection.Observe(key, estimate, measured);
  }
}

Millis PoolScheduler::DoneTime(const Job& aJob,
                               const Run& aRun,
                               const MinionState& aMinion,
                               TimePoint aNow) const
{
  const auto elapsed = std::chrono::duration_cast<Millis>(aNow - aRun.m_orderedAt);
  if (!m_runTimeCorrection.Learns() || aRun.m_unit.m_step >= aJob.m_record.m_spec.m_steps.size()) {
    return std::min(elapsed, aRun.m_expectedRunTime);
  }
  const Millis estimate = aJob.m_record.m_spec.m_steps[aRun.m_unit.m_step].m_estimate;
  const RunTimeKey key = RunTimeKeyOf(aJob, aRun.m_unit, aMinion);
  const RunTimeKey local =
    KeyOf(aJob.m_record.m_queuePolicy.m_queue, aJob.m_record.m_spec, aRun.m_unit.m_step);
  const Millis counted = Scaled(estimate, m_runTimeCorrection.WorkFactor(local));
  const Millis remaining = elapsed <= aRun.m_expectedRunTime
                             ? aRun.m_expectedRunTime - elapsed
                             : m_runTimeCorrection.RemainingBeyond(key, estimate, elapsed);
  return counted - remaining;
}

std::int64_t PoolScheduler::UnavailableCpu(const MinionState& aMinion, TimePoint aNow) const
{
  std::int64_t cpu = 0;
  for (const auto& [name, run] : aMinion.m_runs) {
    const Job* job = m_runTimeCorrection.Learns() && !run.m_isLongRunning &&
                         run.m_phase == RunPhase::Running &&
                         aNow - run.m_orderedAt > run.m_expectedRunTime
                       ? FindJob(run.m_unit.m_job)
                       : nullptr;
    const bool isOverdue =
      job && run.m_unit.m_step < job->m_record.m_spec.m_steps.size() &&
      m_runTimeCorrection.IsOverdue(RunTimeKeyOf(*job, run.m_unit, aMinion),
                                    job->m_record.m_spec.m_steps[run.m_unit.m_step].m_estimate,
                                    std::chrono::duration_cast<Millis>(aNow - run.m_orderedAt));
    cpu += run.m_isLongRunning || isOverdue ? run.m_reserved.m_cpu : 0;
  }
  return cpu;
}

} // namespace mustardtray::job
