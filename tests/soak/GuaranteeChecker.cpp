#include "tests/soak/GuaranteeChecker.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

namespace mustardtray::soak {

namespace {

TimePoint Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

} // namespace

void GuaranteeChecker::ReportViolation(const std::string& aDescription)
{
  Log(LogCategory::Process, LogLevel::Error, "guarantee-violated", "violation", aDescription);
  m_violations.push_back(aDescription);
}

void GuaranteeChecker::OnSubmitted(const std::string& aJob, job::JobSpec aSpec, bool aIsDeadly)
{
  m_jobs[aJob].m_isDeadly = aIsDeadly;
  m_jobs[aJob].m_spec = std::move(aSpec);
}

void GuaranteeChecker::OnAccepted(const std::string& aJob)
{
  JobRecord& job = m_jobs.at(aJob);
  job.m_acceptedAt = job.m_isAccepted ? job.m_acceptedAt : Now();
  job.m_isAccepted = true;
}

void GuaranteeChecker::OnSubmitFailed(const std::string& aJob, bool aIsOutcomeKnown)
{
  JobRecord& job = m_jobs.at(aJob);
  job.m_isOutcomeUnknown = job.m_isOutcomeUnknown || !aIsOutcomeKnown;
}

void GuaranteeChecker::OnStateReported(const std::string& aJob, const std::string& aState)
{
  JobRecord& job = m_jobs.at(aJob);
  const bool isStateChange = job.m_reportedState != aState;
  job.m_reportedState = aState;
  if (!isStateChange) {
    return;
  }
  if (aState == "completed") {
    for (std::uint32_t step = 0; step < job.m_spec.m_steps.size(); ++step) {
      if (!IsStepDone(aJob, step)) {
        ReportViolation("reported as completed before all of its work units were done: " + aJob);
      }
    }
  }
  if (aState == "cancelled" && !job.m_isCancelSent) {
    ReportViolation("reported as cancelled without a cancel request: " + aJob);
  }
  if (aState == "failed") {
    const std::string prefix = aJob + ".";
    bool hasExhaustedUnit = false;
    for (auto unit = m_units.lower_bound(prefix);
         unit != m_units.end() && unit->first.starts_with(prefix);
         ++unit) {
      hasExhaustedUnit = hasExhaustedUnit || unit->second.m_failures >= kMaxAttempts;
    }
    // Long-running units have no limit of attempts.
    if ((!hasExhaustedUnit || job.m_spec.IsLongRunning()) && !job.m_isDeadly) {
      ReportViolation("reported as failed although no unit has failed in all attempts: " + aJob);
    }
  }
}

void GuaranteeChecker::OnJobNotFound(const std::string& aJob)
{
  if (m_jobs.at(aJob).m_isAccepted) {
    ReportViolation("an accepted job is not known: " + aJob);
  }
}

void GuaranteeChecker::OnRunStarted(const job::UnitId& aUnit,
                                    std::uint32_t aRun,
                                    const std::string& aIncarnation,
                                    const std::string& aKind)
{
  const std::string name = aUnit.Text();
  Log(LogCategory::Process,
      LogLevel::Info,
      "run-started",
      "unit",
      name,
      "run",
      aRun,
      "incarnation",
      aIncarnation);
  const auto job = m_jobs.find(aUnit.m_job);
  if (job == m_jobs.end() || aUnit.m_step >= job->second.m_spec.m_steps.size()) {
    ReportViolation("started a work unit that no caller submitted: " + name);
    return;
  }
  job->second.m_hasStarted = true;
  UnitRecord& unit = m_units[name];
  if (!unit.m_incarnations.empty()) {
    ReportViolation("two runs of the same work unit at once: " + name + " on " +
                    *unit.m_incarnations.begin() + " and " + aIncarnation);
  }
  if (unit.m_isDoneAcknowledged) {
    ReportViolation("started after its completion was acknowledged: " + name);
  }
  const job::StepSpec& step = job->second.m_spec.m_steps[aUnit.m_step];
  if (!step.m_isLongRunning && unit.m_failedRuns.size() >= kMaxAttempts) {
    ReportViolation("more attempts than the queue allows: " + name + ", run " +
                    std::to_string(aRun));
  }
  if (!step.m_requiredLabel.empty() && step.m_requiredLabel != aKind) {
    ReportViolation("started on a minion without the required label: " + name);
  }
  for (const std::uint32_t precedingStep : step.m_after) {
    if (!IsStepDone(aUnit.m_job, precedingStep)) {
      ReportViolation("started before a preceding step was done: " + name);
    }
  }
  if (job->second.m_isDeadly && unit.m_crashes >= kMaxCrashes &&
      ++unit.m_startsAfterCrashes == kMaxStartsAfterCrashes) {
    ReportViolation("a unit that crashes its minions was started too often: " + name);
  }
  unit.m_incarnations.insert(aIncarnation);
}

void GuaranteeChecker::OnRunEnded(const job::UnitId& aUnit,
                                  job::RunOutcome aOutcome,
                                  const std::string& aIncarnation)
{
  Log(LogCategory::Process,
      LogLevel::Info,
      "run-ended",
      "unit",
      aUnit.Text(),
      "outcome",
      ToName(aOutcome),
      "incarnation",
      aIncarnation);
  UnitRecord& unit = m_units[aUnit.Text()];
  unit.m_incarnations.erase(aIncarnation);
  unit.m_failures += aOutcome == job::RunOutcome::Failed ? 1 : 0;
  unit.m_lastEndedAt = Now();
  unit.m_isDone = unit.m_isDone || aOutcome == job::RunOutcome::Done;
}

void GuaranteeChecker::OnRunEndAcknowledged(const job::UnitId& aUnit,
                                            std::uint32_t aRun,
                                            job::RunOutcome aOutcome)
{
  Log(LogCategory::Process,
      LogLevel::Info,
      "run-end-acknowledged",
      "unit",
      aUnit.Text(),
      "run",
      aRun,
      "outcome",
      ToName(aOutcome));
  UnitRecord& unit = m_units[aUnit.Text()];
  if (aOutcome == job::RunOutcome::Done) {
    unit.m_isDoneAcknowledged = true;
    if (!unit.m_incarnations.empty()) {
      ReportViolation("still running after its completion was acknowledged: " + aUnit.Text());
    }
  } else if (aOutcome == job::RunOutcome::Failed) {
    unit.m_failedRuns.insert(aRun);
  }
}

bool GuaranteeChecker::IsStepDone(const std::string& aJob, std::uint32_t aStep) const
{
  const job::StepSpec& step = m_jobs.at(aJob).m_spec.m_steps[aStep];
  for (std::uint32_t index = 0; index < step.m_count; ++index) {
    const auto unit = m_units.find(job::UnitId{ aJob, 0, aStep, index }.Text());
    if (unit == m_units.end() || !unit->second.m_isDone) {
      return false;
    }
  }
  return true;
}

std::vector<std::string> GuaranteeChecker::UnfinishedJobs(bool aIncludesDeadly) const
{
  std::vector<std::string> jobs;
  for (const auto& [id, job] : m_jobs) {
    const bool hasEnded = job.m_reportedState == "completed" || job.m_reportedState == "failed" ||
                          job.m_reportedState == "cancelled";
    if (job.m_isAccepted && !hasEnded && (aIncludesDeadly || !job.m_isDeadly)) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

std::vector<GuaranteeChecker::MissingUnit> GuaranteeChecker::LongRunningUnitsAbsentSince(
  TimePoint aSince) const
{
  std::vector<MissingUnit> missing;
  for (const auto& [id, job] : m_jobs) {
    if (!job.m_spec.IsLongRunning() || !job.m_isAccepted || job.m_isCancelSent ||
        job.m_acceptedAt > aSince) {
      continue;
    }
    const job::StepSpec& step = job.m_spec.m_steps.front();
    for (std::uint32_t index = 0; index < step.m_count; ++index) {
      const job::UnitId unit{ id, 0, 0, index };
      const auto record = m_units.find(unit.Text());
      const bool isAbsent = record == m_units.end() || (record->second.m_incarnations.empty() &&
                                                        record->second.m_lastEndedAt <= aSince);
      if (isAbsent) {
        const TimePoint since =
          record == m_units.end() ? TimePoint{} : record->second.m_lastEndedAt;
        missing.push_back(
          { unit, step.m_need.m_cpu, step.m_maxPerMinion == 1, std::max(since, job.m_acceptedAt) });
      }
    }
  }
  return missing;
}

void GuaranteeChecker::CheckFinalState()
{
  for (const std::string& id : UnfinishedJobs()) {
    ReportViolation("accepted but never ended, last reported as '" + m_jobs.at(id).m_reportedState +
                    "': " + id);
  }
  for (const auto& [id, job] : m_jobs) {
    if (job.m_hasStarted && !job.m_isAccepted && !job.m_isOutcomeUnknown) {
      ReportViolation("started although every submission was rejected: " + id);
    }
  }
  for (const auto& [name, unit] : m_units) {
    const auto id = job::UnitId::Parse(name);
    const bool isCancelled = id && m_jobs.at(id->m_job).m_reportedState == "cancelled";
    if (isCancelled && !unit.m_incarnations.empty()) {
      ReportViolation("still running although its job is cancelled: " + name);
    }
  }
}

std::size_t GuaranteeChecker::AcceptedJobCount() const
{
  return static_cast<std::size_t>(std::count_if(
    m_jobs.begin(), m_jobs.end(), [](const auto& aJob) { return aJob.second.m_isAccepted; }));
}

} // namespace mustardtray::soak
