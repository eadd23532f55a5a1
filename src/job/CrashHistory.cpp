#include "mustardtray/job/CrashHistory.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <set>

namespace mustardtray::job {

namespace {

/// Minions that restart within this time of each other probably crashed for a common cause, such as
/// a loss of power.
constexpr Millis kCoincidence{ 150 };
/// Other minions that have to crash with one, because units may crash two minions by chance.
constexpr std::size_t kCoincidentMinions = 2;
/// Time until the restarts of minions that crashed together have been seen.
constexpr Millis kSettleTime{ 800 };
/// Restarts that were seen further apart do not count as coincident, whatever the machines' clocks
/// say.
constexpr Millis kMaxCoincidentDelay{ 2 * kSettleTime };
/// Lost runs are remembered for this time.
constexpr Millis kMaxLossAge{ 30'000 };
/// Longest time for which a start waits for a loss to be resolved: a unit that does nothing wrong
/// has to run again soon.
constexpr Millis kMaxLossWait{ 2'500 };
/// Limits the memory for minions with lost runs.
constexpr std::size_t kMaxLostMinions = 1'000;
/// Limits the memory for crashes that a unit's end may explain.
constexpr std::size_t kMaxSettledCrashes = 200;
/// Unexplained crashes after which a unit is isolated.
constexpr std::uint32_t kIsolationCrashes = 2;
/// Crashes of any kind after which it is isolated.
constexpr std::uint32_t kIsolationTotalCrashes = 3;
/// Crashes that hit the unit alone after which it is given up.
constexpr std::uint32_t kDeadlyAloneCrashes = 2;
/// Crashes of any kind after which it is given up, if one of them hit the unit alone.
constexpr std::uint32_t kDeadlyCrashes = 4;
/// Crashes after which it is given up without one that hit it alone, if enough are unexplained.
constexpr std::uint32_t kMaxCrashes = 5;
constexpr std::uint32_t kMaxUnexplainedCrashes = 3;
/// Restarts within this time tell how often minions restart by themselves.
constexpr Millis kRestartRateTime{ 10'000 };
/// Limits the memory for restarts.
constexpr std::size_t kMaxRestarts = 1'000;
/// Least rate that is assumed for them, per minion and second, since few are seen in so short a
/// time.
constexpr double kMinRestartRate = 0.05;
/// Rate at which a unit that crashes its minions does so, per second of a run: it does soon after
/// its start.
constexpr double kDeadlyRate = 1.0;
/// A minion that crashes has answered within this time: the interval between its calls.
constexpr Millis kMaxCrashDelay{ 1'000 };
/// Evidence, in decibans, that is enough to give a long-running unit up: the unit explains its
/// crashes 10,000 times better than other causes do...
constexpr int kDeadlyEvidence = 40;
/// ...or 1,000 times when there have been kMaxCrashes of them.
constexpr int kDeadlyEvidenceOfMany = 30;

double ToSeconds(Millis aTime)
{
  return static_cast<double>(aTime.count()) / 1'000.0;
}

std::uint32_t CountSuspicious(const CrashCounts& aCounts, const UnresolvedLosses& aLosses)
{
  return aCounts.m_all - aCounts.m_explained + aLosses.m_all - aLosses.m_explained;
}

} // namespace

bool NeedsIsolation(const CrashCounts& aCounts, const UnresolvedLosses& aLosses)
{
  return CountSuspicious(aCounts, aLosses) >= kIsolationCrashes ||
         aCounts.m_all + aLosses.m_all >= kIsolationTotalCrashes;
}

bool MustWaitForLosses(const CrashCounts& aCounts, const UnresolvedLosses& aLosses, TimePoint aNow)
{
  return aLosses.m_all > 0 && aNow < aLosses.m_waitUntil && NeedsIsolation(aCounts, aLosses);
}

bool IsDeadly(const CrashCounts& aCounts)
{
  return aCounts.m_alone >= kDeadlyAloneCrashes ||
         (aCounts.m_alone > 0 && aCounts.m_all >= kDeadlyCrashes) ||
         (aCounts.m_all >= kMaxCrashes &&
          aCounts.m_all - aCounts.m_explained >= kMaxUnexplainedCrashes);
}

bool IsDeadlyLongRunning(const CrashCounts& aCounts)
{
  return aCounts.m_evidence >= kDeadlyEvidence ||
         (aCounts.m_all >= kMaxCrashes && aCounts.m_evidence >= kDeadlyEvidenceOfMany);
}

void AddCrash(CrashCounts& aCounts, const MinionCrash& aCrash, const CrashSuspect& aSuspect)
{
  ++aCounts.m_all;
  aCounts.m_explained += aCrash.m_isCoincident || aSuspect.m_isUnlikely ? 1 : 0;
  aCounts.m_alone += aSuspect.m_isAlone && !aCrash.m_isCoincident ? 1 : 0;
}

void CrashHistory::OnRunsLost(const MinionEntry& aMinion,
                              std::vector<CrashSuspect> aSuspects,
                              TimePoint aNow)
{
  if (aSuspects.empty()) {
    return;
  }
  m_lost.push_back({ aMinion, aNow, std::move(aSuspects) });
  m_isUnresolvedStale = true;
  if (m_lost.size() > kMaxLostMinions) {
    m_lost.pop_front();
  }
}

void CrashHistory::OnRunsCrashed(const MinionEntry& aMinion,
                                 std::vector<CrashSuspect> aSuspects,
                                 std::int64_t aRestartedAtMs,
                                 TimePoint aNow)
{
  AddUnsettled(aMinion, std::move(aSuspects), aRestartedAtMs, aNow);
}

void CrashHistory::OnIncarnation(const MachineIncarnation& aSeen, TimePoint aNow)
{
  std::vector<LostRuns> crashed;
  std::erase_if(m_lost, [&](LostRuns& aLost) {
    const MinionEntry& entry = aLost.m_entry;
    const bool isSame = entry.m_id == aSeen.m_minion ||
                        (!entry.m_machine.empty() && entry.m_machine == aSeen.m_machine);
    const bool hasRestarted =
      isSame && entry.m_startedAtMs != 0 && aSeen.m_startedAtMs > entry.m_startedAtMs;
    if (hasRestarted) {
      crashed.push_back(std::move(aLost));
    }
    return hasRestarted;
  });
  for (LostRuns& lost : crashed) {
    m_isUnresolvedStale = true;
    AddUnsettled(lost.m_entry, std::move(lost.m_suspects), aSeen.m_startedAtMs, aNow);
  }
}

void CrashHistory::OnAnswer(const std::string& aMinion, std::int64_t aStartedAtMs)
{
  const auto erased = std::erase_if(m_lost, [&](const LostRuns& aLost) {
    return aLost.m_entry.m_id == aMinion && aLost.m_entry.m_startedAtMs == aStartedAtMs;
  });
  m_isUnresolvedStale = m_isUnresolvedStale || erased > 0;
}

void CrashHistory::AddUnsettled(const MinionEntry& aMinion,
                                std::vector<CrashSuspect> aSuspects,
                                std::int64_t aRestartedAtMs,
                                TimePoint aNow)
{
  while (m_restarts.size() >= kMaxRestarts ||
         (!m_restarts.empty() && aNow - m_restarts.front().m_confirmedAt > kRestartRateTime)) {
    m_restarts.pop_front();
  }
  Restart restart{ aRestartedAtMs, aMinion.m_id, aNow, {} };
  for (const CrashSuspect& suspect : aSuspects) {
    restart.m_units.push_back(suspect.m_unit);
  }
  m_restarts.push_back(std::move(restart));
  m_isUnresolvedStale = true;
  if (!aSuspects.empty()) {
    m_unsettled.push_back(
      { aMinion.m_id, aMinion.m_machine, aRestartedAtMs, aNow, false, std::move(aSuspects) });
  }
}

bool CrashHistory::IsCoincident(const std::string& aMinion, std::int64_t aRestartedAtMs) const
{
  std::set<std::string_view> others;
  for (const Restart& restart : m_restarts) {
    if (restart.m_minion != aMinion &&
        m_restarts.back().m_confirmedAt - restart.m_confirmedAt <= kMaxCoincidentDelay &&
        std::abs(restart.m_restartedAtMs - aRestartedAtMs) <= kCoincidence.count()) {
      others.insert(restart.m_minion);
    }
  }
  return others.size() >= kCoincidentMinions;
}

int CrashHistory::EvidenceOf(const MinionCrash& aCrash,
                             const CrashSuspect& aSuspect,
                             std::size_t aMinions,
                             TimePoint aNow) const
{
  if (aCrash.m_isCoincident) {
    return 0;
  }
  const auto others = std::count_if(m_restarts.begin(), m_restarts.end(), [&](const Restart& aOne) {
    const bool isRecent = aNow - aOne.m_confirmedAt <= kRestartRateTime;
    const auto unit = std::find(aOne.m_units.begin(), aOne.m_units.end(), aSuspect.m_unit);
    return isRecent && unit == aOne.m_units.end();
  });
  const double accidentalRate = std::max(kMinRestartRate,
                                         static_cast<double>(others) / ToSeconds(kRestartRateTime) /
                                           static_cast<double>(std::max<std::size_t>(aMinions, 1)));
  // Ratio of two exponential densities at the time for which the run had lasted.
  const double ranFor = ToSeconds(aSuspect.m_ranFor + kMaxCrashDelay / 2);
  const double logRatio = std::log10(kDeadlyRate / accidentalRate) -
                          (kDeadlyRate - accidentalRate) * ranFor / std::log(10.0);
  double decibans = 10.0 * logRatio;
  if (decibans > 0) {
    const auto suspects = static_cast<double>(std::max<std::size_t>(aSuspect.m_likely, 1));
    decibans = aSuspect.m_isUnlikely ? 0 : decibans / suspects;
  }
  return static_cast<int>(std::lround(decibans));
}

bool CrashHistory::IsCoincident(const LostRuns& aLost) const
{
  const auto count = std::count_if(m_lost.begin(), m_lost.end(), [&](const LostRuns& aOther) {
    return &aOther != &aLost && aOther.m_lostAt - aLost.m_lostAt <= kCoincidence &&
           aLost.m_lostAt - aOther.m_lostAt <= kCoincidence;
  });
  return static_cast<std::size_t>(count) >= kCoincidentMinions;
}

std::vector<MinionCrash> CrashHistory::TakeSettled(TimePoint aNow)
{
  while (!m_lost.empty() && aNow - m_lost.front().m_lostAt > kMaxLossAge) {
    m_lost.pop_front();
    m_isUnresolvedStale = true;
  }
  std::vector<MinionCrash> settled;
  std::erase_if(m_unsettled, [&](MinionCrash& aCrash) {
    if (aNow - aCrash.m_confirmedAt < kSettleTime) {
      return false;
    }
    aCrash.m_isCoincident = IsCoincident(aCrash.m_minion, aCrash.m_restartedAtMs);
    m_isUnresolvedStale = true;
    settled.push_back(std::move(aCrash));
    return true;
  });
  for (const MinionCrash& crash : settled) {
    if (!crash.m_isCoincident && crash.m_suspects.size() > 1) {
      m_settled.push_back(crash);
    }
  }
  while (m_settled.size() > kMaxSettledCrashes) {
    m_settled.pop_front();
  }
  return settled;
}

std::vector<CrashSuspect> CrashHistory::OnGivenUp(const UnitId& aUnit)
{
  std::vector<CrashSuspect> others;
  std::erase_if(m_settled, [&](const MinionCrash& aCrash) {
    const bool isInvolved =
      std::any_of(aCrash.m_suspects.begin(),
                  aCrash.m_suspects.end(),
                  [&](const CrashSuspect& aSuspect) { return aSuspect.m_unit == aUnit; });
    if (isInvolved) {
      others.insert(others.end(), aCrash.m_suspects.begin(), aCrash.m_suspects.end());
    }
    return isInvolved;
  });
  return others;
}

const UnresolvedByJob& CrashHistory::Unresolved() const
{
  if (!m_isUnresolvedStale) {
    return m_unresolved;
  }
  m_isUnresolvedStale = false;
  m_unresolved.clear();
  std::set<std::pair<std::string, std::uint32_t>> seen; // Members of a gang share a run.
  const auto add = [&](const CrashSuspect& aSuspect, bool aIsCoincident, TimePoint aWaitUntil) {
    const UnitId& unit = aSuspect.m_unit;
    if (!seen.emplace(unit.Text(), aSuspect.m_run).second) {
      return;
    }
    UnresolvedLosses& losses =
      m_unresolved[unit.m_job][{ unit.m_occurrence, unit.m_step, unit.m_index }];
    ++losses.m_all;
    losses.m_explained += aIsCoincident || aSuspect.m_isUnlikely ? 1 : 0;
    losses.m_waitUntil = std::max(losses.m_waitUntil, aWaitUntil);
  };
  for (const MinionCrash& crash : m_unsettled) {
    const bool isCoincident = IsCoincident(crash.m_minion, crash.m_restartedAtMs);
    for (const CrashSuspect& suspect : crash.m_suspects) {
      add(suspect, isCoincident, crash.m_confirmedAt + 2 * kSettleTime);
    }
  }
  for (const LostRuns& lost : m_lost) {
    const bool isCoincident = IsCoincident(lost);
    for (const CrashSuspect& suspect : lost.m_suspects) {
      add(suspect, isCoincident, lost.m_lostAt + kMaxLossWait);
    }
  }
  return m_unresolved;
}

} // namespace mustardtray::job
