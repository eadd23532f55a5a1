#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>
#include <unordered_set>

#include <boost/outcome/success_failure.hpp>
#include <fmt/format.h>

/// Jobs in the scheduler: loading, submission, progress, end, and the work that they still need.

namespace mustardtray::job {

namespace {

/// Time in which the backlog should be done: about the objective of a short job.
constexpr Millis kBacklogHorizon{ 1'500 };

/// Returns the estimated work of some units of a step in core-milliseconds, from reserved CPU.
double CoreMillis(const StepSpec& aSpec, std::uint32_t aUnits)
{
  return static_cast<double>(aUnits) * static_cast<double>(aSpec.Reserved().m_cpu) / 1'000.0 *
         static_cast<double>(aSpec.m_estimate.count());
}

} // namespace

void PoolScheduler::InitializeJob(Job& aJob, TimePoint aNow)
{
  aJob.m_longestPathFrom = LongestPathsFrom(aJob.m_record.m_spec);
  aJob.m_criticalPath = CriticalPath(aJob.m_longestPathFrom);
  aJob.m_arrivedAt = aNow;
}

Result<void> PoolScheduler::LoadJob(JobRecord aRecord,
                                    std::string_view aProgress,
                                    TimePoint aNow,
                                    WallTime aWallNow)
{
  const std::string atMove = std::move(aRecord.m_progress);
  aRecord.m_progress.clear();
  return InsertJob(
    std::move(aRecord), aProgress.empty() ? atMove : aProgress, true, aNow, aWallNow);
}

Result<void> PoolScheduler::AddMovedJob(JobRecord aRecord, TimePoint aNow, WallTime aWallNow)
{
  const std::string progress = std::move(aRecord.m_progress);
  aRecord.m_progress.clear();
  return InsertJob(std::move(aRecord), progress, false, aNow, aWallNow);
}

Result<void> PoolScheduler::InsertJob(JobRecord aRecord,
                                      std::string_view aProgress,
                                      bool aIsInherited,
                                      TimePoint aNow,
                                      WallTime aWallNow)
{
  auto job = std::make_unique<Job>();
  job->m_record = std::move(aRecord);
  job->m_isInherited = aIsInherited;
  // The acceptance time is on the wall clock. A clock that is ahead must not put the arrival in the
  // future.
  const Millis age = std::max(Millis{ 0 }, aWallNow - job->m_record.m_acceptedAt);
  InitializeJob(*job, aNow - age);
  if (auto decoded = DecodeProgress(aProgress, *job); !decoded) {
    return decoded.error();
  }
  Job& added = *job;
  m_jobs[added.m_record.m_id] = std::move(job);
  if (added.HasEnded()) {
    added.m_endedAt = aNow;
    return boost::outcome_v2::success();
  }
  m_activeJobs.insert(&added);
  for (const auto& [number, occurrence] : added.m_occurrences) {
    QueueReadySteps(added, number);
  }
  if (added.m_nextOccurrence < added.m_record.m_spec.Occurrences()) {
    m_scheduledJobs.insert(&added);
    // Minions may report runs of the occurrences before the first decision.
    BeginDueOccurrences(added, aNow, aWallNow);
  }
  return boost::outcome_v2::success();
}

PoolScheduler::Backlog PoolScheduler::MeasureBacklog(TimePoint aNow) const
{
  Backlog backlog;
  std::unordered_set<const Job*> late;
  const auto add = [&](const Job& aJob, double aWork) {
    backlog.m_all += aWork;
    // A late job is scheduled after every job that can still be on time.
    backlog.m_onTime += late.contains(&aJob) ? 0.0 : aWork;
  };
  for (const Job* job : m_activeJobs) {
    if (IsLate(*job, aNow)) {
      late.insert(job);
    }
    const std::string& queue = job->m_record.m_queuePolicy.m_queue;
    for (const auto& [number, occurrence] : job->m_occurrences) {
      for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
        const StepSpec& spec = job->m_record.m_spec.m_steps[s];
        if (!spec.m_isLongRunning) {
          add(*job,
              CoreMillis(spec, spec.m_count - occurrence.m_steps[s].m_doneCount) *
                m_runTimeCorrection.WorkFactor(KeyOf(queue, job->m_record.m_spec, s)));
        }
      }
    }
  }
  // Subtracts the work that running units have already done.
  for (const auto& [id, minion] : m_minions) {
    for (const auto& [name, run] : minion.m_runs) {
      if (run.m_isLongRunning || run.m_phase != RunPhase::Running) {
        continue;
      }
      const Job* job = FindJob(run.m_unit.m_job);
      if (job && !job->HasEnded()) {
        add(*job,
            -static_cast<double>(run.m_reserved.m_cpu) / 1'000.0 *
              static_cast<double>(DoneTime(*job, run, minion, aNow).count()));
      }
    }
  }
  backlog.m_all = std::max(backlog.m_all, 0.0);
  backlog.m_onTime = std::max(backlog.m_onTime, 0.0);
  return backlog;
}

double PoolScheduler::UsableCores(const Job& aJob) const
{
  const std::string& queue = aJob.m_record.m_queuePolicy.m_queue;
  double work = 0;
  double widest = 0;
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const StepSpec& spec = aJob.m_record.m_spec.m_steps[s];
      const std::uint32_t remainingUnits = spec.m_count - occurrence.m_steps[s].m_doneCount;
      if (!spec.m_isLongRunning) {
        work += CoreMillis(spec, remainingUnits) *
                m_runTimeCorrection.WorkFactor(KeyOf(queue, aJob.m_record.m_spec, s));
        widest =
          std::max(widest, remainingUnits * static_cast<double>(spec.Reserved().m_cpu) / 1'000.0);
      }
    }
  }
  return std::min(work / static_cast<double>(kBacklogHorizon.count()), widest);
}

