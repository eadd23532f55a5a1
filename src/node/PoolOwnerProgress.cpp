#include "node/PoolOwner.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

/// Writes the progress of jobs to the store, also of those whose progress the store has rejected.

namespace mustardtray::node {

namespace {

/// Between attempts to write progress that the store rejects.
constexpr Millis kFirstRejectedDelay{ 1'000 };
constexpr Millis kLongestRejectedDelay{ 30'000 };
/// From this delay on, a job whose failed unit waits to start again is given up.
constexpr Millis kGiveUpDelay{ 8'000 };

/// Whether a unit cannot start again before the store has its failure.
bool HasUnsavedFailure(const job::Job& aJob)
{
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (const job::StepState& step : occurrence.m_steps) {
      const bool hasOne =
        std::any_of(step.m_units.begin(), step.m_units.end(), [&](const job::Unit& aUnit) {
          return !aUnit.m_isDone && aUnit.m_failedRevision > aJob.m_savedRevision;
        });
      if (hasOne) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

void PoolOwner::SaveUnsavedJobs()
{
  SaveJobs(m_scheduler.TakeUnsavedJobs());
}

void PoolOwner::SaveJobs(const std::vector<std::string>& aJobs)
{
  for (const std::string& id : aJobs) {
    const job::Job* job = m_scheduler.FindJob(id);
    // Rejected progress is written again by RetryRejectedProgress(); an end is much shorter.
    const bool isHeldBack = job && IsProgressRejected(id) &&
                            (!job->HasEnded() || m_rejectedProgress.at(id).m_isEndRejected);
    if (job && !isHeldBack) {
      SaveProgress(*job, [](WriteOutcome) {});
    }
  }
}

void PoolOwner::SaveProgress(const job::Job& aJob, PoolBatchWriter::SavedCallback aSaved)
{
  if (aJob.HasEnded()) {
    Log(LogCategory::Placement,
        LogLevel::Info,
        "job-ended",
        "job",
        aJob.m_record.m_id,
        "state",
        ToName(aJob.m_state),
        "after-ms",
        std::chrono::duration_cast<Millis>(aJob.m_endedAt - aJob.m_arrivedAt).count());
  }
  WriteProgress(aJob, std::move(aSaved));
}

void PoolOwner::WriteProgress(const job::Job& aJob, PoolBatchWriter::SavedCallback aSaved)
{
  const std::string& id = aJob.m_record.m_id;
  m_scheduler.OnProgressSaveStarted(id);
  std::size_t maxBytes = MaxValueBytes(m_context.m_settings.m_maxRowBytes);
  if (const auto rejected = m_rejectedProgress.find(id); rejected != m_rejectedProgress.end()) {
    maxBytes = std::min(maxBytes, rejected->second.m_maxBytes);
  }
  std::string value = job::EncodeProgress(aJob, maxBytes);
  const std::size_t bytes = value.size();
  m_batchWriter.Put(kProgressTable,
                    id,
                    std::move(value),
                    [this,
                     id,
                     bytes,
                     revision = aJob.m_revision,
                     isEnd = aJob.HasEnded(),
                     saved = std::move(aSaved),
                     alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
                      if (!alive.expired() && aOutcome == WriteOutcome::Saved) {
                        m_scheduler.OnProgressSaved(id, revision);
                        if (const auto rejected = m_rejectedProgress.find(id);
                            rejected != m_rejectedProgress.end()) {
                          // The limit on its length stays, so that it is not rejected each time.
                          rejected->second.m_isRejected = false;
                          rejected->second.m_delay = Millis{ 0 };
                        }
                        RequestDecision();
                      } else if (!alive.expired() && aOutcome == WriteOutcome::Rejected) {
                        OnProgressRejected(id, bytes, isEnd);
                      }
                      saved(aOutcome);
                    });
}

void PoolOwner::OnProgressRejected(const std::string& aId, std::size_t aBytes, bool aIsEnd)
{
  RejectedProgress& rejected = m_rejectedProgress[aId];
  rejected.m_isRejected = true;
  rejected.m_isEndRejected = rejected.m_isEndRejected || aIsEnd;
  const job::Job* job = m_scheduler.FindJob(aId);
  if (job && !job->HasEnded()) {
    rejected.m_maxBytes = std::min(rejected.m_maxBytes, aBytes / 2);
    if (job::EncodeProgress(*job, rejected.m_maxBytes).size() < aBytes) {
      rejected.m_nextAttemptAt = LeaseClockNow() + kFirstRejectedDelay;
      WriteProgress(*job, [](WriteOutcome) {});
      return;
    }
  }
  rejected.m_delay = rejected.m_delay == Millis{ 0 }
                       ? kFirstRejectedDelay
                       : std::min(2 * rejected.m_delay, kLongestRejectedDelay);
  rejected.m_nextAttemptAt = LeaseClockNow() + rejected.m_delay;
  if (job && !job->HasEnded() && rejected.m_delay >= kGiveUpDelay && HasUnsavedFailure(*job)) {
    GiveUpProgress(aId); // The unit would never start again.
  }
}

void PoolOwner::RetryRejectedProgress(TimePoint aNow)
{
  for (auto entry = m_rejectedProgress.begin(); entry != m_rejectedProgress.end();) {
    auto& [id, rejected] = *entry;
    const job::Job* job = m_scheduler.FindJob(id);
    if (!job || (job->HasEnded() && job->m_savedRevision == job->m_revision)) {
      entry = m_rejectedProgress.erase(entry);
      continue;
    }
    ++entry;
    if (rejected.m_isRejected && aNow >= rejected.m_nextAttemptAt) {
      rejected.m_nextAttemptAt = aNow + kLongestRejectedDelay; // The answer sets another time.
      WriteProgress(*job, [](WriteOutcome) {});
    }
  }
}

bool PoolOwner::IsProgressRejected(const std::string& aId) const
{
  const auto rejected = m_rejectedProgress.find(aId);
  return rejected != m_rejectedProgress.end() && rejected->second.m_isRejected;
}

bool PoolOwner::GiveUpProgress(const std::string& aId)
{
  const job::Job* job = m_scheduler.FindJob(aId);
  if (!job || !IsProgressRejected(aId)) {
    return false;
  }
  // Long-running units start again after a takeover in any case.
  const bool isUnstorable = job->HasEnded() ? m_rejectedProgress.at(aId).m_isEndRejected
                                            : job->m_record.m_spec.IsLongRunning();
  if (isUnstorable || job->HasEnded()) {
    return isUnstorable;
  }
  Log(LogCategory::Placement,
      LogLevel::Error,
      "job-given-up",
      "job",
      aId,
      "reason",
      "the store does not take its progress");
  m_scheduler.FailJob(aId, LeaseClockNow());
  SaveProgress(*job, [](WriteOutcome) {});
  RequestDecision();
  return false;
}

} // namespace mustardtray::node
