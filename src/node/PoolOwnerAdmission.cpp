#include "node/PoolOwner.h"

#include "mustardtray/process/Log.h"

/// Decides which jobs a pool accepts.

namespace mustardtray::node {

namespace {

/// How long an admission holds: for the way of the answer and of the job.
constexpr Millis kAdmissionValidity{ 2'000 };
/// With more waiting for the node's link, the units of another job could not be started in time.
constexpr Millis kMaxLinkDelay{ 400 };
/// Callers that return with the first free byte would find the link full again.
constexpr Millis kMinRetryAfter{ 500 };

std::string MakeOutline(job::JobRecord aRecord)
{
  aRecord.m_spec.m_payload.clear();
  aRecord.m_acceptedAt = {};
  aRecord.m_epoch = 0;
  return job::EncodeJobRecord(aRecord);
}

} // namespace

SubmitResult PoolOwner::Admit(const job::JobRecord& aRecord)
{
  if (!IsAuthoritative() || m_isDraining) {
    return { SubmitOutcome::NotOwner, Millis{ 0 } };
  }
  if (KnowsJob(aRecord.m_id)) {
    return { SubmitOutcome::Accepted, Millis{ 0 } }; // A repeated request; its home decides.
  }
  Admission admission;
  admission.m_at = LeaseClockNow();
  SubmitResult result = Judge(aRecord, admission.m_isLate, admission.m_isExcess);
  if (result.m_outcome == SubmitOutcome::Accepted) {
    std::erase_if(m_admissions, [&](const auto& aEntry) {
      return admission.m_at - aEntry.second.m_at > kAdmissionValidity;
    });
    admission.m_configuration = m_context.m_deployment.m_version;
    admission.m_outline = MakeOutline(aRecord);
    m_admissions[aRecord.m_id] = std::move(admission);
  }
  return result;
}

std::optional<PoolOwner::Admission> PoolOwner::TakeAdmission(const job::JobRecord& aRecord)
{
  const auto found = m_admissions.find(aRecord.m_id);
  if (found == m_admissions.end()) {
    return std::nullopt;
  }
  Admission admission = std::move(found->second);
  m_admissions.erase(found);
  // Another request may have the same id, and another configuration other limits.
  const bool holds = LeaseClockNow() - admission.m_at <= kAdmissionValidity &&
                     admission.m_configuration == m_context.m_deployment.m_version &&
                     admission.m_outline == MakeOutline(aRecord);
  return holds ? std::optional(std::move(admission)) : std::nullopt;
}

SubmitResult PoolOwner::Judge(const job::JobRecord& aRecord, bool& aIsLate, bool& aIsExcess)
{
  const std::string& id = aRecord.m_id;
  UpdateAccounts();
  if (std::string reason = m_scheduler.DescribeLimitError(aRecord); !reason.empty()) {
    Log(LogCategory::Placement,
        LogLevel::Info,
        "job-exceeds-limit",
        "job",
        id,
        "account",
        aRecord.m_account,
        "reason",
        reason);
    return { SubmitOutcome::Invalid, Millis{ 0 }, std::move(reason) };
  }
  const TimePoint now = LeaseClockNow();
  const Millis waited = std::chrono::duration_cast<Millis>(now - FirstRefusalTime(id));
  if (!m_firstRefusals.contains(id)) {
    m_scheduler.OnFirstAttempt(aRecord, now);
  }
  aIsExcess = IsExcess(aRecord, now);
  const Micros linkDelay = m_context.m_http.LinkDelay();
  if (linkDelay > kMaxLinkDelay) {
    const Millis retryAfter = kMinRetryAfter + std::chrono::ceil<Millis>(linkDelay);
    Log(LogCategory::Placement,
        LogLevel::Info,
        "job-refused",
        "job",
        id,
        "queue",
        aRecord.m_queuePolicy.m_queue,
        "link-delay-ms",
        std::chrono::ceil<Millis>(linkDelay).count());
    return RefuseSubmission(aRecord, aIsExcess, retryAfter, now);
  }
  const auto retryAfter = aIsExcess ? m_scheduler.RefuseExcess(aRecord, now) : std::nullopt;
  if (retryAfter) {
    return RefuseSubmission(aRecord, aIsExcess, *retryAfter, now);
  }
  const WorkMeter::Scope scope(m_context.m_work, WorkPart::Submission);
  const job::AdmissionDecision verdict = m_scheduler.EvaluateAdmission(aRecord, waited, now);
  Log(LogCategory::Placement,
      LogLevel::Info,
      verdict.m_isAccepted ? "job-admitted" : "job-refused",
      "job",
      id,
      "queue",
      aRecord.m_queuePolicy.m_queue,
      "expected-wait-ms",
      verdict.m_expectedWait.count(),
      "waited-ms",
      waited.count(),
      "late",
      verdict.m_isLate,
      "units",
      aRecord.m_spec.m_steps[0].m_count,
      "max-per-minion",
      aRecord.m_spec.m_steps[0].m_maxPerMinion,
      "config",
      m_context.m_deployment.m_version);
  if (!verdict.m_isAccepted) {
    return RefuseSubmission(aRecord, aIsExcess, verdict.m_retryAfter, now);
  }
  aIsLate = verdict.m_isLate;
  return { SubmitOutcome::Accepted, Millis{ 0 } };
}

} // namespace mustardtray::node