bool PoolScheduler::IsLate(const Job& aJob, TimePoint aNow) const
{
  if (aJob.m_isLate || aJob.m_record.m_spec.m_repeatCount > 0) {
    return aJob.m_isLate;
  }
  // Uses the same rule as Rank(), for the longest remaining path.
  const CorrectedPaths& paths = PathsOf(aJob);
  Millis remainingPath{ 0 };
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      remainingPath = occurrence.m_steps[s].IsDone() ? remainingPath
                                                     : std::max(remainingPath, paths.m_pathFrom[s]);
    }
  }
  const QueuePolicy& queuePolicy = aJob.m_record.m_queuePolicy;
  const TimePoint latestStart = aJob.m_arrivedAt + Scaled(paths.m_critical, queuePolicy.m_stretch) +
                                queuePolicy.m_extraTime - remainingPath;
  return aNow > latestStart + kLateTolerance;
}

AdmissionDecision PoolScheduler::EvaluateAdmission(const JobRecord& aRecord,
                                                   Millis aSinceFirstAttempt,
                                                   TimePoint aNow) const
{
  const std::string& queue = aRecord.m_queuePolicy.m_queue;
  AdmissionInput input;
  const Backlog backlog = MeasureBacklog(aNow);
  input.m_workAhead = backlog.m_onTime;
  input.m_totalWork = backlog.m_all;
  input.m_sinceFirstAttempt = aSinceFirstAttempt;
  input.m_arrivingCores = m_runTimeCorrection.Learns() ? m_arrivals.DemandedCores(aNow) : 0;
  std::int64_t widest = 0;
  for (const StepSpec& step : aRecord.m_spec.m_steps) {
    widest = std::max(widest, m_runTimeCorrection.Learns() ? step.Reserved().m_cpu : 0);
  }
  for (const auto& [id, minion] : m_minions) {
    if (AcceptsWork(minion, aNow)) {
      const std::int64_t cpu = minion.m_entry.m_capacity.m_cpu - UnavailableCpu(minion, aNow);
      // A minion whose capacity has shrunk may run more than it has room for.
      input.m_availableCores += static_cast<double>(std::max<std::int64_t>(cpu, 0)) / 1'000.0;
      input.m_packedCores +=
        widest > 0 && cpu > 0 ? static_cast<double>(cpu / widest * widest) / 1'000.0 : 0.0;
    }
  }
  const Millis criticalPath = m_runTimeCorrection.Paths(queue, aRecord.m_spec).m_critical;
  input.m_criticalPath = criticalPath;
  input.m_objective =
    Scaled(criticalPath, aRecord.m_queuePolicy.m_stretch) + aRecord.m_queuePolicy.m_extraTime;
  input.m_work = m_runTimeCorrection.Work(queue, aRecord.m_spec);
  input.m_isLongRunning = aRecord.m_spec.IsLongRunning();
  input.m_isScheduled = aRecord.m_spec.m_repeatCount > 0;
  return Admit(input);
}

