#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Units that crash their minions: which crashes count, and what follows for the next start.

namespace mustardtray::job {

namespace {

/// Time that a unit waits for a minion of its own; afterwards it may share one, because a unit that
/// does nothing wrong has to run again.
constexpr Millis kMaxIsolationWait{ 6'000 };
/// The same for long-running units, which have to run again soon.
constexpr Millis kMaxLongRunningIsolationWait{ 2'000 };
/// A unit that has run for this time is a less likely cause of a crash than one that has just
/// started.
constexpr Millis kStartupTime{ 1'000 };
/// A long-running unit that has run for this time does not crash its minions.
constexpr Millis kStableRunTime{ 15'000 };
/// Longest time for which a run keeps other units off its minion.
constexpr Millis kMaxIsolationTime{ 3'000 };
/// Share of the minions that may be held for isolated units, as a divisor; at least one is.
constexpr std::size_t kMinionsPerHeld = 4;

/// Returns when the minion is expected to be empty.
TimePoint ExpectedEnd(const MinionState& aMinion)
{
  TimePoint end{};
  for (const auto& [name, run] : aMinion.m_runs) {
    end = std::max(end, run.m_orderedAt + run.m_expectedRunTime);
  }
  return end;
}

bool HasLongRunningRun(const MinionState& aMinion)
{
  return std::any_of(aMinion.m_runs.begin(), aMinion.m_runs.end(), [](const auto& aEntry) {
    return aEntry.second.m_isLongRunning;
  });
}

} // namespace

std::vector<CrashSuspect> PoolScheduler::SuspectsOn(const MinionState& aMinion,
                                                    const std::set<RunName>& aSurvivors) const
{
  std::vector<CrashSuspect> suspects;
  std::size_t recent = 0;
  for (const auto& [name, run] : aMinion.m_runs) {
    if (aSurvivors.contains({ name, run.m_run })) {
      continue;
    }
    UnitId unit = run.m_unit;
    unit.m_index = run.m_isGang ? 0 : unit.m_index; // A gang crashes as a whole.
    const bool isListed =
      std::any_of(suspects.begin(), suspects.end(), [&](const CrashSuspect& aOther) {
        return aOther.m_unit == unit;
      });
    if (!isListed) {
      // Without an answer to its start it may not have begun before the crash.
      const bool isAnswered = run.m_confirmedAt != TimePoint{} || !aMinion.HasOpenStart(run);
      const bool isRecent = isAnswered && run.m_orderedAt > aMinion.m_lastAnswerAt - kStartupTime;
      recent += isRecent ? 1 : 0;
      const Millis ranFor = std::chrono::duration_cast<Millis>(
        std::max(aMinion.m_lastAnswerAt - run.m_orderedAt, Micros(0)));
      suspects.push_back({ std::move(unit), run.m_run, false, !isRecent, ranFor });
    }
  }
  for (CrashSuspect& suspect : suspects) {
    suspect.m_isAlone = recent == 1 && !suspect.m_isUnlikely;
    suspect.m_isUnlikely = suspect.m_isUnlikely && recent > 0;
    suspect.m_likely = recent > 0 ? recent : suspects.size();
  }
  return suspects;
}

void PoolScheduler::RecordCrash(const MinionState& aMinion,
                                std::int64_t aRestartedAtMs,
                                const std::set<RunName>& aSurvivors,
                                TimePoint aNow)
{
  if (!aMinion.IsLeaving()) {
    m_crashHistory.OnRunsCrashed(
      aMinion.m_entry, SuspectsOn(aMinion, aSurvivors), aRestartedAtMs, aNow);
  }
}

void PoolScheduler::CountCrashes(TimePoint aNow)
{
  for (MinionCrash& crash : m_crashHistory.TakeSettled(aNow)) {
    CrashNotice notice;
    for (const CrashSuspect& suspect : crash.m_suspects) {
      const auto counts = CountCrash(crash, suspect, aNow);
      if (counts && IsDeadlyUnit(StepOf(suspect.m_unit), *counts)) {
        notice.m_deadlyUnits.push_back(suspect.m_unit.Text());
      } else if (counts && NeedsIsolation(*counts, {})) {
        notice.m_isolatedUnits.push_back(suspect.m_unit.Text());
      }
      notice.m_counts.push_back(counts);
    }
    notice.m_crash = std::move(crash);
    m_orders.m_crashes.push_back(std::move(notice));
  }
}

std::optional<CrashCounts> PoolScheduler::CountCrash(const MinionCrash& aCrash,
                                                     const CrashSuspect& aSuspect,
                                                     TimePoint aNow)
{
  Job* job = nullptr;
  Unit* unit = FindUnit(aSuspect.m_unit, &job);
  if (!unit || unit->m_isDone || job->HasEnded() || aSuspect.m_run <= unit->m_lastCrashedRun) {
    return std::nullopt;
  }
  unit->m_lastCrashedRun = aSuspect.m_run;
  AddCrash(unit->m_crashes, aCrash, aSuspect);
  if (StepOf(aSuspect.m_unit).m_isLongRunning) {
    const int evidence = m_crashHistory.EvidenceOf(aCrash, aSuspect, m_minions.size(), aNow);
    unit->m_crashes.m_evidence = std::max(unit->m_crashes.m_evidence + evidence, 0);
  }
  job->m_hasCrashes = true;
  const CrashCounts counts = unit->m_crashes;
  MarkUnsaved(*job);
  if (NeedsIsolation(counts, {})) {
    // As with failures: a count that is lost in a takeover would allow one start too many.
    unit->m_failedRevision = job->m_revision;
  }
  if (IsDeadlyUnit(StepOf(aSuspect.m_unit), counts)) {
    FailJobUnlessInUse(*job, aNow);
    for (const CrashSuspect& other : m_crashHistory.OnGivenUp(aSuspect.m_unit)) {
      ExplainCrash(other);
    }
  }
  return counts;
}

void PoolScheduler::ExplainCrash(const CrashSuspect& aSuspect)
{
  Job* job = nullptr;
  Unit* unit = FindUnit(aSuspect.m_unit, &job);
  if (unit && unit->m_crashes.m_explained + unit->m_crashes.m_alone < unit->m_crashes.m_all) {
    ++unit->m_crashes.m_explained;
    MarkUnsaved(*job);
  }
}

bool PoolScheduler::IsDeadlyUnit(const StepSpec& aStep, const CrashCounts& aCounts)
{
  return aStep.m_isLongRunning ? IsDeadlyLongRunning(aCounts) : IsDeadly(aCounts);
}

bool PoolScheduler::IsGivenUp(const QueuedStep& aQueued, std::uint32_t aIndex)
{
  const StepSpec& spec = aQueued.Spec();
  const Unit& unit = aQueued.State().m_units[spec.m_isGang ? 0 : aIndex];
  const std::uint32_t maxAttempts = aQueued.m_job->m_record.m_queuePolicy.m_maxAttempts;
  const bool hasFailedTooOften =
    !spec.m_isLongRunning && unit.m_failures > 0 && unit.m_failures >= maxAttempts;
  return hasFailedTooOften || (unit.m_crashes.m_all > 0 && IsDeadlyUnit(spec, unit.m_crashes));
}

bool PoolScheduler::IsWaiting(const QueuedStep& aQueued, std::uint32_t aIndex)
{
  const Unit& unit = aQueued.State().m_units[aIndex];
  return !unit.m_isDone && unit.m_minions.empty() && !IsGivenUp(aQueued, aIndex);
}

UnitId PoolScheduler::CountedUnit(const Job& aJob, const UnitId& aId)
{
  UnitId counted = aId;
  counted.m_index = aJob.m_record.m_spec.m_steps[aId.m_step].m_isGang ? 0 : aId.m_index;
  return counted;
}

UnresolvedLosses PoolScheduler::LossesOf(const UnitId& aCounted) const
{
  const UnresolvedByJob& unresolved = m_crashHistory.Unresolved();
  const auto ofJob = unresolved.find(aCounted.m_job);
  if (ofJob == unresolved.end()) {
    return {};
  }
  const auto ofUnit =
    ofJob->second.find({ aCounted.m_occurrence, aCounted.m_step, aCounted.m_index });
  return ofUnit == ofJob->second.end() ? UnresolvedLosses{} : ofUnit->second;
}

const CrashCounts& PoolScheduler::CrashesOf(const Job& aJob, const UnitId& aCounted) const
{
  const Occurrence& occurrence = aJob.m_occurrences.at(aCounted.m_occurrence);
  return occurrence.m_steps[aCounted.m_step].m_units[aCounted.m_index].m_crashes;
}

bool PoolScheduler::IsSuspect(const Job& aJob, const UnitId& aId) const
{
  if (!aJob.m_hasCrashes && !m_crashHistory.Unresolved().contains(aJob.m_record.m_id)) {
    return false;
  }
  const UnitId counted = CountedUnit(aJob, aId);
  const CrashCounts& crashes = CrashesOf(aJob, counted);
  const UnresolvedLosses losses = LossesOf(counted);
  return crashes.m_all + losses.m_all > crashes.m_explained + losses.m_explained;
}

bool PoolScheduler::MustIsolate(const Job& aJob, const UnitId& aId) const
{
  if (!aJob.m_hasCrashes && !m_crashHistory.Unresolved().contains(aJob.m_record.m_id)) {
    return false;
  }
  const UnitId counted = CountedUnit(aJob, aId);
  return NeedsIsolation(CrashesOf(aJob, counted), LossesOf(counted));
}

std::uint32_t PoolScheduler::CrashesOfIsolatedUnit(const QueuedStep& aQueued) const
{
  const Job& job = *aQueued.m_job;
  if (!job.m_hasCrashes && !m_crashHistory.Unresolved().contains(job.m_record.m_id)) {
    return 0;
  }
  std::uint32_t most = 0;
  const std::vector<Unit>& units = aQueued.State().m_units;
  for (std::uint32_t i = 0; i < units.size(); ++i) {
    const UnitId id{ job.m_record.m_id, aQueued.m_occurrence, aQueued.m_step, i };
    if (IsWaiting(aQueued, i) && MustIsolate(job, id)) {
      const UnitId counted = CountedUnit(job, id);
      most = std::max(most, CrashesOf(job, counted).m_all + LossesOf(counted).m_all);
    }
  }
  return most;
}

bool PoolScheduler::ApplyCrashes(PlacementRequest& aRequest,
                                 const QueuedStep& aQueued,
                                 std::uint32_t aIndex,
                                 TimePoint aNow)
{
  aRequest.m_isIsolated = false;
  aRequest.m_ignoresIsolation = false;
  aRequest.m_ignoresHold = false;
  aRequest.m_isSuspect = false;
  const Job& job = *aQueued.m_job;
  if (!job.m_hasCrashes && !m_crashHistory.Unresolved().contains(job.m_record.m_id)) {
    return true;
  }
  const UnitId id{ job.m_record.m_id, aQueued.m_occurrence, aQueued.m_step, aIndex };
  const UnitId counted = CountedUnit(job, id);
  const CrashCounts& crashes = CrashesOf(job, counted);
  const UnresolvedLosses losses = LossesOf(counted);
  aRequest.m_isSuspect = IsSuspect(job, counted);
  if (!NeedsIsolation(crashes, losses)) {
    return true;
  }
  if (MustWaitForLosses(crashes, losses, aNow)) {
    return false;
  }
  TimePoint& soughtAt = aQueued.State().m_units[aIndex].m_isolationSoughtAt;
  soughtAt = soughtAt == TimePoint{} ? aNow : soughtAt;
  const bool isLongRunning = aQueued.Spec().m_isLongRunning;
  aRequest.m_isIsolated =
    aNow - soughtAt <= (isLongRunning ? kMaxLongRunningIsolationWait : kMaxIsolationWait);
  aRequest.m_isSuspect = true;
  aRequest.m_ignoresHold = !aRequest.m_isIsolated;
  aRequest.m_ignoresIsolation = !aRequest.m_isIsolated && isLongRunning;
  return true;
}

void PoolScheduler::HoldMinionsForIsolation(TimePoint aNow)
{
  for (auto& [id, minion] : m_minions) {
    if (minion.m_isolatedRuns > 0) {
      EndIsolation(minion, aNow);
    }
  }
  std::vector<std::pair<std::uint32_t, const QueuedStep*>> isolated;
  for (const QueuedStep& queued : m_queued) {
    if (const std::uint32_t crashes = CrashesOfIsolatedUnit(queued); crashes > 0) {
      isolated.emplace_back(crashes, &queued);
    }
  }
  // Those with the most crashes first: they have the fewest starts left.
  std::stable_sort(isolated.begin(), isolated.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  isolated.resize(
    std::min(isolated.size(), std::max<std::size_t>(1, m_minions.size() / kMinionsPerHeld)));
  std::set<std::string> jobs;
  for (const auto& [crashes, queued] : isolated) {
    jobs.insert(queued->m_job->m_record.m_id);
  }
  for (auto& [id, minion] : m_minions) {
    if (!jobs.contains(minion.m_heldForJob) || !AcceptsWork(minion, aNow)) {
      minion.m_heldForJob.clear();
    } else {
      jobs.erase(minion.m_heldForJob);
    }
  }
  for (const auto& [crashes, queued] : isolated) {
    if (!jobs.contains(queued->m_job->m_record.m_id)) {
      continue;
    }
    const PlacementRequest request = RequestFor(*queued);
    MinionState* best = nullptr;
    for (auto& [id, minion] : m_minions) {
      // The minion's runs need not leave room for the unit: it starts when they have ended.
      const bool canHold = minion.m_heldForJob.empty() && minion.m_isolatedRuns == 0 &&
                           AcceptsWork(minion, aNow) && IsEligible(minion, request, aNow) &&
                           !HasLongRunningRun(minion);
      if (canHold && (!best || ExpectedEnd(minion) < ExpectedEnd(*best))) {
        best = &minion;
      }
    }
    if (best) {
      best->m_heldForJob = queued->m_job->m_record.m_id;
    }
  }
}

void PoolScheduler::EndIsolation(MinionState& aMinion, TimePoint aNow)
{
  for (auto& [name, run] : aMinion.m_runs) {
    const bool isOver = run.m_isIsolated && run.m_confirmedAt != TimePoint{} &&
                        aNow - run.m_confirmedAt > kMaxIsolationTime;
    if (isOver) {
      run.m_isIsolated = false;
      --aMinion.m_isolatedRuns;
    }
  }
}

void PoolScheduler::ForgetCrashesIfStable(Job& aJob,
                                          const UnitId& aId,
                                          const Run& aRun,
                                          TimePoint aNow)
{
  Job* job = nullptr;
  Unit* unit = FindUnit(CountedUnit(aJob, aId), &job);
  if (unit && unit->m_crashes != CrashCounts{} && aNow - aRun.m_confirmedAt > kStableRunTime) {
    unit->m_crashes = {};
    MarkUnsaved(aJob);
  }
}

} // namespace mustardtray::job
