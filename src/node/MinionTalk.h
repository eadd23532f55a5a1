#pragma once

/// The conversation with one minion: one call at a time that extends the lease of its runs, takes
/// in its ends and waits for the next.

#include <cstdint>
#include <memory>
#include <string>

#include "node/NodeContext.h"

namespace mustardtray::node {

class PoolOwner;

/// Estimate of a minion's clock from its latest answer.
class MinionClock
{
public:
  void Observe(std::int64_t aClockMs, TimePoint aReceivedAt)
  {
    m_clockMs = aClockMs;
    m_receivedAt = aReceivedAt;
  }
  bool IsKnown() const { return m_clockMs > 0; }
  std::int64_t At(TimePoint aTime) const
  {
    return m_clockMs + std::chrono::duration_cast<Millis>(aTime - m_receivedAt).count();
  }
  /// Latest local time at which the minion's clock reaches a value. Its clock may run 2% slow.
  TimePoint Reached(std::int64_t aClockMs) const
  {
    constexpr double kSlowest = 1.0 / 0.98;
    const double wait = static_cast<double>(aClockMs - m_clockMs) * kSlowest;
    return m_receivedAt + Millis(static_cast<Millis::rep>(wait) + 1);
  }

private:
  std::int64_t m_clockMs = 0;
  TimePoint m_receivedAt{};
};

class MinionTalk
{
public:
  MinionTalk(PoolOwner& aOwner, std::string aMinion);
  ~MinionTalk();
  MinionTalk(const MinionTalk&) = delete;
  MinionTalk& operator=(const MinionTalk&) = delete;

  const MinionClock& Clock() const { return m_clock; }
  /// Ends up to this number are in the store.
  void OnEndsSaved(std::uint64_t aNumber);
  /// Time up to which orders and leases that are sent now are valid, on the minion's clock.
  std::int64_t LeaseUntil(TimePoint aNow) const;
  void Hold();

private:
  void HoldAfter(Millis aDelay);
  /// A line for each end that is not a success.
  void LogEnds(const job::LeaseReport& aReport) const;
  void OnReport(Result<job::LeaseReport> aReport, TimePoint aAskedAt);

  PoolOwner& m_owner;
  std::string m_minion;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  MinionClock m_clock;
  std::uint64_t m_savedEnd = 0;
  std::int64_t m_knownBorn = 0;
  bool m_isHolding = false;
  bool m_isFailing = false;
  std::uint64_t m_acknowledging = 0; ///< Ends that the call under way acknowledges.
  TimerHandle m_timer;
};

} // namespace mustardtray::node
