#pragma once

/// Keeps one hold call at a time open to a minion. The call extends the lease of the minion's runs,
/// returns the runs that have ended, and waits for the next one to end.

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "node/MinionChannel.h"
#include "node/NodeContext.h"

namespace mustardtray::node {

class PoolOwner;

/// Estimates a minion's clock from its latest response.
class MinionClock
{
public:
  void Update(std::int64_t aClockMs, TimePoint aReceivedAt)
  {
    m_clockMs = aClockMs;
    m_receivedAt = aReceivedAt;
  }
  bool IsKnown() const { return m_clockMs > 0; }
  std::int64_t EstimateAt(TimePoint aTime) const
  {
    return m_clockMs + std::chrono::duration_cast<Millis>(aTime - m_receivedAt).count();
  }
  /// Latest local time at which the minion's clock reaches a value. The clock may run 2% slow.
  TimePoint LatestTimeAt(std::int64_t aClockMs) const
  {
    constexpr double kMaxClockSlowdown = 1.0 / 0.98;
    const double wait = static_cast<double>(aClockMs - m_clockMs) * kMaxClockSlowdown;
    return m_receivedAt + Millis(static_cast<Millis::rep>(wait) + 1);
  }

private:
  std::int64_t m_clockMs = 0;
  TimePoint m_receivedAt{};
};

/// Which calls of an owner a minion refuses.
struct FencingState
{
  std::uint64_t m_token = 0; ///< Highest one that the minion was sent.
  std::uint64_t m_formerToken =
    0; ///< Highest one of calls that were meant for former incarnations.
  std::int64_t m_knownStartMs = 0; ///< Start time of the latest incarnation that listed its runs.
};

class MinionSession
{
public:
  MinionSession(PoolOwner& aOwner, std::string aMinion);
  ~MinionSession();
  MinionSession(const MinionSession&) = delete;
  MinionSession& operator=(const MinionSession&) = delete;

  const MinionClock& Clock() const { return m_clock; }
  /// Expires when the session ends.
  std::weak_ptr<int> Alive() const { return m_alive; }
  /// Sends an order to the known incarnation; see MinionChannel. aSend gets the target.
  void SendOrder(
    Millis aTimeout,
    std::function<void(const platform::MinionTarget&, platform::MinionClient::OrderCallback)> aSend,
    platform::MinionClient::OrderCallback aDone);
  /// Time, in milliseconds of the minion's clock, up to which orders and leases that are sent now
  /// are valid; 0 while the clock is not known.
  std::int64_t LeaseDeadlineMs(TimePoint aNow) const;
  void SendHold();

private:
  void ScheduleHold(Millis aDelay);
  /// Remembers which revisions of jobs include newly reported run ends.
  void TrackRunEnds(const job::LeaseReport& aReport);
  /// Finds out up to which number the store has the run ends.
  void UpdateSavedEnds();
  /// Whether run ends that rejected progress holds back can wait no longer: the minion lists no
  /// others beside them, or its machine has to be drained.
  bool MustReleaseEnds();
  /// Writes the minion's row after the progress that follows from newly reported run ends.
  void SaveRunEnds();
  void ForgetRunEnds();
  /// Logs each newly reported run end that is not a success.
  void LogRunEnds(const job::LeaseReport& aReport) const;
  /// Asks the minion for its runs on any connection, beside the pending call.
  void Connect();
  void OnConnected(platform::HoldResult aResult, TimePoint aAskedAt, std::uint64_t aToken);
  void OnHoldReport(platform::HoldResult aResult, TimePoint aAskedAt, std::uint64_t aToken);
  /// Called when another incarnation than the known one has answered a call for its runs.
  void OnOtherIncarnation(const job::LeaseReport& aReport,
                          TimePoint aAskedAt,
                          std::uint64_t aToken);
  /// Whether the clock in the answer to an order is that of the known incarnation. An answer
  /// without a clock is taken for one of that.
  bool IsOfKnownIncarnation(const platform::OrderResponse& aResponse, TimePoint aSentAt) const;
  /// Called for an answer of another incarnation. Nothing more is sent to it before it has listed
  /// its runs.
  void OnUnlistedAnswer(const platform::OrderResponse& aResponse, TimePoint aSentAt);
  /// Ends the pending call as one without an answer.
  void GiveUpPendingCall();
  /// Makes sure that the token of the next calls will be higher than those that former incarnations
  /// may have been sent.
  void RaiseToken();
  /// Whether an incarnation that answered a call with this token refuses the calls that were meant
  /// for former ones.
  bool IsFencing(std::uint64_t aToken) const { return aToken > m_formerToken; }
  platform::MinionTarget Target(const job::MinionEntry& aEntry, Connections aConnections) const;

  PoolOwner& m_owner;
  std::string m_minion;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  MinionClock m_clock;
  /// A run end that has been processed, but may not be in the store.
  struct UnsavedEnd
  {
    std::uint64_t m_number = 0;
    std::string m_job;
    std::uint64_t m_revision = 0; ///< Of the job; includes the end.
  };
  std::deque<UnsavedEnd> m_unsavedEnds; ///< By number.
  std::uint64_t m_lastTrackedEnd = 0;
  std::uint64_t m_lastRowEnd = 0;     ///< Latest end that the minion's row was written after.
  std::uint64_t m_savedRowEnd = 0;    ///< As m_lastRowEnd, of the row that the store has.
  std::uint64_t m_savedEndNumber = 0; ///< The store has the ends up to this number.
  TimePoint m_endsHeldBackSince{};    ///< By rejected progress.
  std::int64_t m_knownStartMs = 0;
  std::uint64_t m_token; ///< Fencing token of the calls.
  std::uint64_t m_formerToken =
    0;                      ///< Highest one of calls that were meant for former incarnations.
  TimePoint m_unlistedAt{}; ///< Time of the latest OnUnlistedAnswer().
  MinionChannel m_channel;
  HttpClient::CallId m_pendingCall = 0;
  TimePoint m_pendingCallSentAt{};
  TimePoint m_knownSince{}; ///< When the first call that the known incarnation answered was sent.
  bool m_isCallPending = false;
  bool m_isUnreachable = false;
  std::uint64_t m_pendingAcknowledgement = 0; ///< Run end that the pending call acknowledges.
  bool m_hasPendingLease = false;             ///< The pending call extends leases.
  bool m_isTokenWritePending = false;         ///< A transaction for a higher token.
  TimerHandle m_nextCallTimer;
};

} // namespace mustardtray::node
