#include "tests/soak/Promises.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

namespace mustardtray::soak {

void Promises::Break(const std::string& aWhat)
{
  Log(LogCategory::Process, LogLevel::Error, "promise-broken", "what", aWhat);
  m_broken.push_back(aWhat);
}

void Promises::OnSubmitted(const std::string& aJob, job::JobSpec aSpec)
{
  m_jobs[aJob].m_spec = std::move(aSpec);
}

void Promises::OnAccepted(const std::string& aJob)
{
  m_jobs.at(aJob).m_isAccepted = true;
}

void Promises::OnAttemptEnded(const std::string& aJob, bool aIsCertain)
{
  JobSeen& job = m_jobs.at(aJob);
  job.m_isUncertain = job.m_isUncertain || !aIsCertain;
}

void Promises::OnShown(const std::string& aJob, const std::string& aState)
{
  JobSeen& job = m_jobs.at(aJob);
  const bool isFirst = job.m_shown != aState;
  job.m_shown = aState;
  if (!isFirst) {
    return;
  }
  if (aState == "completed") {
    for (std::uint32_t step = 0; step < job.m_spec.m_steps.size(); ++step) {
      if (!IsStepDone(aJob, step)) {
        Break("shown as completed before its end: " + aJob);
      }
    }
  }
  if (aState == "cancelled" && !job.m_isCancelSent) {
    Break("shown as cancelled though nobody cancelled it: " + aJob);
  }
  if (aState == "failed") {
    const std::string prefix = aJob + ".";
    bool hasCause = false;
    for (auto unit = m_units.lower_bound(prefix);
         unit != m_units.end() && unit->first.starts_with(prefix);
         ++unit) {
      hasCause = hasCause || unit->second.m_failedRuns.size() >= kMaxAttempts;
    }
    // The last end is acknowledged after it is stored, so it may be one short.
    if (!hasCause && !job.m_hasStarted) {
      Break("shown as failed without a failure: " + aJob);
    }
  }
}

void Promises::OnStart(const job::UnitId& aUnit, std::uint32_t aRun, const std::string& aPlace)
{
  const std::string name = aUnit.Text();
  const auto job = m_jobs.find(aUnit.m_job);
  if (job == m_jobs.end() || aUnit.m_step >= job->second.m_spec.m_steps.size()) {
    Break("started what nobody handed in: " + name);
    return;
  }
  job->second.m_hasStarted = true;
  UnitSeen& unit = m_units[name];
  if (!unit.m_places.empty()) {
    Break("two runs at once: " + name + " on " + *unit.m_places.begin() + " and " + aPlace);
  }
  if (unit.m_isDoneAcknowledged) {
    Break("started after its end was acknowledged: " + name);
  }
  const job::StepSpec& step = job->second.m_spec.m_steps[aUnit.m_step];
  if (!step.m_isLongRunning && unit.m_failedRuns.size() >= kMaxAttempts) {
    Break("one attempt too many: " + name + " run " + std::to_string(aRun));
  }
  for (const std::uint32_t earlier : step.m_after) {
    if (!IsStepDone(aUnit.m_job, earlier)) {
      Break("started before an earlier step was done: " + name);
    }
  }
  unit.m_places.insert(aPlace);
}

void Promises::OnEnd(const job::UnitId& aUnit, job::RunOutcome aHow, const std::string& aPlace)
{
  UnitSeen& unit = m_units[aUnit.Text()];
  unit.m_places.erase(aPlace);
  unit.m_isDone = unit.m_isDone || aHow == job::RunOutcome::Done;
}

void Promises::OnEndAcknowledged(const job::UnitId& aUnit, std::uint32_t aRun, job::RunOutcome aHow)
{
  UnitSeen& unit = m_units[aUnit.Text()];
  if (aHow == job::RunOutcome::Done) {
    unit.m_isDoneAcknowledged = true;
    if (!unit.m_places.empty()) {
      Break("runs after its end was acknowledged: " + aUnit.Text());
    }
  } else if (aHow == job::RunOutcome::Failed) {
    unit.m_failedRuns.insert(aRun);
  }
}

bool Promises::IsStepDone(const std::string& aJob, std::uint32_t aStep) const
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

std::vector<std::string> Promises::Unfinished() const
{
  std::vector<std::string> jobs;
  for (const auto& [id, job] : m_jobs) {
    const bool hasEnded =
      job.m_shown == "completed" || job.m_shown == "failed" || job.m_shown == "cancelled";
    if (job.m_isAccepted && !hasEnded) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

void Promises::CheckAtEnd()
{
  for (const std::string& id : Unfinished()) {
    Break("accepted and never ended, shown as '" + m_jobs.at(id).m_shown + "': " + id);
  }
  for (const auto& [id, job] : m_jobs) {
    if (job.m_hasStarted && !job.m_isAccepted && !job.m_isUncertain) {
      Break("refused each time, and run: " + id);
    }
  }
  for (const auto& [name, unit] : m_units) {
    const auto id = job::UnitId::Parse(name);
    const bool isCancelled = id && m_jobs.at(id->m_job).m_shown == "cancelled";
    if (isCancelled && !unit.m_places.empty()) {
      Break("still runs although its job is cancelled: " + name);
    }
  }
}

std::size_t Promises::Accepted() const
{
  return static_cast<std::size_t>(std::count_if(
    m_jobs.begin(), m_jobs.end(), [](const auto& aJob) { return aJob.second.m_isAccepted; }));
}

} // namespace mustardtray::soak
