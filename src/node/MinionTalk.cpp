#include "node/MinionTalk.h"

#include "mustardtray/process/Log.h"
#include "node/PoolOwner.h"
#include "node/UsedMinion.h"

namespace mustardtray::node {

namespace {

/// Lease of runs while the store answers: short, so that work on a minion that falls silent is free
/// to start elsewhere soon.
constexpr Millis kRunLease{ 3'000 };
/// When the node's own lease has less left than this, the store is late: runs get the longest
/// lease, so that they outlive an outage.
constexpr Millis kLowNodeLease{ 1'000 };
/// How long a busy minion waits for an end before it answers.
constexpr Millis kBusyWait{ 900 };
constexpr Millis kIdleWait{ 2'000 };
constexpr Millis kCallSlack{ 400 };
/// Between calls while ends wait to be saved: only the lease needs them.
constexpr Millis kUnsavedInterval{ 400 };
/// Between calls that return at once, so that ends gather.
constexpr Millis kGatherInterval{ 15 };
constexpr Millis kRetryDelay{ 150 };

} // namespace

MinionTalk::MinionTalk(PoolOwner& aOwner, std::string aMinion)
  : m_owner(aOwner)
  , m_minion(std::move(aMinion))
{
}

MinionTalk::~MinionTalk() = default;

std::int64_t MinionTalk::LeaseUntil(TimePoint aNow) const
{
  if (!m_clock.IsKnown()) {
    return 0;
  }
  const Millis longest = LongestRunLease(m_owner.m_context);
  const bool isStoreLate = m_owner.m_context.m_lease.Left() < kLowNodeLease;
  const Millis lease = isStoreLate ? longest : std::min(longest, kRunLease);
  return m_clock.At(aNow) + lease.count();
}

void MinionTalk::HoldAfter(Millis aDelay)
{
  m_timer = m_owner.m_context.m_timers.After(aDelay, [this] { Hold(); });
}

void MinionTalk::OnEndsSaved(std::uint64_t aNumber)
{
  m_savedEnd = std::max(m_savedEnd, aNumber);
  if (!m_isHolding) {
    HoldAfter(Millis{ 0 });
  }
}

void MinionTalk::Hold()
{
  m_timer.Cancel();
  if (m_isHolding || m_owner.m_isClosed) {
    return;
  }
  if (!m_owner.m_context.m_lease.IsValid()) {
    HoldAfter(kRetryDelay);
    return;
  }
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  if (found == m_owner.m_scheduler.Minions().end()) {
    return;
  }
  const job::MinionState& minion = found->second;
  const TimePoint now = LeaseClockNow();
  const bool hasUnsavedEnds = minion.m_lastProcessedEnd > m_savedEnd;
  platform::HoldCall call;
  // A minion that does not answer gets no longer lease: its work is free when the last one ends.
  call.m_leaseUntilMs = m_isFailing ? 0 : LeaseUntil(now);
  // After a failed call the minion may have started anew with new numbers of ends.
  call.m_endsSeen = m_isFailing ? 0 : m_savedEnd;
  // A minion without work may be wanted elsewhere: that it has the acknowledgement must show now.
  const bool isAcknowledging =
    minion.m_runs.empty() && minion.m_lastAcknowledgedEnd < call.m_endsSeen;
  const bool mayWait = m_clock.IsKnown() && !hasUnsavedEnds && !m_isFailing && !isAcknowledging;
  call.m_wait = !mayWait ? Millis{ 0 } : minion.m_runs.empty() ? kIdleWait : kBusyWait;
  if (call.m_leaseUntilMs > 0) {
    m_owner.m_scheduler.OnLeaseGranted(m_minion, m_clock.Reached(call.m_leaseUntilMs));
  }
  m_isHolding = true;
  m_acknowledging = call.m_endsSeen;
  m_owner.m_context.m_minions.Hold(
    { minion.m_entry.m_address, m_minion, m_owner.m_claim.m_version },
    call,
    call.m_wait + kCallSlack,
    [this, now, alive = std::weak_ptr<int>(m_alive)](Result<job::LeaseReport> aReport) {
      if (!alive.expired()) {
        OnReport(std::move(aReport), now);
      }
    });
}

void MinionTalk::LogEnds(const job::LeaseReport& aReport) const
{
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  for (const job::ListedEnd& end : aReport.m_ended) {
    const bool isNew = found == m_owner.m_scheduler.Minions().end() ||
                       end.m_number > found->second.m_lastProcessedEnd;
    // Units that end as they should are many; the job's own end has its line.
    if (isNew && end.m_outcome != job::RunOutcome::Done) {
      Log(LogCategory::Placement,
          LogLevel::Info,
          "run-ended",
          "unit",
          end.m_unit,
          "run",
          end.m_run,
          "minion",
          m_minion,
          "how",
          ToName(end.m_outcome));
    }
  }
}

void MinionTalk::OnReport(Result<job::LeaseReport> aReport, TimePoint aAskedAt)
{
  m_isHolding = false;
  const TimePoint now = LeaseClockNow();
  if (!aReport) {
    if (!m_isFailing) {
      Log(LogCategory::Fleet,
          LogLevel::Warning,
          "minion-lost",
          "pool",
          m_owner.Pool(),
          "minion",
          m_minion,
          "error",
          aReport.error().Text());
    }
    m_isFailing = true;
    m_owner.m_scheduler.OnLeaseExtensionFailed(m_minion);
    HoldAfter(kRetryDelay);
    return;
  }
  const job::LeaseReport& report = aReport.value();
  if (m_isFailing) {
    m_isFailing = false;
    Log(LogCategory::Fleet,
        LogLevel::Info,
        "minion-regained",
        "pool",
        m_owner.Pool(),
        "minion",
        m_minion);
  }
  if (report.m_startedAtMs != m_knownBorn) {
    m_knownBorn = report.m_startedAtMs;
    m_savedEnd = 0;
  }
  LogEnds(report);
  const bool wasFirst = !m_clock.IsKnown();
  m_clock.Observe(report.m_clockMs, now);
  m_owner.m_scheduler.OnLeaseReport(m_minion, report, aAskedAt, now);
  m_owner.m_scheduler.OnEndsAcknowledged(m_minion, m_acknowledging);
  const std::weak_ptr<int> alive = m_alive;
  m_owner.DecideNow();
  if (alive.expired()) {
    return; // The minion is gone for good, and this conversation with it.
  }
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  if (found == m_owner.m_scheduler.Minions().end()) {
    return;
  }
  const std::uint64_t seen = found->second.m_lastProcessedEnd;
  if (seen > m_savedEnd) {
    // The progress that these ends made is in the journal ahead of this row.
    m_owner.m_journal.Put(kUsedMinionTable,
                          m_minion,
                          EncodeUsedMinion(found->second.m_entry),
                          [this, seen, born = m_knownBorn, alive = std::weak_ptr<int>(m_alive)](
                            JournalOutcome aOutcome) {
                            if (!alive.expired() && aOutcome == JournalOutcome::Saved &&
                                born == m_knownBorn) {
                              OnEndsSaved(seen);
                            }
                          });
    HoldAfter(kUnsavedInterval);
    return;
  }
  HoldAfter(wasFirst ? Millis{ 0 } : kGatherInterval);
}

} // namespace mustardtray::node
