#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Decisions of the scheduler: which unit starts where, and which runs are stopped or slowed.

namespace mustardtray::job {

namespace {

/// Minions in a request to the advisor, which takes time for each.
constexpr std::size_t kMaxMinionsPerRequest = 30;
constexpr double kLongRunningRank = -1e15;
constexpr double kRankPerPriority = 1e9; ///< In milliseconds; longer than any job.
constexpr double kLateRankPenalty = 1e13;

double ToMs(TimePoint aTime)
{
  return static_cast<double>(aTime.time_since_epoch().count()) / 1'000.0;
}

/// Whether the unit's latest failure has not been stored yet.
bool IsFailureUnsaved(const Job& aJob, const Unit& aUnit)
{
  return aUnit.m_failedRevision > aJob.m_savedRevision;
}

std::string StepPrefix(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aStep)
{
  std::string prefix = UnitId{ aJob, aOccurrence, aStep, 0 }.Text();
  prefix.pop_back();
  return prefix;
}

} // namespace

TimePoint PoolScheduler::LatestStart(const Job& aJob,
                                     std::uint32_t aOccurrence,
                                     std::uint32_t aStep) const
{
  const QueuePolicy& queuePolicy = aJob.m_record.m_queuePolicy;
  const CorrectedPaths& paths = PathsOf(aJob);
  const bool isScheduled = aJob.m_record.m_spec.m_repeatCount > 0;
  const Millis objective =
    Scaled(paths.m_critical, queuePolicy.m_stretch) + queuePolicy.m_extraTime;
  const TimePoint begin =
    isScheduled ? aJob.m_occurrences.at(aOccurrence).m_dueAt : aJob.m_arrivedAt;
  return begin + objective - paths.m_pathFrom[aStep];
}

double PoolScheduler::Rank(const Job& aJob,
                           std::uint32_t aOccurrence,
                           std::uint32_t aStep,
                           TimePoint aNow) const
{
  const QueuePolicy& queuePolicy = aJob.m_record.m_queuePolicy;
  if (aJob.m_record.m_spec.m_steps[aStep].m_isLongRunning) {
    return kLongRunningRank;
  }
  const TimePoint latestStart = LatestStart(aJob, aOccurrence, aStep);
  double rank = ToMs(latestStart) + kRankPerPriority * queuePolicy.m_priority;
  if (aJob.m_isLate || aNow > latestStart + kLateTolerance) {
    rank += kLateRankPenalty;
  }
  return rank;
}

std::uint32_t PoolScheduler::NextRun(const Job& aJob, const Unit& aUnit) const
{
  const std::uint32_t epochs =
    aJob.m_record.m_formerEpochs + m_epoch - std::min(m_epoch, aJob.m_record.m_epoch);
  const std::uint32_t first = epochs * kRunsPerEpoch;
  return std::max(aUnit.m_lastRun, first) + 1;
}

void PoolScheduler::Decide(TimePoint aNow, WallTime aWallNow)
{
  const std::vector<Job*> scheduledJobs(m_scheduledJobs.begin(), m_scheduledJobs.end());
  for (Job* job : scheduledJobs) {
    if (!job->m_isHeld) {
      BeginDueOccurrences(*job, aNow, aWallNow);
    }
  }
  ExpireLeases(aNow);
  CountCrashes(aNow);
  ResendStops(aNow);
  LapseCordons(aNow);
  PlaceQueued(aNow);
  ThrottleBestEffortRuns(aNow);
}

void PoolScheduler::PlaceQueued(TimePoint aNow)
{
  const bool isRecovering = IsRecovering(aNow);
  for (QueuedStep& queued : m_queued) {
    queued.m_rank = Rank(*queued.m_job, queued.m_occurrence, queued.m_step, aNow);
  }
  std::stable_sort(
    m_queued.begin(), m_queued.end(), [](const QueuedStep& aLeft, const QueuedStep& aRight) {
      return aLeft.m_rank < aRight.m_rank;
    });
  OrderByShares(aNow);
  HoldMinionsForIsolation(aNow);
  CollectBindings(aNow);
  if (m_allowances.HasLimits() && !m_queued.empty()) {
    CountAccountUse(aNow);
  }
  std::vector<QueuedStep> remaining;
  std::vector<Resources> unplaceable;
  std::optional<std::vector<PlaceClaim>> claims;
  m_localMinions.clear();
  m_waitingForRack.clear();
  bool hasUnplaced = false;
  for (QueuedStep& queued : m_queued) {
    if (!claims && !queued.Spec().m_isLongRunning) {
      // Other units must not take the places of those that are being stopped.
      claims = DrainLeaving(aNow);
      PlaceOnCordoned(remaining, isRecovering, aNow);
    }
    // A step that needs at least as much as one that did not fit cannot be placed either.
    const StepSpec& spec = queued.Spec();
    const Resources need = spec.Reserved();
    const bool hasIsolatedUnit = CrashesOfIsolatedUnit(queued) > 0;
    const bool isUnplaceable =
      !hasIsolatedUnit && std::any_of(unplaceable.begin(),
                                      unplaceable.end(),
                                      [&](const Resources& aTried) { return need.Fits(aTried); });
    if (isUnplaceable) {
      remaining.push_back(queued);
      hasUnplaced = true;
      continue;
    }
    // Units of inherited jobs may still run on a minion that has not answered yet.
    const bool isBlocked = queued.m_job->m_isHeld ||
                           (isRecovering && queued.m_job->m_isInherited) ||
                           WaitsForOtherShards(queued, aNow);
    const bool isPlaced =
      !isBlocked && (spec.m_isGang ? PlaceGang(queued, aNow) : PlaceUnits(queued, false, aNow));
    if (isPlaced) {
      queued.State().m_isQueued = false;
    } else {
      remaining.push_back(queued);
      const bool needsAdvice = queued.m_job->m_record.m_queuePolicy.m_needsAdvice;
      if (needsAdvice && !isBlocked) {
        AskAdvice(queued, aNow);
      }
      const bool isUnconstrained =
        !isBlocked && !needsAdvice && !spec.m_isGang && spec.m_requiredLabel.empty() &&
        spec.m_maxPerMinion == 0 && !hasIsolatedUnit && !HasUnsavedFailure(queued) &&
        !HasBoundUnit(queued, aNow) && !WaitsForAllowance(queued) && !OnlyWaitsForRack(queued);
      if (isUnconstrained) {
        unplaceable.push_back(need);
      }
      const bool lacksRoom = !isBlocked && !needsAdvice && !HasUnsavedFailure(queued) &&
                             !HasBoundUnit(queued, aNow) && !WaitsForAllowance(queued) &&
                             !OnlyWaitsForRack(queued);
      hasUnplaced = hasUnplaced || lacksRoom;
      m_hasUnplaced = m_hasUnplaced || lacksRoom;
    }
  }
  if (!claims) {
    claims = DrainLeaving(aNow);
    PlaceOnCordoned(remaining, isRecovering, aNow);
  }
  for (const PlaceClaim& claim : *claims) {
    claim.m_minion->m_used -= claim.m_reserved;
  }
  m_queued = std::move(remaining);
  m_hasUnplaced = hasUnplaced;
}

PlacementRequest PoolScheduler::RequestFor(const QueuedStep& aQueued) const
{
  const JobRecord& record = aQueued.m_job->m_record;
  PlacementRequest request;
  request.m_step = &aQueued.Spec();
  request.m_job = &record.m_id;
  request.m_unitPrefix = StepPrefix(record.m_id, aQueued.m_occurrence, aQueued.m_step);
  request.m_advice = record.m_queuePolicy.m_needsAdvice ? &m_advice : nullptr;
  return request;
}

void PoolScheduler::AskAdvice(const QueuedStep& aQueued, TimePoint aNow)
{
  const StepSpec& spec = aQueued.Spec();
  // Asks about twice as many minions as the step has units, because some may not be allowed.
  const std::size_t maxMinions =
    std::min<std::size_t>(kMaxMinionsPerRequest, 2 * std::size_t{ spec.m_count });
  const std::string step =
    StepName(StepPrefix(aQueued.m_job->m_record.m_id, aQueued.m_occurrence, aQueued.m_step));
  AdviceRequest adviceRequest =
    m_advice.BeginRequest(step, AdviceCandidates(m_minions, spec, aNow), maxMinions, aNow);
  if (!adviceRequest.m_minions.empty()) {
    m_orders.m_adviceRequests.push_back(std::move(adviceRequest));
  }
}

void PoolScheduler::OnAdvice(const AdviceRequest& aRequest,
                             const Advice& aAdvice,
                             TimePoint aAskedAt)
{
  m_advice.OnResponse(aRequest, aAdvice, aAskedAt);
}

void PoolScheduler::OnAdviceFailed(const AdviceRequest& aRequest, TimePoint aNow)
{
  m_advice.OnRequestFailed(aRequest, aNow);
}

bool PoolScheduler::HasUnsavedFailure(const QueuedStep& aQueued) const
{
  const std::vector<Unit>& units = aQueued.State().m_units;
  return std::any_of(units.begin(), units.end(), [&](const Unit& aUnit) {
    return IsFailureUnsaved(*aQueued.m_job, aUnit);
  });
}

bool PoolScheduler::PlaceUnits(QueuedStep& aQueued, bool aMayUseCordoned, TimePoint aNow)
{
  Job& job = *aQueued.m_job;
  StepState& step = aQueued.State();
  PlacementRequest request = RequestFor(aQueued);
  request.m_mayUseCordoned = aMayUseCordoned;
  request.m_avoidedMinion = aMayUseCordoned ? FirstToDrain() : nullptr;
  const bool hasIsolatedUnit = CrashesOfIsolatedUnit(aQueued) > 0;
  bool isFull = false; // No minion accepts a unit that may share it.
  bool isComplete = true;
  for (std::uint32_t i = 0; i < step.m_units.size(); ++i) {
    Unit& unit = step.m_units[i];
    if (!IsWaiting(aQueued, i)) {
      continue;
    }
    if (IsFailureUnsaved(job, unit)) {
      // A failure that is not stored could be lost in a takeover and lead to one attempt too many.
      isComplete = false;
      continue;
    }
    if (!m_allowances.Permits(job.m_record.m_account, aQueued.Spec().m_need)) {
      return false;
    }
    const StartBinding binding = BindingOf(aQueued, i, aNow);
    if (binding.m_mustWait) {
      isComplete = false;
      continue;
    }
    request.m_onlyMinion = binding.m_minion;
    request.m_lastFailedMinion = unit.m_lastFailedOn.empty() ? nullptr : &unit.m_lastFailedOn;
    const bool canStart = ApplyCrashes(request, aQueued, i, aNow);
    if (!canStart || (isFull && !request.m_isIsolated)) {
      isComplete = false;
      continue;
    }
    MinionState* minion = ChooseMinion(m_minions, request, aNow);
    if (!minion && binding.m_minion) {
      isComplete = false;
      continue;
    }
    if (!minion && !hasIsolatedUnit) {
      return false;
    }
    if (!minion) {
      isFull = isFull || !request.m_isIsolated;
      isComplete = false;
      continue;
    }
    if (WaitsForRack(aQueued, i, request, *minion, aNow)) {
      isComplete = false;
      continue;
    }
    StartUnit(aQueued, i, *minion, NextRun(job, unit), aNow);
  }
  return isComplete;
}

bool PoolScheduler::PlaceGang(QueuedStep& aQueued, TimePoint aNow)
{
  Job& job = *aQueued.m_job;
  const StepSpec& spec = aQueued.Spec();
  StepState& step = aQueued.State();
  if (step.IsDone() || IsGivenUp(aQueued, 0)) {
    return true;
  }
  PlacementRequest request = RequestFor(aQueued);
  if (!m_allowances.Permits(job.m_record.m_account, spec.TotalNeed(true)) ||
      !ApplyCrashes(request, aQueued, 0, aNow)) {
    return false;
  }
  std::uint32_t run = 0;
  std::string checkpoint;
  for (Unit& unit : step.m_units) {
    if (!unit.m_minions.empty() || IsFailureUnsaved(job, unit)) {
      return false; // A member of the previous run has not ended, or a failure is not stored.
    }
    run = std::max(run, NextRun(job, unit));
    checkpoint = unit.m_checkpoint.empty() ? checkpoint : unit.m_checkpoint;
  }
  // Capacity is reserved for all members before the first order, so that no member waits for
  // another.
  std::vector<MinionState*> chosenMinions(step.m_units.size(), nullptr);
  bool isComplete = true;
  // Members that can start on one minion alone come first.
  for (const bool isBoundTurn : { true, false }) {
    for (std::uint32_t i = 0; isComplete && i < step.m_units.size(); ++i) {
      const StartBinding binding = BindingOf(aQueued, i, aNow);
      if ((binding.m_minion != nullptr) != isBoundTurn) {
        continue;
      }
      request.m_onlyMinion = binding.m_minion;
      chosenMinions[i] = binding.m_mustWait ? nullptr : ChooseMinion(m_minions, request, aNow);
      isComplete = chosenMinions[i] != nullptr;
      if (isComplete) {
        chosenMinions[i]->m_used += spec.Reserved();
      }
    }
  }
  for (MinionState* minion : chosenMinions) {
    if (minion) {
      minion->m_used -= spec.Reserved();
    }
  }
  if (!isComplete) {
    return false;
  }
  for (std::uint32_t i = 0; i < step.m_units.size(); ++i) {
    step.m_units[i].m_checkpoint = checkpoint;
    StartUnit(aQueued, i, *chosenMinions[i], run, aNow);
  }
  return true;
}

void PoolScheduler::StartUnit(QueuedStep& aQueued,
                              std::uint32_t aIndex,
                              MinionState& aMinion,
                              std::uint32_t aRun,
                              TimePoint aNow)
{
  Job& job = *aQueued.m_job;
  const StepSpec& spec = aQueued.Spec();
  Unit& unit = aQueued.State().m_units[aIndex];
  const UnitId id{ job.m_record.m_id, aQueued.m_occurrence, aQueued.m_step, aIndex };
  const std::string name = id.Text();
  m_allowances.OnStart(job.m_record.m_account, spec.m_need);
  Run newRun = MakeRun(id, aRun, &spec, aNow);
  newRun.m_isSuspect = IsSuspect(job, id);
  newRun.m_isIsolated = MustIsolate(job, id);
  unit.m_isolationSoughtAt = {};
  Run& run = AddRun(aMinion, &unit, name, std::move(newRun));
  run.m_expectedRunTime =
    Scaled(spec.m_estimate, m_runTimeCorrection.Factor(RunTimeKeyOf(job, id, aMinion)));
  for (const std::string& label : aMinion.m_entry.m_labels) {
    m_localMinions.erase(label);
  }
  std::string ticket;
  if (job.m_record.m_queuePolicy.m_needsAdvice) {
    const std::string* known = m_advice.FindTicket(StepName(name), aMinion.m_entry.m_id, aNow);
    ticket = known ? *known : std::string{};
  }
  aMinion.m_openStarts[{ name, aRun }] = { aNow, {}, false, aMinion.m_fencingToken };
  m_orders.m_starts.push_back({ aMinion.m_entry.m_id,
                                name,
                                aRun,
                                job.m_record.m_spec.m_payload,
                                unit.m_checkpoint,
                                std::move(ticket) });
  aMinion.m_trialAt = aNow + kTrialPeriod;
}

void PoolScheduler::ThrottleBestEffortRuns(TimePoint aNow)
{
  // The gauge is an average over half a second, so a change does not show earlier.
  constexpr Millis kThrottleInterval{ 600 };
  constexpr double kHighTail = 0.85; // Share of the target, below 1 to react before it is missed.
  constexpr double kLowTail = 0.6;
  constexpr int kSpeedStepPercent = 20;
  for (auto& [id, minion] : m_minions) {
    double worst = 0;
    bool hasBestEffortRun = false;
    for (const auto& [name, run] : minion.m_runs) {
      if (run.m_tailLatencyTarget.count() > 0 && run.m_phase == RunPhase::Running) {
        worst = std::max(worst, run.m_gauge / static_cast<double>(run.m_tailLatencyTarget.count()));
      }
      hasBestEffortRun = hasBestEffortRun || run.m_isBestEffort;
    }
    if (!hasBestEffortRun) {
      continue;
    }
    for (auto& [name, run] : minion.m_runs) {
      if (!run.m_isBestEffort || run.m_phase != RunPhase::Running ||
          aNow - run.m_throttledAt < kThrottleInterval) {
        continue;
      }
      int speedPercent = run.m_speedPercent;
      if (worst > kHighTail) {
        speedPercent = worst > 1.0 ? run.m_speedPercent / 3 : run.m_speedPercent / 2;
      } else if (worst < kLowTail) {
        speedPercent = std::min(100, run.m_speedPercent + kSpeedStepPercent);
      }
      if (speedPercent != run.m_speedPercent) {
        run.m_speedPercent = speedPercent;
        run.m_throttledAt = aNow;
        m_orders.m_throttles.push_back({ id, name, run.m_run, speedPercent });
      }
    }
  }
}

PoolOrders PoolScheduler::TakeOrders()
{
  PoolOrders orders = std::move(m_orders);
  m_orders = {};
  orders.m_unsavedJobs = TakeUnsavedJobs();
  return orders;
}

std::vector<std::string> PoolScheduler::TakeUnsavedJobs()
{
  std::vector<std::string> jobs(m_unsaved.begin(), m_unsaved.end());
  m_unsaved.clear();
  return jobs;
}

void PoolScheduler::OnRefused(const JobRecord& aRecord, TimePoint aNow)
{
  Job job;
  job.m_record = aRecord;
  job.m_occurrences.emplace(0, MakeOccurrence(aRecord.m_spec, aNow));
  m_refusedDemand.emplace_back(aNow, UsableCores(job));
  while (aNow - m_refusedDemand.front().first > kRefusedDemandTime) {
    m_refusedDemand.pop_front();
  }
}

void PoolScheduler::OnFirstAttempt(const JobRecord& aRecord, TimePoint aNow)
{
  m_accountRates.OnArrival(aRecord.m_account, aNow);
  if (!aRecord.m_spec.IsLongRunning() && aRecord.m_spec.m_repeatCount == 0) {
    m_arrivals.Add(aNow, m_runTimeCorrection.Work(aRecord.m_queuePolicy.m_queue, aRecord.m_spec));
  }
}

} // namespace mustardtray::job