void PoolScheduler::AddJob(JobRecord aRecord, TimePoint aFirstSeen, bool aIsLate, bool aIsExcess)
{
  if (m_jobs.contains(aRecord.m_id)) {
    return;
  }
  auto job = std::make_unique<Job>();
  job->m_record = std::move(aRecord);
  InitializeJob(*job, aFirstSeen);
  job->m_isLate = aIsLate;
  job->m_isExcess = aIsExcess;
  Job& added = *job;
  m_jobs.emplace(added.m_record.m_id, std::move(job));
  m_activeJobs.insert(&added);
  m_scheduledJobs.insert(&added);
}

bool PoolScheduler::CancelJob(const std::string& aId, TimePoint aNow)
{
  const auto found = m_jobs.find(aId);
  if (found == m_jobs.end()) {
    return false;
  }
  if (!found->second->HasEnded()) {
    EndJob(*found->second, JobState::Cancelled, aNow);
  }
  return true;
}

void PoolScheduler::FailJob(const std::string& aId, TimePoint aNow)
{
  const auto found = m_jobs.find(aId);
  if (found != m_jobs.end() && !found->second->HasEnded()) {
    FailJobUnlessInUse(*found->second, aNow);
  }
}

const Job* PoolScheduler::FindJob(const std::string& aId) const
{
  const auto found = m_jobs.find(aId);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

std::optional<JobState> PoolScheduler::ReportedState(const std::string& aId) const
{
  const Job* job = FindJob(aId);
  if (!job) {
    return std::nullopt;
  }
  const bool isStored = job->m_savedRevision == job->m_revision;
  if (job->HasEnded() && !isStored) {
    return JobState::Running;
  }
  return job->m_hasStarted && !job->HasEnded() ? JobState::Running : job->m_state;
}

std::size_t PoolScheduler::WaitingJobs(const std::string& aQueue) const
{
  return static_cast<std::size_t>(
    std::count_if(m_activeJobs.begin(), m_activeJobs.end(), [&](const Job* aJob) {
      return aJob->IsWaiting() && aJob->m_record.m_queuePolicy.m_queue == aQueue;
    }));
}

void PoolScheduler::OnProgressSaved(const std::string& aId, std::uint64_t aRevision)
{
  const auto found = m_jobs.find(aId);
  if (found != m_jobs.end()) {
    found->second->m_savedRevision = std::max(found->second->m_savedRevision, aRevision);
  }
}

void PoolScheduler::MarkUnsaved(Job& aJob)
{
  ++aJob.m_revision;
  m_unsaved.insert(aJob.m_record.m_id);
}

void PoolScheduler::MarkStarted(Job& aJob)
{
  if (!aJob.HasEnded()) {
    aJob.m_hasStarted = true;
    aJob.m_state = JobState::Running;
  }
}

namespace {

StopReason ReasonOfEnd(JobState aState)
{
  if (aState == JobState::Cancelled) {
    return StopReason::JobCancelled;
  }
  return aState == JobState::Completed ? StopReason::JobCompleted : StopReason::JobFailed;
}

} // namespace

void PoolScheduler::EndJob(Job& aJob, JobState aState, TimePoint aNow)
{
  aJob.m_state = aState;
  aJob.m_endedAt = aNow;
  MarkUnsaved(aJob);
  m_activeJobs.erase(&aJob);
  m_scheduledJobs.erase(&aJob);
  std::erase_if(m_queued, [&](const QueuedStep& aQueued) { return aQueued.m_job == &aJob; });
  StopRunsOf(aJob, ReasonOfEnd(aState), aNow);
  ForgetAdvice(aJob);
  aJob.m_record.m_spec.m_payload.clear();
  aJob.m_occurrences.clear();
}

void PoolScheduler::ForgetAdvice(const Job& aJob)
{
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      m_advice.ForgetStep(StepName(UnitId{ aJob.m_record.m_id, number, s, 0 }.Text()));
    }
  }
}

