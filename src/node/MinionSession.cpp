#include "node/MinionSession.h"

#include <algorithm>
#include <cstdlib>

#include "mustardtray/process/Log.h"
#include "node/PoolOwner.h"

namespace mustardtray::node {

namespace {

/// Lease of runs while the store answers. It is short so that the work of an unresponsive minion
/// can soon start elsewhere.
constexpr Millis kRunLease{ 3'000 };
/// When the node's own lease has less time left than this, the store is slow or down. Runs then get
/// the longest lease, so that they survive an outage.
constexpr Millis kLowNodeLeaseThreshold{ 1'000 };
/// How long a busy minion waits for a run to end before it answers.
constexpr Millis kBusyMinionWait{ 900 };
constexpr Millis kIdleMinionWait{ 2'000 };
/// While a long-running unit starts: others of its step can only be moved once it is at work.
constexpr Millis kStartingUnitWait{ 250 };
constexpr Millis kCallTimeoutMargin{ 400 };
/// Between calls while run ends wait to be saved; these calls only extend the lease.
constexpr Millis kUnsavedInterval{ 400 };
/// Between calls that return at once, to batch run ends.
constexpr Millis kBatchInterval{ 15 };
constexpr Millis kRetryDelay{ 150 };
/// The clock in an answer may differ by this from its estimate: network delay, and a clock that
/// runs 2% slow between two lists of runs.
constexpr Millis kClockTolerance{ 500 };

bool HasStartingLongRunningUnit(const job::MinionState& aMinion)
{
  return std::any_of(aMinion.m_runs.begin(), aMinion.m_runs.end(), [](const auto& aEntry) {
    constexpr int kAtWorkPercent = 100;
    const job::Run& run = aEntry.second;
    return run.m_isLongRunning && run.m_phase != job::RunPhase::Stopping &&
           run.m_percent < kAtWorkPercent;
  });
}

} // namespace

MinionSession::MinionSession(PoolOwner& aOwner, std::string aMinion)
  : m_owner(aOwner)
  , m_minion(std::move(aMinion))
  , m_token(aOwner.m_batchWriter.LatestVersion())
  , m_channel([this] { Connect(); })
{
  if (const auto former = aOwner.m_fencingStates.find(m_minion);
      former != aOwner.m_fencingStates.end()) {
    m_token = std::max(m_token, former->second.m_token);
    m_formerToken = former->second.m_formerToken;
    m_knownStartMs = former->second.m_knownStartMs;
  }
}

MinionSession::~MinionSession()
{
  m_owner.m_fencingStates[m_minion] = { m_token, m_formerToken, m_knownStartMs };
}

std::int64_t MinionSession::LeaseDeadlineMs(TimePoint aNow) const
{
  if (!m_clock.IsKnown()) {
    return 0;
  }
  const Millis longest = MaxRunLease(m_owner.m_context);
  const bool isStoreSlow = m_owner.m_context.m_lease.Remaining() < kLowNodeLeaseThreshold;
  const Millis lease = isStoreSlow ? longest : std::min(longest, kRunLease);
  return m_clock.EstimateAt(aNow) + lease.count();
}

bool MinionSession::IsOfKnownIncarnation(const platform::OrderResponse& aResponse,
                                         TimePoint aSentAt) const
{
  if (aResponse.m_clockMs == 0 || !m_clock.IsKnown()) {
    return true;
  }
  const std::int64_t earliestMs = m_clock.EstimateAt(aSentAt) - kClockTolerance.count();
  const std::int64_t latestMs = m_clock.EstimateAt(LeaseClockNow()) + kClockTolerance.count();
  return aResponse.m_clockMs >= earliestMs && aResponse.m_clockMs <= latestMs;
}

void MinionSession::OnUnlistedAnswer(const platform::OrderResponse& aResponse, TimePoint aSentAt)
{
  Log(LogCategory::Placement,
      LogLevel::Warning,
      "minion-clock-differs",
      "minion",
      m_minion,
      "result",
      ToName(aResponse.m_result),
      "clock-ms",
      aResponse.m_clockMs,
      "expected-ms",
      m_clock.EstimateAt(aSentAt),
      "known-start-ms",
      m_knownStartMs,
      "token",
      m_token,
      "connection",
      aResponse.m_connection,
      "has-listed", // Whether the incarnation that this node knows has answered on the connection.
      m_channel.Known()->Contains(aResponse.m_connection));
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  const bool isListRead = found != m_owner.m_scheduler.Minions().end() && found->second.m_isFenced;
  m_owner.m_scheduler.OnUnlistedLease(m_minion, LeaseClockNow());
  if (aSentAt <= m_unlistedAt && !isListRead) {
    return; // The list has been asked for since.
  }
  m_unlistedAt = LeaseClockNow();
  m_channel.OnLacksConnection();
  GiveUpPendingCall();
  ScheduleHold(Millis{ 0 });
}

void MinionSession::GiveUpPendingCall()
{
  if (m_isCallPending) {
    m_isCallPending = false;
    m_owner.m_context.m_minionClient.CancelHold(m_pendingCall);
    m_owner.m_scheduler.OnLeaseExtensionFailed(m_minion, m_pendingCallSentAt);
  }
  m_pendingAcknowledgement = 0;
  m_hasPendingLease = false;
}

void MinionSession::RaiseToken()
{
  m_token = std::max(m_token, m_owner.m_batchWriter.LatestVersion());
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  if (IsFencing(m_token) || found == m_owner.m_scheduler.Minions().end()) {
    return;
  }
  job::MinionState& minion = found->second;
  const bool isWritePending = m_isTokenWritePending || m_owner.m_pendingRecords.contains(m_minion);
  if (isWritePending || minion.m_isLeaseFinal || !(minion.m_isRecorded || minion.m_isReleased)) {
    return; // It gets no work before it is recorded, which takes a transaction.
  }
  // Any transaction will do. The record of a released minion has been removed.
  std::optional<std::string> record;
  if (minion.m_isRecorded) {
    record = m_owner.EncodeRecord(minion);
  }
  m_isTokenWritePending = true;
  m_owner.m_batchWriter.Put(kUsedMinionTable,
                            m_minion,
                            std::move(record),
                            [this, alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
                              if (alive.expired()) {
                                return;
                              }
                              m_isTokenWritePending = false;
                              if (aOutcome == WriteOutcome::Saved) {
                                SendHold();
                              }
                            });
}

void MinionSession::ScheduleHold(Millis aDelay)
{
  m_nextCallTimer = m_owner.m_context.m_timers.After(aDelay, [this] { SendHold(); });
}

void MinionSession::SendHold()
{
  m_nextCallTimer.Cancel();
  if (m_isCallPending || m_owner.m_isClosed) {
    return;
  }
  if (!m_owner.m_context.m_lease.IsValid()) {
    m_owner.m_scheduler.OnContactInterrupted(m_minion);
    ScheduleHold(kRetryDelay);
    return;
  }
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  if (found == m_owner.m_scheduler.Minions().end()) {
    // The owner ends this session with its next decision, unless the minion is registered again.
    ScheduleHold(kRetryDelay);
    return;
  }
  if (!IsFencing(m_token)) {
    m_token = std::max(m_token, m_owner.m_batchWriter.LatestVersion());
  }
  const job::MinionState& minion = found->second;
  const TimePoint now = LeaseClockNow();
  const bool hasUnsavedEnds = minion.m_lastProcessedEnd > m_savedEndNumber;
  platform::HoldRequest request;
  // Times and run ends are those of one incarnation, so they are sent on its connections only.
  const bool isBound = m_channel.HasFreeConnection() && !m_isUnreachable;
  // The lease of a minion that does not answer is not extended, so that its work can start
  // elsewhere when the last lease expires.
  const bool getsNoLease = !isBound || minion.m_isLeaseFinal || m_owner.m_hasEndedLeases;
  request.m_leaseUntilMs = getsNoLease ? 0 : LeaseDeadlineMs(now);
  request.m_acknowledgedEnd = isBound ? m_savedEndNumber : 0;
  // A minion without work may be needed elsewhere, so its last run ends are acknowledged at once.
  const bool isAcknowledging =
    minion.m_runs.empty() && minion.m_lastAcknowledgedEnd < request.m_acknowledgedEnd;
  const bool canWait =
    isBound && m_clock.IsKnown() && !hasUnsavedEnds && !isAcknowledging && !minion.m_hasMoreEnds;
  request.m_wait = !canWait                             ? Millis{ 0 }
                   : minion.m_runs.empty()              ? kIdleMinionWait
                   : HasStartingLongRunningUnit(minion) ? kStartingUnitWait
                                                        : kBusyMinionWait;
  if (request.m_leaseUntilMs > 0) {
    m_owner.m_scheduler.OnLeaseGranted(m_minion, m_clock.LatestTimeAt(request.m_leaseUntilMs), now);
  }
  m_isCallPending = true;
  m_pendingAcknowledgement = request.m_acknowledgedEnd;
  m_hasPendingLease = request.m_leaseUntilMs > 0;
  m_pendingCallSentAt = now;
  m_pendingCall = m_owner.m_context.m_minionClient.Hold(
    Target(minion.m_entry, isBound ? m_channel.Known() : nullptr),
    request,
    request.m_wait + kCallTimeoutMargin,
    [this, now, token = m_token, alive = std::weak_ptr<int>(m_alive)](
      platform::HoldResult aResult) {
      if (!alive.expired()) {
        OnHoldReport(std::move(aResult), now, token);
      }
    });
}

platform::MinionTarget MinionSession::Target(const job::MinionEntry& aEntry,
                                             Connections aConnections) const
{
  return { aEntry.m_address, m_minion, m_token, std::move(aConnections) };
}

void MinionSession::SendOrder(
  Millis aTimeout,
  std::function<void(const platform::MinionTarget&, platform::MinionClient::OrderCallback)> aSend,
  platform::MinionClient::OrderCallback aDone)
{
  if (m_isUnreachable) {
    platform::OrderResponse response;
    response.m_result = job::OrderResult::NotSent;
    aDone(response);
    return;
  }
  ChannelOrder order;
  order.m_deadline = LeaseClockNow() + aTimeout;
  order.m_send = [this, send = std::move(aSend)](Connections aConnections,
                                                 platform::MinionClient::OrderCallback aAnswered) {
    const auto found = m_owner.m_scheduler.Minions().find(m_minion);
    if (found == m_owner.m_scheduler.Minions().end() || !m_owner.m_context.m_lease.IsValid()) {
      platform::OrderResponse response;
      response.m_result = job::OrderResult::Rejected;
      aAnswered(response);
      return;
    }
    send(Target(found->second.m_entry, std::move(aConnections)),
         [this,
          sentAt = LeaseClockNow(),
          startMs = m_knownStartMs,
          answered = std::move(aAnswered),
          alive = std::weak_ptr<int>(m_alive)](platform::OrderResponse aResponse) {
           const bool hasAnswered =
             aResponse.m_clockMs != 0 || aResponse.m_result == job::OrderResult::Started;
           const bool isUnlisted =
             hasAnswered && !alive.expired() &&
             (startMs != m_knownStartMs || !IsOfKnownIncarnation(aResponse, sentAt));
           if (isUnlisted) {
             OnUnlistedAnswer(aResponse, sentAt);
             aResponse.m_connection = 0;
           }
           if (isUnlisted && aResponse.m_result == job::OrderResult::Started) {
             aResponse.m_result = job::OrderResult::StartedUnlisted;
           }
           answered(aResponse);
         });
  };
  order.m_done = std::move(aDone);
  m_channel.Send(std::move(order));
}

void MinionSession::Connect()
{
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  if (found == m_owner.m_scheduler.Minions().end() || m_owner.m_isClosed || m_isUnreachable ||
      !m_owner.m_context.m_lease.IsValid()) {
    m_channel.OnConnectFailed();
    return;
  }
  m_owner.m_context.m_minionClient.Hold(
    Target(found->second.m_entry, nullptr),
    {},
    kCallTimeoutMargin,
    [this, askedAt = LeaseClockNow(), token = m_token, alive = std::weak_ptr<int>(m_alive)](
      platform::HoldResult aResult) {
      if (!alive.expired()) {
        OnConnected(std::move(aResult), askedAt, token);
      }
    });
}

void MinionSession::OnConnected(platform::HoldResult aResult,
                                TimePoint aAskedAt,
                                std::uint64_t aToken)
{
  if (!aResult) {
    // The minion gets no work before it answers.
    m_owner.m_scheduler.OnContactInterrupted(m_minion);
    m_channel.OnConnectFailed();
    return;
  }
  if (aResult.value().m_report.m_startedAtMs == m_knownStartMs) {
    if (!IsFencing(aToken)) {
      m_channel.OnConnectFailed();
      return;
    }
    // The pending call reports the runs: two reports could be processed in the wrong order.
    m_channel.OnListed(aResult.value().m_connection, true);
    return;
  }
  if (aAskedAt < m_knownSince) {
    m_channel.OnConnectFailed(); // A late answer of a former incarnation.
    return;
  }
  GiveUpPendingCall(); // The former incarnation cannot answer any more.
  m_nextCallTimer.Cancel();
  OnHoldReport(std::move(aResult), aAskedAt, aToken);
}

void MinionSession::LogRunEnds(const job::LeaseReport& aReport) const
{
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  for (const job::ListedEnd& end : aReport.m_ended) {
    const bool isNew = found == m_owner.m_scheduler.Minions().end() ||
                       end.m_number > found->second.m_lastProcessedEnd;
    // Successful ends are too many to log; the end of the whole job is logged instead.
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
          "outcome",
          ToName(end.m_outcome));
    }
  }
}

void MinionSession::OnOtherIncarnation(const job::LeaseReport& aReport,
                                       TimePoint aAskedAt,
                                       std::uint64_t aToken)
{
  // Whatever was sent before may still reach the new incarnation.
  m_formerToken = m_knownStartMs != 0 ? m_token : m_formerToken;
  Log(LogCategory::Fleet,
      LogLevel::Info,
      "minion-incarnation",
      "pool",
      m_owner.Pool(),
      "minion",
      m_minion,
      "start-ms",
      aReport.m_startedAtMs,
      "former-start-ms",
      m_knownStartMs,
      "token",
      aToken,
      "former-token",
      m_formerToken,
      "runs",
      aReport.m_running.size(),
      "ends",
      aReport.m_ended.size());
  m_knownStartMs = aReport.m_startedAtMs;
  m_knownSince = aAskedAt;
  ForgetRunEnds();
  m_channel.OnRestarted();
  m_pendingAcknowledgement = 0; // Run ends of the former incarnation.
  // A session that goes on after an earlier one does not know what that one has sent last.
  const bool isResumed = m_formerToken != 0 && !m_clock.IsKnown();
  if (m_hasPendingLease || isResumed) {
    m_owner.m_scheduler.OnUnlistedLease(m_minion, LeaseClockNow());
  }
}

void MinionSession::OnHoldReport(platform::HoldResult aResult,
                                 TimePoint aAskedAt,
                                 std::uint64_t aToken)
{
  const WorkMeter::Scope scope(m_owner.m_context.m_work, WorkPart::MinionReport);
  m_isCallPending = false;
  const TimePoint now = LeaseClockNow();
  if (!aResult && aResult.error().m_lacksConnection) {
    m_channel.OnLacksConnection();
    SendHold();
    return;
  }
  if (!aResult) {
    if (!m_isUnreachable) {
      Log(LogCategory::Fleet,
          LogLevel::Warning,
          "minion-unreachable",
          "pool",
          m_owner.Pool(),
          "minion",
          m_minion,
          "error",
          aResult.error().m_error.Text());
    }
    m_isUnreachable = true;
    m_channel.OnConnectFailed();
    m_owner.m_scheduler.OnLeaseExtensionFailed(m_minion, aAskedAt);
    ScheduleHold(kRetryDelay);
    return;
  }
  job::LeaseReport& report = aResult.value().m_report;
  if (m_isUnreachable) {
    m_isUnreachable = false;
    Log(LogCategory::Fleet,
        LogLevel::Info,
        "minion-reachable",
        "pool",
        m_owner.Pool(),
        "minion",
        m_minion);
  }
  if (report.m_startedAtMs != m_knownStartMs) {
    OnOtherIncarnation(report, aAskedAt, aToken);
  }
  report.m_fencingToken = aToken;
  report.m_isFencing = IsFencing(aToken);
  LogRunEnds(report);
  const bool isFirstReport = !m_clock.IsKnown();
  m_clock.Update(report.m_clockMs, now);
  m_owner.m_scheduler.OnLeaseReport(m_minion, report, aAskedAt, now);
  m_owner.m_scheduler.OnEndsAcknowledged(m_minion, m_pendingAcknowledgement);
  TrackRunEnds(report);
  m_owner.RecordMinion(m_minion);
  if (report.m_isFencing) {
    m_channel.OnListed(aResult.value().m_connection, false);
  } else {
    RaiseToken();
  }
  m_owner.SaveUnsavedJobs();
  m_owner.RequestDecision();
  const auto found = m_owner.m_scheduler.Minions().find(m_minion);
  if (found == m_owner.m_scheduler.Minions().end()) {
    ScheduleHold(kRetryDelay); // The owner ends this session with its next decision.
    return;
  }
  if (found->second.m_lastProcessedEnd > m_savedEndNumber) {
    SaveRunEnds();
    ScheduleHold(kUnsavedInterval);
    return;
  }
  if (!IsFencing(m_token)) {
    ScheduleHold(kRetryDelay);
    return;
  }
  const bool isListWanted = isFirstReport || !report.m_isFencing;
  ScheduleHold(isListWanted ? Millis{ 0 } : kBatchInterval);
}

} // namespace mustardtray::node
