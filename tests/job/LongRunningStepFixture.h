#pragma once

/// Pool with a long-running step on simulated minions, which crash, lose answers and start runs.

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "CrashFixture.h"

namespace mustardtray::job {

struct LongRunningStepFixture : PoolFixture
{
  static constexpr std::uint32_t kUnits = 5;
  static constexpr std::uint32_t kMaxUnavailable = 1;
  static constexpr int kMinions = 8;
  static constexpr Millis kTick{ 100 };
  static constexpr Millis kStartupTime{ 300 };

  struct SimulatedRun
  {
    std::uint32_t m_run = 0;
    TimePoint m_startedAt{};
  };

  struct SimulatedMinion
  {
    std::int64_t m_startMs = 1;
    std::map<std::string, SimulatedRun> m_runs;
    std::vector<ListedEnd> m_ends;
    TimePoint m_backAt{}; ///< Down until then.
    bool m_isDown = false;
  };

  LongRunningStepFixture()
  {
    for (int i = 0; i < kMinions; ++i) {
      const std::string id = "m" + std::to_string(i);
      AddMinion(id);
      m_minions[id] = {};
    }
    JobRecord record = MakeJob("s", kUnits);
    record.m_spec.m_steps[0].m_isLongRunning = true;
    record.m_spec.m_steps[0].m_maxPerMinion = 1;
    record.m_spec.m_steps[0].m_maxUnavailableUnits = kMaxUnavailable;
    m_pool.AddJob(record, m_now, false);
  }

  static std::string UnitName(std::uint32_t aIndex) { return "s.0.0." + std::to_string(aIndex); }

  bool IsAtWork(const std::string& aUnit) const
  {
    return std::any_of(m_minions.begin(), m_minions.end(), [&](const auto& aEntry) {
      const auto run = aEntry.second.m_runs.find(aUnit);
      return run != aEntry.second.m_runs.end() && m_now - run->second.m_startedAt >= kStartupTime;
    });
  }

  std::uint32_t CountAtWork() const
  {
    std::uint32_t count = 0;
    for (std::uint32_t i = 0; i < kUnits; ++i) {
      count += IsAtWork(UnitName(i)) ? 1 : 0;
    }
    return count;
  }

  std::string MinionOf(const std::string& aUnit) const
  {
    for (const auto& [id, minion] : m_minions) {
      if (minion.m_runs.contains(aUnit)) {
        return id;
      }
    }
    return {};
  }

  void Crash(const std::string& aMinion)
  {
    SimulatedMinion& minion = m_minions.at(aMinion);
    minion.m_runs.clear();
    minion.m_ends.clear();
    minion.m_isDown = true;
    minion.m_backAt = m_now + kRestartTime;
  }

  /// One decision of the pool's owner, and what the minions do until the next one.
  void Tick()
  {
    Advance(kTick);
    for (auto& [id, minion] : m_minions) {
      if (minion.m_isDown && m_now >= minion.m_backAt) {
        Restart(id, minion);
      }
      if (minion.m_isDown) {
        m_pool.OnLeaseExtensionFailed(id, m_now);
      } else {
        Report(id, ListRuns(minion), minion.m_ends, minion.m_startMs);
      }
    }
    const PoolOrders orders = Decide();
    for (const StopOrder& stop : orders.m_stops) {
      CarryOut(stop);
    }
    for (const StartOrder& start : orders.m_starts) {
      CarryOut(start);
    }
    SaveAll();
  }

  void Run(Millis aTime)
  {
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      Tick();
    }
  }

  std::map<std::string, SimulatedMinion> m_minions;
  std::set<std::string> m_deadlyUnits;          ///< Crash each minion that starts them.
  std::map<std::string, int> m_lostStarts;      ///< By unit: starts that will get no answer.
  std::map<std::string, int> m_lostStops;       ///< By unit: stops that are lost.
  std::map<std::string, int> m_starts;          ///< By unit.
  std::vector<std::string> m_stopsBeyondBudget; ///< Units ended at work while others were away.

private:
  void Restart(const std::string& aId, SimulatedMinion& aMinion)
  {
    aMinion.m_isDown = false;
    aMinion.m_startMs = ++m_restarts * 10'000 + m_now.time_since_epoch().count() / 1'000;
    MinionEntry entry = MakeMinion(aId);
    entry.m_startedAtMs = aMinion.m_startMs;
    m_pool.UpdateMinion(entry, m_now);
  }

  std::vector<ListedRun> ListRuns(const SimulatedMinion& aMinion) const
  {
    std::vector<ListedRun> runs;
    for (const auto& [unit, run] : aMinion.m_runs) {
      const int percent = m_now - run.m_startedAt >= kStartupTime ? 100 : 0;
      runs.push_back({ unit, run.m_run, "", percent, 0 });
    }
    return runs;
  }

  void CarryOut(const StopOrder& aStop)
  {
    SimulatedMinion& minion = m_minions.at(aStop.m_minion);
    int& lost = m_lostStops[aStop.m_unit];
    if (minion.m_isDown || lost > 0) {
      lost -= lost > 0 ? 1 : 0;
      m_pool.OnStopAnswer(aStop, OrderResult::NoAnswer, m_now);
      return;
    }
    const auto run = minion.m_runs.find(aStop.m_unit);
    if (run != minion.m_runs.end() && run->second.m_run == aStop.m_run) {
      const bool wasAtWork = IsAtWork(aStop.m_unit);
      minion.m_ends.push_back(
        { ++m_endNumber, aStop.m_unit, aStop.m_run, RunOutcome::Stopped, {} });
      minion.m_runs.erase(run);
      if (wasAtWork && CountAtWork() + kMaxUnavailable < kUnits) {
        m_stopsBeyondBudget.push_back(aStop.m_unit);
      }
    }
    m_pool.OnStopAnswer(aStop, OrderResult::Started, m_now);
  }

  void CarryOut(const StartOrder& aStart)
  {
    SimulatedMinion& minion = m_minions.at(aStart.m_minion);
    ++m_starts[aStart.m_unit];
    if (minion.m_isDown) {
      m_pool.OnStartAnswer(aStart, OrderResult::NotSent, m_now);
      return;
    }
    minion.m_runs[aStart.m_unit] = { aStart.m_run, m_now };
    int& lost = m_lostStarts[aStart.m_unit];
    m_pool.OnStartAnswer(aStart, lost > 0 ? OrderResult::NoAnswer : OrderResult::Started, m_now);
    lost -= lost > 0 ? 1 : 0;
    if (m_deadlyUnits.contains(aStart.m_unit)) {
      Crash(aStart.m_minion);
    }
  }

  std::int64_t m_restarts = 0;
};

} // namespace mustardtray::job