void PoolScheduler::FailJobUnlessInUse(Job& aJob, TimePoint aNow)
{
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const QueuedStep step{ &aJob, number, s };
      for (std::uint32_t i = 0; step.Spec().m_isLongRunning && i < step.Spec().m_count; ++i) {
        if (!IsGivenUp(step, i)) {
          return;
        }
      }
    }
  }
  EndJob(aJob, JobState::Failed, aNow);
}

Unit* PoolScheduler::FindUnit(const UnitId& aId, Job** aJob)
{
  const auto found = m_jobs.find(aId.m_job);
  if (found == m_jobs.end()) {
    return nullptr;
  }
  Job& job = *found->second;
  *aJob = &job;
  const auto occurrence = job.m_occurrences.find(aId.m_occurrence);
  if (occurrence == job.m_occurrences.end() || aId.m_step >= occurrence->second.m_steps.size()) {
    return nullptr;
  }
  auto& units = occurrence->second.m_steps[aId.m_step].m_units;
  return aId.m_index < units.size() ? &units[aId.m_index] : nullptr;
}

void PoolScheduler::BeginDueOccurrences(Job& aJob, TimePoint aNow, WallTime aWallNow)
{
  const JobSpec& spec = aJob.m_record.m_spec;
  while (aJob.m_nextOccurrence < spec.Occurrences()) {
    const std::uint32_t number = aJob.m_nextOccurrence;
    if (spec.m_repeatCount > 0 && spec.m_startAt + number * spec.m_interval > aWallNow) {
      return;
    }
    if (!aJob.m_occurrences.empty() &&
        (aJob.m_occurrences.size() + 1) * spec.Units() > kMaxUnitsPerJob) {
      return; // Further occurrences begin when earlier ones have ended.
    }
    aJob.m_occurrences.emplace(number, MakeOccurrence(spec, aNow));
    ++aJob.m_nextOccurrence;
    if (spec.m_repeatCount > 0) {
      MarkUnsaved(aJob);
    }
    AssignReportedRuns(aJob, number);
    QueueReadySteps(aJob, number);
  }
  m_scheduledJobs.erase(&aJob);
}

void PoolScheduler::AssignReportedRuns(Job& aJob, std::uint32_t aOccurrence)
{
  const std::string prefix = fmt::format("{}.{}.", aJob.m_record.m_id, aOccurrence);
  for (auto& [minionId, minion] : m_minions) {
    for (auto entry = minion.m_runs.lower_bound(prefix);
         entry != minion.m_runs.end() && entry->first.starts_with(prefix);
         ++entry) {
      Job* job = nullptr;
      if (Unit* unit = FindUnit(entry->second.m_unit, &job)) {
        unit->m_minions.push_back(minionId);
        unit->m_lastRun = std::max(unit->m_lastRun, entry->second.m_run);
      }
    }
  }
}

void PoolScheduler::QueueReadySteps(Job& aJob, std::uint32_t aOccurrence)
{
  const Occurrence& occurrence = aJob.m_occurrences.at(aOccurrence);
  for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
    if (!occurrence.m_steps[s].IsDone() &&
        ArePredecessorsDone(aJob.m_record.m_spec.m_steps[s], occurrence)) {
      QueueStep(aJob, aOccurrence, s);
    }
  }
}

void PoolScheduler::QueueStep(Job& aJob, std::uint32_t aOccurrence, std::uint32_t aStep)
{
  StepState& step = aJob.m_occurrences.at(aOccurrence).m_steps[aStep];
  if (!step.m_isQueued && !aJob.HasEnded()) {
    step.m_isQueued = true;
    m_queued.push_back({ &aJob, aOccurrence, aStep });
  }
}

} // namespace mustardtray::job
