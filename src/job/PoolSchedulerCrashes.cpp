#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Units that crash their minions: which crashes count at which unit.

namespace mustardtray::job {

std::vector<CrashSuspect> PoolScheduler::SuspectsOn(const MinionState& aMinion) const
{
  std::vector<CrashSuspect> suspects;
  bool isConfirmed = true;
  for (const auto& [name, run] : aMinion.m_runs) {
    UnitId unit = run.m_unit;
    unit.m_index = run.m_isGang ? 0 : unit.m_index; // A gang crashes as a whole.
    isConfirmed = isConfirmed && run.m_confirmedAt != TimePoint{};
    const bool isListed =
      std::any_of(suspects.begin(), suspects.end(), [&](const CrashSuspect& aOther) {
        return aOther.m_unit == unit;
      });
    if (!isListed) {
      suspects.push_back({ std::move(unit), run.m_run, false });
    }
  }
  if (suspects.size() == 1) {
    suspects.front().m_isAlone = isConfirmed;
  }
  return suspects;
}

void PoolScheduler::RecordCrash(const MinionState& aMinion,
                                std::int64_t aRestartedAtMs,
                                TimePoint aNow)
{
  if (!aMinion.IsLeaving()) {
    m_crashHistory.OnRunsCrashed(aMinion.m_entry, SuspectsOn(aMinion), aRestartedAtMs, aNow);
  }
}

void PoolScheduler::CountCrashes(TimePoint aNow)
{
  for (MinionCrash& crash : m_crashHistory.TakeSettled(aNow)) {
    CrashNotice notice;
    for (const CrashSuspect& suspect : crash.m_suspects) {
      notice.m_counts.push_back(CountCrash(crash, suspect, aNow));
    }
    notice.m_crash = std::move(crash);
    m_orders.m_crashes.push_back(std::move(notice));
  }
}

std::optional<CrashCounts> PoolScheduler::CountCrash(const MinionCrash& aCrash,
                                                     const CrashSuspect& aSuspect,
                                                     TimePoint)
{
  Job* job = nullptr;
  Unit* unit = FindUnit(aSuspect.m_unit, &job);
  if (!unit || unit->m_isDone || job->HasEnded()) {
    return std::nullopt;
  }
  if (aSuspect.m_run > unit->m_lastCrashedRun) {
    unit->m_lastCrashedRun = aSuspect.m_run;
    AddCrash(unit->m_crashes, aCrash, aSuspect);
    job->m_hasCrashes = true;
  }
  return unit->m_crashes;
}

} // namespace mustardtray::job
