#include "node/MinionTalk.h"

#include "mustardtray/process/Log.h"
#include "node/PoolOwner.h"
#include "node/UsedMinion.h"

namespace mustardtray::node {

namespace {

/// Lease of runs while the store answers. It is short so that the work of an unresponsive minion
/// can soon start elsewhere.
constexpr Millis kRunLease{ 3'000 };
/// When the node's own lease has less time left than this, the store is slow or down. Runs then get
/// the longest lease, so that they survive an outage.
constexpr Millis kLowNodeLease{ 1'000 };
/// How long a busy minion waits for a run to end before it answers.
constexpr Millis kBusyWait{ 900 };
constexpr Millis kIdleWait{ 2'000 };
constexpr Millis kCallSlack{ 400 };
/// Between calls while run ends wait to be saved; these calls only extend the lease.
constexpr Millis kUnsavedInterval{ 400 };
/// Between calls that return at once, to batch run ends.
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
  const bool hasUnsavedEnds = minion.m_seenEnd > m_savedEnd;
  platform::HoldCall call;
  // The lease of a minion that does not answer is not extended, so that its work can start
  // elsewhere when the last lease expires.
  call.m_leaseUntilMs = m_isFailing ? 0 : LeaseUntil(now);
  // After a failed call the minion may have restarted, which restarts the numbering of run ends.
  call.m_endsSeen = m_isFailing ? 0 : m_savedEnd;
  // A minion without work may be needed elsewhere, so its last run ends are acknowledged at once.
  const bool isAcknowledging = minion.m_runs.empty() && minion.m_ackedEnd < call.m_endsSeen;
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
    [this, now, alive = std::weak_ptr<int>(m_alive)](Result<job::HoldReport> aReport) {
      if (!alive.expired()) {
        OnReport(std::move(aReport), now);
      }
    });
}

void MinionTalk::LogEnds(const job::HoldReport& aReport) const
{
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  for (const job::ListedEnd& end : aReport.m_ended) {
    const bool isNew =
      found == m_owner.m_scheduler.Minions().end() || end.m_number > found->second.m_seenEnd;
    // Successful ends are too many to log; the end of the whole job is logged instead.
    if (isNew && end.m_end != job::RunEnd::Done) {
      Log(LogCategory::Placement,
          LogLevel::Info,
          "run-ended",
          "unit",
          end.m_unit,
          "run",
          end.m_run,
          "minion",
          m_minion,
          "outcome",
          ToName(end.m_end));
    }
  }
}

void MinionTalk::OnReport(Result<job::HoldReport> aReport, TimePoint aAskedAt)
{
  m_isHolding = false;
  const TimePoint now = LeaseClockNow();
  if (!aReport) {
    if (!m_isFailing) {
      Log(LogCategory::Fleet,
          LogLevel::Warning,
          "minion-unreachable",
          "pool",
          m_owner.Pool(),
          "minion",
          m_minion,
          "error",
          aReport.error().Text());
    }
    m_isFailing = true;
    m_owner.m_scheduler.OnHoldFailed(m_minion);
    HoldAfter(kRetryDelay);
    return;
  }
  const job::HoldReport& report = aReport.value();
  if (m_isFailing) {
    m_isFailing = false;
    Log(LogCategory::Fleet,
        LogLevel::Info,
        "minion-reachable",
        "pool",
        m_owner.Pool(),
        "minion",
        m_minion);
  }
  if (report.m_bornMs != m_knownBorn) {
    m_knownBorn = report.m_bornMs;
    m_savedEnd = 0;
  }
  LogEnds(report);
  const bool wasFirst = !m_clock.IsKnown();
  m_clock.Observe(report.m_clockMs, now);
  m_owner.m_scheduler.OnHold(m_minion, report, aAskedAt, now);
  m_owner.m_scheduler.OnEndsAcknowledged(m_minion, m_acknowledging);
  const std::weak_ptr<int> alive = m_alive;
  m_owner.DecideNow();
  if (alive.expired()) {
    return; // The owner has erased the minion and destroyed this session.
  }
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  if (found == m_owner.m_scheduler.Minions().end()) {
    return;
  }
  const std::uint64_t seen = found->second.m_seenEnd;
  if (seen > m_savedEnd) {
    // The progress that follows from these run ends is queued for writing ahead of this row.
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
