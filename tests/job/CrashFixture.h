#pragma once

/// Pool fixture whose minions crash and restart.

#include <map>
#include <string>
#include <vector>

#include "PoolFixture.h"

namespace mustardtray::job {

inline constexpr Millis kRestartTime{ 2'000 };
/// Until restarts at the same time have been told from a single one.
inline constexpr Millis kSettleTime{ 900 };

struct CrashFixture : PoolFixture
{
  std::int64_t m_startMs = 1;
  std::map<std::string, std::int64_t> m_starts;
  std::map<std::string, int> m_ordered; ///< Starts by unit.

  std::vector<StartOrder> Start()
  {
    std::vector<StartOrder> orders = StartAll();
    for (const StartOrder& order : orders) {
      ++m_ordered[order.m_unit];
    }
    return orders;
  }

  /// The minions restart at the same time under their ids.
  void Crash(const std::vector<std::string>& aMinions)
  {
    Advance(kRestartTime);
    m_startMs += 10'000;
    for (const std::string& minion : aMinions) {
      m_starts[minion] = m_startMs;
      Report(minion, {}, {}, m_startMs);
      // A restarted minion registers again.
      MinionEntry entry = m_pool.Minions().at(minion).m_entry;
      entry.m_startedAtMs = m_startMs;
      m_pool.UpdateMinion(entry, m_now);
    }
  }

  void CrashAndSettle(const std::vector<std::string>& aMinions)
  {
    Crash(aMinions);
    Advance(kSettleTime);
    Start();
    SaveAll();
  }

  std::string MinionOf(const std::string& aUnit)
  {
    for (const auto& [id, minion] : m_pool.Minions()) {
      if (minion.m_runs.contains(aUnit)) {
        return id;
      }
    }
    return {};
  }

  /// Crashes the minion of a unit until the job has ended or the unit does not start again.
  void CrashUntilGivenUp(const std::string& aUnit)
  {
    for (int i = 0; i < 60; ++i) {
      Start();
      const std::string minion = MinionOf(aUnit);
      if (minion.empty()) {
        Advance(Millis(500));
        continue;
      }
      CrashAndSettle({ minion });
      Start();
    }
  }

  JobState StateOf(const std::string& aJob)
  {
    SaveAll();
    return m_pool.ReportedState(aJob).value();
  }

  /// Lets the lease of the minion expire without an answer.
  void Lose(const std::string& aMinion)
  {
    Advance(Millis(3'200));
    m_pool.OnLeaseExtensionFailed(aMinion, m_now - Millis(50));
  }
};

inline constexpr int kMaxStarts = 5; // Three crashes and two more starts.

} // namespace mustardtray::job
