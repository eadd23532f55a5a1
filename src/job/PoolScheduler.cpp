#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Decisions of the scheduler: which unit starts where, and which runs are stopped or slowed.

namespace mustardtray::job {

namespace {

/// How long a refused job counts as demand: its caller retries within about this time.
constexpr Millis kRefusalMemory{ 1'500 };
/// A minion that answered within this time is assumed to still run what it listed.
constexpr Millis kFreshReport{ 1'600 };
/// Time that units on a cordoned minion have to end by themselves before they are stopped.
constexpr Millis kCordonPatience{ 2'500 };
/// Minions in a request to the advisor, which takes time for each.
constexpr std::size_t kMostAdvised = 30;
constexpr double kLastingRank = -1e15;
constexpr double kPriorityRank = 1e9; ///< In milliseconds; longer than any job.
constexpr double kLateRank = 1e13;

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

double PoolScheduler::Rank(const Job& aJob,
                           std::uint32_t aOccurrence,
                           std::uint32_t aStep,
                           TimePoint aNow) const
{
  const QueueTerms& terms = aJob.m_record.m_terms;
  if (aJob.m_record.m_spec.m_steps[aStep].m_isLasting) {
    return kLastingRank;
  }
  const double factor = m_runTimes.Factor(terms.m_queue);
  const bool isTimed = aJob.m_record.m_spec.m_repeatCount > 0;
  const Millis objective = Scaled(aJob.m_chain, terms.m_stretch * factor) + terms.m_extraTime;
  const TimePoint begin = isTimed ? aJob.m_occurrences.at(aOccurrence).m_dueAt : aJob.m_arrivedAt;
  const TimePoint latestStart = begin + objective - Scaled(aJob.m_chainFrom[aStep], factor);
  double rank = ToMs(latestStart) + kPriorityRank * terms.m_priority;
  if (aJob.m_isLate || aNow > latestStart + kLateTolerance) {
    rank += kLateRank;
  }
  return rank;
}

std::uint32_t PoolScheduler::NextRun(const Job& aJob, const Unit& aUnit) const
{
  const std::uint32_t first = (m_epoch - std::min(m_epoch, aJob.m_record.m_epoch)) * kRunsPerEpoch;
  return std::max(aUnit.m_lastRun, first) + 1;
}

void PoolScheduler::Decide(TimePoint aNow, WallTime aWallNow)
{
  const std::vector<Job*> timed(m_timedJobs.begin(), m_timedJobs.end());
  for (Job* job : timed) {
    BeginDueOccurrences(*job, aNow, aWallNow);
  }
  ExpireLeases(aNow);
  RepeatStops(aNow);
  EvacuateCordoned(aNow);
  PlaceQueued(aNow);
  PaceFillers(aNow);
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
  std::vector<QueuedStep> left;
  std::vector<Resources> unplaceable;
  for (QueuedStep& queued : m_queued) {
    // A step that needs at least as much as one that did not fit cannot be placed either.
    const StepSpec& spec = queued.Spec();
    const Resources need = spec.Reserved();
    const bool isHopeless = std::any_of(unplaceable.begin(),
                                        unplaceable.end(),
                                        [&](const Resources& aTried) { return need.Fits(aTried); });
    if (isHopeless) {
      left.push_back(queued);
      continue;
    }
    // Units of inherited jobs may still run on a minion that has not answered yet.
    const bool isBlocked = isRecovering && queued.m_job->m_isInherited;
    const bool isPlaced =
      !isBlocked && (spec.m_isGang ? PlaceGang(queued, aNow) : PlaceUnits(queued, aNow));
    if (isPlaced) {
      queued.State().m_isQueued = false;
    } else {
      left.push_back(queued);
      const bool needsAdvice = queued.m_job->m_record.m_terms.m_needsAdvice;
      if (needsAdvice && !isBlocked) {
        AskAdvice(queued, aNow);
      }
      const bool isPlain = !isBlocked && !needsAdvice && !spec.m_isGang &&
                           spec.m_requiredLabel.empty() && spec.m_maxPerMinion == 0 &&
                           !HasUnsavedFailure(queued);
      if (isPlain) {
        unplaceable.push_back(need);
      }
    }
  }
  m_queued = std::move(left);
}

PlacementRequest PoolScheduler::RequestFor(const QueuedStep& aQueued) const
{
  const JobRecord& record = aQueued.m_job->m_record;
  PlacementRequest request;
  request.m_step = &aQueued.Spec();
  request.m_unitPrefix = StepPrefix(record.m_id, aQueued.m_occurrence, aQueued.m_step);
  request.m_advice = record.m_terms.m_needsAdvice ? &m_advice : nullptr;
  return request;
}

void PoolScheduler::AskAdvice(const QueuedStep& aQueued, TimePoint aNow)
{
  const StepSpec& spec = aQueued.Spec();
  // Asks about twice as many minions as the step has units, because some may not be allowed.
  const std::size_t most = std::min<std::size_t>(kMostAdvised, 2 * std::size_t{ spec.m_count });
  const std::string step =
    StepName(StepPrefix(aQueued.m_job->m_record.m_id, aQueued.m_occurrence, aQueued.m_step));
  AdviceQuestion question = m_advice.Ask(step, AdviceCandidates(m_minions, spec, aNow), most, aNow);
  if (!question.m_minions.empty()) {
    m_orders.m_questions.push_back(std::move(question));
  }
}

void PoolScheduler::OnAdvice(const AdviceQuestion& aQuestion,
                             const Advice& aAdvice,
                             TimePoint aAskedAt)
{
  m_advice.OnAnswer(aQuestion, aAdvice, aAskedAt);
}

void PoolScheduler::OnAdviceFailed(const AdviceQuestion& aQuestion, TimePoint aNow)
{
  m_advice.OnFailed(aQuestion, aNow);
}

bool PoolScheduler::HasUnsavedFailure(const QueuedStep& aQueued) const
{
  const std::vector<Unit>& units = aQueued.State().m_units;
  return std::any_of(units.begin(), units.end(), [&](const Unit& aUnit) {
    return IsFailureUnsaved(*aQueued.m_job, aUnit);
  });
}

bool PoolScheduler::PlaceUnits(QueuedStep& aQueued, TimePoint aNow)
{
  Job& job = *aQueued.m_job;
  StepState& step = aQueued.State();
  PlacementRequest request = RequestFor(aQueued);
  bool isComplete = true;
  for (std::uint32_t i = 0; i < step.m_units.size(); ++i) {
    Unit& unit = step.m_units[i];
    if (unit.m_isDone || !unit.m_minions.empty()) {
      continue;
    }
    if (IsFailureUnsaved(job, unit)) {
      // A failure that is not stored could be lost in a takeover and lead to one attempt too many.
      isComplete = false;
      continue;
    }
    request.m_avoid = unit.m_lastFailedOn.empty() ? nullptr : &unit.m_lastFailedOn;
    MinionState* minion = ChooseMinion(m_minions, request, aNow);
    if (!minion) {
      return false;
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
  if (step.IsDone()) {
    return true;
  }
  const PlacementRequest request = RequestFor(aQueued);
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
  std::vector<MinionState*> rooms;
  for (std::size_t i = 0; i < step.m_units.size(); ++i) {
    MinionState* minion = ChooseMinion(m_minions, request, aNow);
    if (!minion) {
      break;
    }
    minion->m_used += spec.Reserved();
    rooms.push_back(minion);
  }
  for (MinionState* minion : rooms) {
    minion->m_used -= spec.Reserved();
  }
  if (rooms.size() < step.m_units.size()) {
    return false;
  }
  for (std::uint32_t i = 0; i < step.m_units.size(); ++i) {
    step.m_units[i].m_checkpoint = checkpoint;
    StartUnit(aQueued, i, *rooms[i], run, aNow);
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
  Run& run = AddRun(aMinion, &unit, name, MakeRun(id, aRun, &spec, aNow));
  run.m_expected = Scaled(spec.m_estimate, m_runTimes.Factor(job.m_record.m_terms.m_queue));
  std::string ticket;
  if (job.m_record.m_terms.m_needsAdvice) {
    const std::string* known = m_advice.Ticket(StepName(name), aMinion.m_entry.m_id, aNow);
    ticket = known ? *known : std::string{};
  }
  m_orders.m_starts.push_back({ aMinion.m_entry.m_id,
                                name,
                                aRun,
                                job.m_record.m_spec.m_payload,
                                unit.m_checkpoint,
                                std::move(ticket) });
  OnFirstStart(job);
}

bool PoolScheduler::MayTakeAway(const Run& aRun, TimePoint aNow) const
{
  const auto found = m_jobs.find(aRun.m_unit.m_job);
  if (found == m_jobs.end()) {
    return true;
  }
  const Job& job = *found->second;
  const auto occurrence = job.m_occurrences.find(aRun.m_unit.m_occurrence);
  if (occurrence == job.m_occurrences.end()) {
    return true;
  }
  const StepSpec& spec = job.m_record.m_spec.m_steps[aRun.m_unit.m_step];
  // Without a configured limit, units are taken one at a time, so that the step keeps working.
  const std::uint32_t mayMiss = spec.m_mayMiss.value_or(1);
  const StepState& step = occurrence->second.m_steps[aRun.m_unit.m_step];
  std::uint32_t away = 0;
  for (std::uint32_t i = 0; i < step.m_units.size(); ++i) {
    if (i == aRun.m_unit.m_index) {
      continue;
    }
    const UnitId id{ aRun.m_unit.m_job, aRun.m_unit.m_occurrence, aRun.m_unit.m_step, i };
    bool isAtWork = false;
    for (const std::string& where : step.m_units[i].m_minions) {
      const auto minion = m_minions.find(where);
      if (minion == m_minions.end()) {
        continue;
      }
      const auto run = minion->second.m_runs.find(id.Text());
      isAtWork = isAtWork ||
                 (run != minion->second.m_runs.end() && run->second.m_phase == RunPhase::Running &&
                  run->second.m_percent >= 100 && minion->second.m_missedCalls == 0 &&
                  aNow - minion->second.m_heardAt < kFreshReport);
    }
    away += isAtWork ? 0 : 1;
  }
  return away < mayMiss;
}

void PoolScheduler::EvacuateCordoned(TimePoint aNow)
{
  for (auto& [id, minion] : m_minions) {
    const bool isLeaving = minion.m_isCordoned || minion.m_entry.m_isDraining;
    if (!isLeaving) {
      continue;
    }
    for (auto& [name, run] : minion.m_runs) {
      const bool isOverdue = minion.m_isCordoned && aNow - minion.m_cordonedAt > kCordonPatience;
      const bool mayStop = run.m_isLasting ? MayTakeAway(run, aNow) : isOverdue;
      if (run.m_phase == RunPhase::Running && mayStop) {
        StopRun(minion, run, aNow);
      }
    }
  }
}

void PoolScheduler::PaceFillers(TimePoint aNow)
{
  // The gauge is an average over half a second, so a change does not show earlier.
  constexpr Millis kPaceInterval{ 600 };
  constexpr double kHighTail = 0.85; // Share of the target, below 1 to react before it is missed.
  constexpr double kLowTail = 0.6;
  constexpr int kPaceStep = 20;
  for (auto& [id, minion] : m_minions) {
    double worst = 0;
    bool hasFiller = false;
    for (const auto& [name, run] : minion.m_runs) {
      if (run.m_tailTarget.count() > 0 && run.m_phase == RunPhase::Running) {
        worst = std::max(worst, run.m_gauge / static_cast<double>(run.m_tailTarget.count()));
      }
      hasFiller = hasFiller || run.m_isFiller;
    }
    if (!hasFiller) {
      continue;
    }
    for (auto& [name, run] : minion.m_runs) {
      if (!run.m_isFiller || run.m_phase != RunPhase::Running ||
          aNow - run.m_pacedAt < kPaceInterval) {
        continue;
      }
      int pace = run.m_pace;
      if (worst > kHighTail) {
        pace = worst > 1.0 ? run.m_pace / 3 : run.m_pace / 2;
      } else if (worst < kLowTail) {
        pace = std::min(100, run.m_pace + kPaceStep);
      }
      if (pace != run.m_pace) {
        run.m_pace = pace;
        run.m_pacedAt = aNow;
        m_orders.m_paces.push_back({ id, name, run.m_run, pace });
      }
    }
  }
}

PoolOrders PoolScheduler::TakeOrders()
{
  PoolOrders orders = std::move(m_orders);
  m_orders = {};
  orders.m_unsavedJobs.assign(m_unsaved.begin(), m_unsaved.end());
  m_unsaved.clear();
  return orders;
}

void PoolScheduler::OnRefused(const JobRecord& aRecord, TimePoint aNow)
{
  Job job;
  job.m_record = aRecord;
  job.m_occurrences.emplace(0, MakeOccurrence(aRecord.m_spec, aNow));
  m_refused.emplace_back(aNow, UsableCores(job));
  while (aNow - m_refused.front().first > kRefusalMemory) {
    m_refused.pop_front();
  }
}

void PoolScheduler::OnFirstAttempt(const JobRecord& aRecord, TimePoint aNow)
{
  if (!aRecord.m_spec.IsLasting() && aRecord.m_spec.m_repeatCount == 0) {
    m_arrivals.Add(aNow,
                   EstimatedWork(aRecord.m_spec) * m_runTimes.Factor(aRecord.m_terms.m_queue));
  }
}

bool PoolScheduler::LacksMemory(const StepSpec& aStep, TimePoint aNow) const
{
  const Resources need = aStep.Reserved();
  bool hasCpu = false;
  for (const auto& [id, minion] : m_minions) {
    if (!TakesWork(minion, aNow) || minion.Free().m_cpu < need.m_cpu) {
      continue;
    }
    hasCpu = true;
    if (minion.Free().Fits(need)) {
      return false;
    }
  }
  return hasCpu;
}

PoolLoad PoolScheduler::Load(TimePoint aNow) const
{
  PoolLoad load;
  for (const auto& [id, minion] : m_minions) {
    if (minion.m_isListed && !minion.m_isCordoned) {
      load.m_capacityCpu += minion.m_entry.m_capacity.m_cpu;
      load.m_usedCpu += minion.m_used.m_cpu;
    }
  }
  for (const QueuedStep& queued : m_queued) {
    const std::int64_t cpu = queued.Spec().Reserved().m_cpu;
    for (const Unit& unit : queued.State().m_units) {
      load.m_waitingCpu += !unit.m_isDone && unit.m_minions.empty() ? cpu : 0;
    }
    load.m_lacksMemory = load.m_lacksMemory || LacksMemory(queued.Spec(), aNow);
  }
  for (const Job* job : m_active) {
    for (const StepSpec& step : job->m_record.m_spec.m_steps) {
      if (step.m_isLasting && !job->m_occurrences.empty()) {
        const std::size_t perMinion = step.m_maxPerMinion == 0 ? 1 : step.m_maxPerMinion;
        load.m_lastingCpu += step.Reserved().m_cpu * step.m_count;
        load.m_spreadMinions =
          std::max(load.m_spreadMinions, (step.m_count + perMinion - 1) / perMinion);
      }
    }
  }
  for (const Job* job : m_active) {
    load.m_backlogCores += UsableCores(*job);
  }
  load.m_arrivingCores = m_arrivals.Cores(aNow);
  for (const auto& [at, cores] : m_refused) {
    load.m_backlogCores += aNow - at <= kRefusalMemory ? cores : 0;
  }
  return load;
}

} // namespace mustardtray::job
