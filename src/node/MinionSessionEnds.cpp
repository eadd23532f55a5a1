#include "node/MinionSession.h"

#include <algorithm>

#include "mustardtray/process/Log.h"
#include "node/PoolOwner.h"

/// Run ends of a minion and their acknowledgement. A minion forgets the ends up to an acknowledged
/// number, so an end is acknowledged only when the store has the progress that includes it.

namespace mustardtray::node {

namespace {

/// A minion lists 500 ends at a time. Its list must not be full of those that are held back.
constexpr std::uint64_t kMaxHeldBackEnds = 400;
/// How long the ends of a minion that is about to leave can be held back.
constexpr Millis kMaxLeavingTime{ 2'500 };

} // namespace

void MinionSession::ForgetRunEnds()
{
  m_unsavedEnds.clear();
  m_lastTrackedEnd = 0;
  m_lastRowEnd = 0;
  m_savedRowEnd = 0;
  m_savedEndNumber = 0;
  m_endsHeldBackSince = {};
}

void MinionSession::TrackRunEnds(const job::LeaseReport& aReport)
{
  for (const job::ListedEnd& end : aReport.m_ended) {
    if (end.m_number <= m_lastTrackedEnd) {
      continue;
    }
    m_lastTrackedEnd = end.m_number;
    const auto unit = job::UnitId::Parse(end.m_unit);
    const job::Job* job = unit ? m_owner.m_scheduler.FindJob(unit->m_job) : nullptr;
    if (job && job->m_savedRevision < job->m_revision) {
      m_unsavedEnds.push_back({ end.m_number, unit->m_job, job->m_revision });
    }
  }
}

void MinionSession::UpdateSavedEnds()
{
  while (!m_unsavedEnds.empty()) {
    const UnsavedEnd& end = m_unsavedEnds.front();
    const job::Job* job = m_owner.m_scheduler.FindJob(end.m_job);
    if (job && job->m_savedRevision < end.m_revision) {
      if (!m_owner.IsProgressRejected(end.m_job)) {
        m_endsHeldBackSince = {};
        break;
      }
      if (!MustReleaseEnds() || !m_owner.GiveUpProgress(end.m_job)) {
        break;
      }
      Log(LogCategory::Placement,
          LogLevel::Error,
          "unsaved-end-acknowledged",
          "minion",
          m_minion,
          "job",
          end.m_job,
          "number",
          end.m_number);
    }
    m_unsavedEnds.pop_front();
  }
  m_endsHeldBackSince = m_unsavedEnds.empty() ? TimePoint{} : m_endsHeldBackSince;
  const std::uint64_t last = m_unsavedEnds.empty()
                               ? m_savedRowEnd
                               : std::min(m_savedRowEnd, m_unsavedEnds.front().m_number - 1);
  m_savedEndNumber = std::max(m_savedEndNumber, last);
}

bool MinionSession::MustReleaseEnds()
{
  const TimePoint now = LeaseClockNow();
  m_endsHeldBackSince = m_endsHeldBackSince == TimePoint{} ? now : m_endsHeldBackSince;
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  return m_lastTrackedEnd - m_unsavedEnds.front().m_number >= kMaxHeldBackEnds ||
         (found != m_owner.m_scheduler.Minions().end() && found->second.IsLeaving() &&
          now - m_endsHeldBackSince > kMaxLeavingTime);
}

void MinionSession::SaveRunEnds()
{
  UpdateSavedEnds();
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  const std::uint64_t lastEnd = found->second.m_lastProcessedEnd;
  if (lastEnd <= m_lastRowEnd) {
    return;
  }
  m_lastRowEnd = lastEnd;
  found->second.m_isReleased = false;
  // The progress that follows from these run ends is queued for writing ahead of this row.
  m_owner.m_batchWriter.Put(
    kUsedMinionTable,
    m_minion,
    m_owner.EncodeRecord(found->second),
    [this, lastEnd, startMs = m_knownStartMs, alive = std::weak_ptr<int>(m_alive)](
      WriteOutcome aOutcome) {
      if (alive.expired() || startMs != m_knownStartMs) {
        return;
      }
      if (aOutcome != WriteOutcome::Saved) {
        m_lastRowEnd = m_savedRowEnd; // Written again after the next call.
        return;
      }
      m_savedRowEnd = std::max(m_savedRowEnd, lastEnd);
      const std::uint64_t formerEnd = m_savedEndNumber;
      UpdateSavedEnds();
      if (m_savedEndNumber > formerEnd && !m_isCallPending) {
        ScheduleHold(Millis{ 0 });
      }
    });
}

} // namespace mustardtray::node
