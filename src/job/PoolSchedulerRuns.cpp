#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Runs in the scheduler: processing of answers and reported runs.

namespace mustardtray::job {

namespace {

/// Time after which a suspicious minion gets one unit, to check whether it works again.
constexpr Millis kProbeDelay{ 1'500 };
/// Pause for a minion that refused an order, until its report and the owner's view agree again.
constexpr Millis kRefusalPause{ 250 };
/// Longest time from a decision to the answer to its order: for a connection, and for the order.
constexpr Millis kMaxAnswerTime{ 1'000 };
} // namespace

void PoolScheduler::OnStartAnswer(const StartOrder& aOrder, OrderResult aResult, TimePoint aNow)
{
  const auto id = UnitId::Parse(aOrder.m_unit);
  Job* job = nullptr;
  if (aResult == OrderResult::Started && id && FindUnit(*id, &job)) {
    MarkStarted(*job);
  }
  const auto found = m_minions.find(aOrder.m_minion);
  if (found == m_minions.end()) {
    return;
  }
  MinionState& minion = found->second;
  const auto entry = minion.m_runs.find(aOrder.m_unit);
  const bool isKnown = entry != minion.m_runs.end() && entry->second.m_run == aOrder.m_run;
  const auto open = minion.m_openStarts.find({ aOrder.m_unit, aOrder.m_run });
  const bool isOpen = aResult == OrderResult::NoAnswer || aResult == OrderResult::StartedUnlisted;
  if (isOpen && open != minion.m_openStarts.end()) {
    open->second.m_isUnanswered = true;
  } else if (!isOpen && open != minion.m_openStarts.end()) {
    minion.m_openStarts.erase(open);
  }
  if (aResult != OrderResult::NoAnswer && aResult != OrderResult::NotSent) {
    minion.m_missedCalls = 0;
  }
  if (!isKnown) {
    return;
  }
  Run& run = entry->second;
  switch (aResult) {
    case OrderResult::Started:
      if (run.m_phase == RunPhase::Starting) {
        run.m_phase = RunPhase::Running;
        run.m_confirmedAt = aNow;
      }
      return;
    case OrderResult::NoAnswer:
      ++minion.m_missedCalls;
      if (run.m_phase == RunPhase::Starting) {
        RevokeStart(minion, run, aNow);
      }
      return;
    case OrderResult::StartedUnlisted:
      run.m_phase = run.m_phase == RunPhase::Starting ? RunPhase::Running : run.m_phase;
      run.m_confirmedAt = aNow;
      return; // The next list shows whether the run goes on.
    case OrderResult::NoCapacity:
    case OrderResult::Late:
    case OrderResult::NotSent:
      minion.m_pausedUntil = aNow + kRefusalPause;
      break;
    case OrderResult::NoTicket:
      m_advice.DropTicket(StepName(aOrder.m_unit), aOrder.m_minion);
      break;
    case OrderResult::Unhealthy:
    case OrderResult::Rejected:
      ++minion.m_consecutiveFailures;
      minion.m_probeAt = aNow + kProbeDelay;
      minion.m_pausedUntil = aNow + kRefusalPause;
      break;
    case OrderResult::Fenced:
    case OrderResult::OtherIncarnation:
      minion.m_isFenced = false;
      break;
    case OrderResult::Outdated:
      // The HTTP client may have sent the order twice, so the first copy may have been carried out.
      // The next report shows whether the run has ended.
      run.m_phase = RunPhase::Stopping;
      run.m_isStopConfirmed = true;
      run.m_confirmedAt = aNow;
      return;
  }
  if (run.m_phase != RunPhase::Running) {
    DropRun(minion, aOrder.m_unit, aNow);
  }
}

void PoolScheduler::OnStopAnswer(const StopOrder& aOrder, OrderResult aResult, TimePoint aNow)
{
  const auto found = m_minions.find(aOrder.m_minion);
  if (found == m_minions.end() || aResult != OrderResult::Started ||
      aOrder.m_minionStartMs != found->second.m_entry.m_startedAtMs) {
    return; // A later incarnation of the minion does not know of the stop.
  }
  MinionState& minion = found->second;
  const auto openStart = minion.m_openStarts.find({ aOrder.m_unit, aOrder.m_run });
  if (openStart != minion.m_openStarts.end()) {
    openStart->second.m_isRevoked = true;
  }
  const auto entry = minion.m_runs.find(aOrder.m_unit);
  if (entry != minion.m_runs.end() && entry->second.m_run == aOrder.m_run) {
    minion.m_missedCalls = 0;
    entry->second.m_isStopConfirmed = true;
    entry->second.m_confirmedAt = aNow;
  }
}

void PoolScheduler::OnLeaseReport(const std::string& aMinion,
                                  const LeaseReport& aReport,
                                  TimePoint aAskedAt,
                                  TimePoint aNow)
{
  const auto found = m_minions.find(aMinion);
  if (found == m_minions.end()) {
    return;
  }
  MinionState& minion = found->second;
  // The start time of a later incarnation is lower when the machine's clock has been set back.
  const std::int64_t knownStartMs = minion.m_entry.m_startedAtMs;
  if (aReport.m_startedAtMs != 0 && aReport.m_startedAtMs != knownStartMs) {
    if (knownStartMs != 0) {
      // The new incarnation may have carried out starts that were answered after this call.
      for (const auto& [name, run] : minion.m_runs) {
        if (run.m_confirmedAt >= aAskedAt) {
          minion.m_openStarts[{ name, run.m_run }] = {
            run.m_orderedAt, {}, false, minion.m_fencingToken, true
          };
        }
      }
      std::set<RunName> survivors;
      for (const ListedRun& row : aReport.m_running) {
        survivors.emplace(row.m_unit, row.m_run);
      }
      for (const ListedEnd& end : aReport.m_ended) {
        survivors.emplace(end.m_unit, end.m_run);
      }
      // A call of an earlier owner may have given the new incarnation a lease.
      const bool isInherited = minion.m_reportedStartMs == 0;
      ResetRestartedMinion(minion, aReport.m_startedAtMs, survivors, aNow);
      if (!survivors.empty()) {
        NoteLongestLease(minion, aNow);
      } else if (isInherited) {
        AssumeLongestLease(minion, aNow);
      }
    }
    minion.m_entry.m_startedAtMs = aReport.m_startedAtMs;
  }
  minion.m_reportedStartMs = aReport.m_startedAtMs;
  minion.m_isRegistered = minion.m_isRegistered && !minion.IsRegistrationOutdated();
  m_crashHistory.OnIncarnation({ minion.m_entry.m_machine, aMinion, aReport.m_startedAtMs }, aNow);
  m_crashHistory.OnAnswer(aMinion, aReport.m_startedAtMs);
  minion.m_lastAnswerAt = aNow;
  minion.m_missedCalls = 0;
  minion.m_areLossesCounted = false;
  RefuseFormerOrders(minion, aReport, aNow);
  minion.m_isFenced = aReport.m_isFencing;
  minion.m_fencingToken = aReport.m_fencingToken;
  minion.m_isReleased = minion.m_isReleased && minion.IsLeaving();
  minion.m_hasMoreEnds = aReport.m_hasMoreEnds;
  if (!aReport.m_hasMoreEnds) {
    m_awaited.erase(aMinion);
    minion.m_listAskedAt = aAskedAt;
  }
  for (const ListedEnd& end : aReport.m_ended) {
    if (end.m_number > minion.m_lastProcessedEnd) {
      minion.m_lastProcessedEnd = end.m_number;
      OnEnd(minion, end, aNow);
    }
  }
  ReconcileRuns(minion, aReport, aAskedAt, aNow);
}

void PoolScheduler::OnEndsAcknowledged(const std::string& aMinion, std::uint64_t aNumber)
{
  const auto found = m_minions.find(aMinion);
  if (found != m_minions.end()) {
    found->second.m_lastAcknowledgedEnd = std::max(found->second.m_lastAcknowledgedEnd, aNumber);
  }
}

void PoolScheduler::OnEnd(MinionState& aMinion, const ListedEnd& aEnd, TimePoint aNow)
{
  aMinion.m_openStarts.erase({ aEnd.m_unit, aEnd.m_run });
  const auto id = UnitId::Parse(aEnd.m_unit);
  if (!id) {
    return;
  }
  const auto entry = aMinion.m_runs.find(aEnd.m_unit);
  const bool isTracked = entry != aMinion.m_runs.end() && entry->second.m_run <= aEnd.m_run;
  Job* job = nullptr;
  Unit* unit = FindUnit(*id, &job);
  if (unit) {
    MarkStarted(*job);
    unit->m_lastRun = std::max(unit->m_lastRun, aEnd.m_run);
    if (!aEnd.m_checkpoint.empty()) {
      unit->m_checkpoint = aEnd.m_checkpoint;
    }
  }
  const StepSpec* spec = unit ? &job->m_record.m_spec.m_steps[id->m_step] : nullptr;
  if (aEnd.m_outcome == RunOutcome::Done) {
    aMinion.m_consecutiveFailures = 0;
    if (isTracked && spec && !spec->m_isLongRunning) {
      const Run& run = entry->second;
      if (run.m_confirmedAt != TimePoint{} && unit->m_checkpoint.empty()) {
        ObserveRunTime(aMinion, run, *job, aNow);
      }
    }
  }
  if (isTracked) {
    DropRun(aMinion, aEnd.m_unit, aNow);
    unit = FindUnit(*id, &job);
  }
  if (!unit || job->HasEnded()) {
    return;
  }
  if (aEnd.m_outcome == RunOutcome::Done && !spec->m_isLongRunning) {
    OnUnitDone(*job, *id, aNow);
  } else if (aEnd.m_outcome == RunOutcome::Failed) {
    OnUnitFailed(*job, *id, aEnd.m_run, aMinion.m_entry.m_id, aNow);
  } else if (!aEnd.m_checkpoint.empty()) {
    MarkUnsaved(*job);
  }
}

void PoolScheduler::OnUnitDone(Job& aJob, const UnitId& aId, TimePoint aNow)
{
  Occurrence& occurrence = aJob.m_occurrences.at(aId.m_occurrence);
  StepState& step = occurrence.m_steps[aId.m_step];
  if (aJob.m_record.m_spec.m_steps[aId.m_step].m_isGang) {
    // The members of a gang end together, so one end counts for all.
    for (Unit& unit : step.m_units) {
      unit.m_isDone = true;
    }
    step.m_doneCount = static_cast<std::uint32_t>(step.m_units.size());
  } else if (!step.m_units[aId.m_index].m_isDone) {
    step.m_units[aId.m_index].m_isDone = true;
    ++step.m_doneCount;
    // Stops the remaining copies of the unit.
    for (const std::string& minionId : step.m_units[aId.m_index].m_minions) {
      MinionState& minion = m_minions.at(minionId);
      StopRun(minion, minion.m_runs.at(aId.Text()), StopReason::UnitDone, aNow);
    }
  }
  MarkUnsaved(aJob);
  if (!step.IsDone()) {
    return;
  }
  m_advice.ForgetStep(StepName(aId.Text()));
  const bool isDone = std::all_of(occurrence.m_steps.begin(),
                                  occurrence.m_steps.end(),
                                  [](const StepState& aStep) { return aStep.IsDone(); });
  if (!isDone) {
    QueueReadySteps(aJob, aId.m_occurrence);
    return;
  }
  std::erase_if(m_queued, [&](const QueuedStep& aQueued) {
    return aQueued.m_job == &aJob && aQueued.m_occurrence == aId.m_occurrence;
  });
  aJob.m_occurrences.erase(aId.m_occurrence);
  if (aJob.m_occurrences.empty() && aJob.m_nextOccurrence >= aJob.m_record.m_spec.Occurrences()) {
    EndJob(aJob, JobState::Completed, aNow);
  }
}

void PoolScheduler::OnUnitFailed(Job& aJob,
                                 const UnitId& aId,
                                 std::uint32_t aRun,
                                 const std::string& aMinion,
                                 TimePoint aNow)
{
  StepState& step = aJob.m_occurrences.at(aId.m_occurrence).m_steps[aId.m_step];
  const StepSpec& spec = aJob.m_record.m_spec.m_steps[aId.m_step];
  // A gang fails as a whole, so its first unit holds the failure count.
  Unit& unit = step.m_units[spec.m_isGang ? 0 : aId.m_index];
  if (aRun <= unit.m_lastFailedRun) {
    return; // Already counted by an earlier owner whose acknowledgement did not reach the minion.
  }
  unit.m_lastFailedRun = aRun;
  ++unit.m_failures;
  unit.m_lastFailedOn = aMinion;
  MinionState& minion = m_minions.at(aMinion);
  if (minion.m_lastFailedJob != aId.m_job) {
    minion.m_lastFailedJob = aId.m_job;
    ++minion.m_consecutiveFailures;
    minion.m_probeAt = aNow + kProbeDelay;
  }
  MarkUnsaved(aJob);
  unit.m_failedRevision = aJob.m_revision;
  if (!spec.m_isLongRunning && unit.m_failures >= aJob.m_record.m_queuePolicy.m_maxAttempts) {
    FailJobUnlessInUse(aJob, aNow);
  }
}

void PoolScheduler::ReconcileRuns(MinionState& aMinion,
                                  const LeaseReport& aReport,
                                  TimePoint aAskedAt,
                                  TimePoint aNow)
{
  std::set<std::string_view> listed;
  std::set<RunName> formerOrders;
  for (const ListedRun& row : aReport.m_running) {
    listed.insert(row.m_unit);
    if (const auto open = aMinion.m_openStarts.find({ row.m_unit, row.m_run });
        open != aMinion.m_openStarts.end()) {
      const bool isFormer = open->second.m_fencingToken < aReport.m_fencingToken;
      if (isFormer || aNow - open->second.m_orderedAt > kMaxAnswerTime) {
        // Another incarnation than the one that the order was meant for may have carried it out.
        NoteLongestLease(aMinion, aNow);
        formerOrders.emplace(row.m_unit, row.m_run);
      }
      aMinion.m_openStarts.erase(open);
    }
    const auto id = UnitId::Parse(row.m_unit);
    if (!id) {
      continue;
    }
    Job* job = nullptr;
    Unit* unit = FindUnit(*id, &job);
    if (unit) {
      MarkStarted(*job);
    }
    if (!aMinion.m_runs.contains(row.m_unit)) {
      // This is a run of an earlier owner or of an order that was carried out late.
      const bool isWanted = unit && !unit->m_isDone && unit->m_minions.empty() && !job->HasEnded();
      // A run of a job that has ended uses its capacity until it has stopped.
      const bool hasSpec = job && id->m_step < job->m_record.m_spec.m_steps.size();
      const StepSpec* spec = hasSpec ? &job->m_record.m_spec.m_steps[id->m_step] : nullptr;
      Run run = MakeRun(*id, row.m_run, spec, aNow);
      run.m_isIsolated = unit && MustIsolate(*job, *id);
      Run& adopted = AddRun(aMinion, unit, row.m_unit, std::move(run));
      adopted.m_phase = RunPhase::Running;
      adopted.m_confirmedAt = aNow;
      // The run's lease is unknown, so the longest possible one is assumed.
      aMinion.m_leaseEnd = std::max(aMinion.m_leaseEnd, aNow + m_policy.m_maxRunLease);
      if (!isWanted) {
        StopRun(aMinion, adopted, StopReason::Unwanted, aNow);
      }
    }
    Run& run = aMinion.m_runs.at(row.m_unit);
    if (run.m_run != row.m_run) {
      continue;
    }
    run.m_isOfFormerOrder =
      run.m_isOfFormerOrder || formerOrders.contains({ row.m_unit, row.m_run });
    if (run.m_phase == RunPhase::Starting) {
      run.m_phase = RunPhase::Running;
      run.m_confirmedAt = aNow;
    }
    // A stop without an answer has not ended it, or the minion has only refused a late start.
    const bool isStopAnswered = run.m_isStopConfirmed && run.m_confirmedAt != TimePoint{};
    if (run.m_isLongRunning && run.m_phase == RunPhase::Stopping && !isStopAnswered &&
        run.m_stopReason == StopReason::StartUnanswered) {
      run.m_phase = RunPhase::Running;
      run.m_isStopConfirmed = false;
      run.m_confirmedAt = aNow;
    }
    run.m_percent = row.m_percent;
    run.m_gauge = row.m_gauge;
    if (unit && !row.m_checkpoint.empty()) {
      unit->m_checkpoint = row.m_checkpoint;
    }
    if (unit && run.m_isLongRunning && job->m_hasCrashes) {
      ForgetCrashesIfStable(*job, *id, run, aNow);
    }
  }
  if (aReport.m_hasMoreEnds) {
    return; // The ends of unlisted runs may be among those that are still to be listed.
  }
  std::vector<std::string> unlisted;
  for (auto& [name, run] : aMinion.m_runs) {
    run.m_isListed = listed.contains(name);
    const bool isSettled = run.m_phase == RunPhase::Running ||
                           (run.m_phase == RunPhase::Stopping && run.m_isStopConfirmed);
    if (isSettled && run.m_confirmedAt < aAskedAt && !listed.contains(name)) {
      unlisted.push_back(name);
    }
  }
  for (const std::string& name : unlisted) {
    DropRun(aMinion, name, aNow);
  }
}

Run& PoolScheduler::AddRun(MinionState& aMinion, Unit* aUnit, const std::string& aName, Run aRun)
{
  aMinion.m_used += aRun.m_reserved;
  aMinion.m_runsOfUnknownSize += aRun.m_isSizeUnknown ? 1 : 0;
  aMinion.m_isolatedRuns += aRun.m_isIsolated ? 1 : 0;
  if (aUnit) {
    aUnit->m_minions.push_back(aMinion.m_entry.m_id);
    aUnit->m_lastRun = std::max(aUnit->m_lastRun, aRun.m_run);
  }
  return aMinion.m_runs.emplace(aName, std::move(aRun)).first->second;
}

void PoolScheduler::DropRun(MinionState& aMinion, const std::string& aUnit, TimePoint aNow)
{
  const auto entry = aMinion.m_runs.find(aUnit);
  if (entry == aMinion.m_runs.end()) {
    return;
  }
  const UnitId id = entry->second.m_unit;
  aMinion.m_used -= entry->second.m_reserved;
  aMinion.m_runsOfUnknownSize -= entry->second.m_isSizeUnknown ? 1 : 0;
  aMinion.m_isolatedRuns -= entry->second.m_isIsolated ? 1 : 0;
  aMinion.m_runs.erase(entry);
  Job* job = nullptr;
  Unit* unit = FindUnit(id, &job);
  if (!unit) {
    return;
  }
  std::erase(unit->m_minions, aMinion.m_entry.m_id);
  if (!unit->m_isDone && unit->m_minions.empty()) {
    QueueStep(*job, id.m_occurrence, id.m_step);
  }
}

void PoolScheduler::DropAllRuns(MinionState& aMinion, TimePoint aNow)
{
  while (!aMinion.m_runs.empty()) {
    DropRun(aMinion, std::string(aMinion.m_runs.begin()->first), aNow);
  }
}

void PoolScheduler::DropEndedRuns(MinionState& aMinion,
                                  const std::function<bool(const Run&)>& aMustWait,
                                  const std::set<RunName>& aSurvivors,
                                  TimePoint aNow)
{
  std::vector<std::string> ended;
  for (auto& [name, run] : aMinion.m_runs) {
    if (run.m_phase != RunPhase::Stopping && aSurvivors.contains({ name, run.m_run })) {
      continue;
    }
    if (!aMinion.HasOpenStart(run) || !aMustWait(run)) {
      ended.push_back(name);
    } else if (run.m_phase != RunPhase::Stopping || run.m_isStopConfirmed) {
      run.m_isStopConfirmed = false;
      run.m_isListed = false;
      RevokeStart(aMinion, run, aNow);
    }
  }
  for (const std::string& name : ended) {
    DropRun(aMinion, name, aNow);
  }
}

void PoolScheduler::StopRun(MinionState& aMinion, Run& aRun, StopReason aReason, TimePoint aNow)
{
  const bool isRepeated = aRun.m_phase == RunPhase::Stopping;
  if (isRepeated && aRun.m_isStopConfirmed) {
    return;
  }
  std::optional<std::uint32_t> unavailable;
  if (aRun.m_isLongRunning) {
    unavailable = CountUnavailableOthers(aRun, nullptr, aNow);
  }
  aRun.m_stopReason = isRepeated ? aRun.m_stopReason : aReason;
  aRun.m_phase = RunPhase::Stopping;
  aRun.m_lastStopAt = aNow;
  m_orders.m_stops.push_back({ aMinion.m_entry.m_id,
                               aRun.m_unit.Text(),
                               aRun.m_run,
                               aRun.m_stopReason,
                               isRepeated,
                               aMinion.m_entry.m_startedAtMs,
                               unavailable });
}

void PoolScheduler::StopRunsOf(const Job& aJob, StopReason aReason, TimePoint aNow)
{
  const std::string prefix = aJob.m_record.m_id + ".";
  for (auto& [id, minion] : m_minions) {
    for (auto entry = minion.m_runs.lower_bound(prefix);
         entry != minion.m_runs.end() && entry->first.starts_with(prefix);
         ++entry) {
      StopRun(minion, entry->second, aReason, aNow);
    }
  }
}

} // namespace mustardtray::job
