#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

#include "mustardtray/job/RackDemand.h"

/// Units that wait for room in the rack of their data.

namespace mustardtray::job {

namespace {

Millis ToMillis(Micros aTime)
{
  return std::chrono::duration_cast<Millis>(aTime);
}

} // namespace

Millis PoolScheduler::RemainingTime(const MinionState& aMinion,
                                    const Run& aRun,
                                    TimePoint aNow) const
{
  const Millis elapsed = ToMillis(aNow - aRun.m_orderedAt);
  if (elapsed <= aRun.m_expectedRunTime) {
    return aRun.m_expectedRunTime - elapsed;
  }
  // Without knowledge of longer runs, a run that exceeds its estimate is assumed to take as long
  // again as it has exceeded it.
  const Millis exceeded = elapsed - aRun.m_expectedRunTime;
  const Job* job = FindJob(aRun.m_unit.m_job);
  if (!job || aRun.m_unit.m_step >= job->m_record.m_spec.m_steps.size()) {
    return exceeded;
  }
  const Millis estimate = job->m_record.m_spec.m_steps[aRun.m_unit.m_step].m_estimate;
  const RunTimeKey key = RunTimeKeyOf(*job, aRun.m_unit, aMinion);
  return std::max(exceeded, m_runTimeCorrection.RemainingBeyond(key, estimate, elapsed));
}

const std::vector<LocalMinion>& PoolScheduler::LocalMinions(const std::string& aRack,
                                                            TimePoint aNow)
{
  const auto known = m_localMinions.find(aRack);
  if (known != m_localMinions.end()) {
    return known->second;
  }
  std::vector<LocalMinion>& local = m_localMinions[aRack];
  for (const auto& [id, minion] : m_minions) {
    if (!minion.m_entry.HasLabel(aRack) || !AcceptsWork(minion, aNow)) {
      continue;
    }
    LocalMinion& added = local.emplace_back();
    added.m_free = minion.Free();
    for (const auto& [name, run] : minion.m_runs) {
      if (!run.m_isLongRunning) {
        added.m_runs.push_back({ aNow + RemainingTime(minion, run, aNow), run.m_reserved });
      }
    }
    std::sort(added.m_runs.begin(), added.m_runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_expectedEnd < aRight.m_expectedEnd;
    });
  }
  return local;
}

LocalityInputs PoolScheduler::LocalityInputsFor(const QueuedStep& aQueued, TimePoint aNow)
{
  const Job& job = *aQueued.m_job;
  const StepSpec& spec = aQueued.Spec();
  const RunTimeKey key =
    KeyOf(job.m_record.m_queuePolicy.m_queue, job.m_record.m_spec, aQueued.m_step);
  LocalityInputs inputs;
  inputs.m_minions = &LocalMinions(spec.m_dataRack, aNow);
  inputs.m_need = spec.Reserved();
  inputs.m_farFactor = m_policy.m_remoteDataSlowdown;
  inputs.m_runTime = Scaled(spec.m_estimate, m_runTimeCorrection.Factor(key));
  inputs.m_slack = ToMillis(LatestStart(job, aQueued.m_occurrence, aQueued.m_step) - aNow);
  inputs.m_isLate = job.m_isLate || job.m_isExcess;
  inputs.m_isCapacityShort = m_hasUnplaced;
  const auto ahead = m_waitingForRack.find(spec.m_dataRack);
  if (ahead != m_waitingForRack.end()) {
    // Units of other sizes count as the number of these units that take as much.
    const auto parts = [](std::int64_t aAhead, std::int64_t aNeed) {
      return aNeed > 0 ? (aAhead + aNeed - 1) / aNeed : 0;
    };
    const Resources& waiting = ahead->second;
    inputs.m_unitsAhead =
      static_cast<std::size_t>(std::max({ parts(waiting.m_cpu, inputs.m_need.m_cpu),
                                          parts(waiting.m_memoryMb, inputs.m_need.m_memoryMb),
                                          parts(waiting.m_gpu, inputs.m_need.m_gpu) }));
  }
  return inputs;
}

bool PoolScheduler::WaitsForRack(QueuedStep& aQueued,
                                 std::uint32_t aIndex,
                                 const PlacementRequest& aRequest,
                                 const MinionState& aMinion,
                                 TimePoint aNow)
{
  const StepSpec& spec = aQueued.Spec();
  if (m_policy.m_remoteDataSlowdown <= 1.0 || spec.m_dataRack.empty() || spec.m_isLongRunning ||
      spec.m_isGang) {
    return false;
  }
  std::map<std::uint32_t, LocalityWait>& waits = aQueued.State().m_localityWaits;
  const auto known = waits.find(aIndex);
  const bool isActive = known != waits.end() && known->second.IsActive();
  if (known != waits.end() && !isActive) {
    return false; // A unit waits once.
  }
  if (aMinion.m_entry.HasLabel(spec.m_dataRack)) {
    if (isActive) {
      EndLocalityWait(aQueued, aIndex, known->second, LocalityReason::Started, aNow);
    }
    return false;
  }
  // Units with a minion of their own or a ticket for a minion are placed by stricter rules.
  if (!isActive && (aRequest.m_isIsolated || aRequest.m_advice)) {
    return false;
  }
  const LocalityInputs inputs = LocalityInputsFor(aQueued, aNow);
  if (isActive) {
    const LocalityReason reason = ReviewLocalityWait(known->second, inputs, aNow);
    if (reason != LocalityReason::GainExpected) {
      EndLocalityWait(aQueued, aIndex, known->second, reason, aNow);
      return false;
    }
  } else {
    const LocalityWait wait = BeginLocalityWait(inputs, aNow);
    const TimePoint since = aNow - RemoteDataDelay(inputs);
    if (!wait.IsActive() ||
        IsRackOverloaded(inputs, CountSentElsewhere(m_minions, m_jobs, spec.m_dataRack, since))) {
      return false;
    }
    waits.emplace(aIndex, wait);
  }
  m_waitingForRack[spec.m_dataRack] += inputs.m_need;
  return true;
}

void PoolScheduler::EndLocalityWait(const QueuedStep& aQueued,
                                    std::uint32_t aIndex,
                                    LocalityWait& aWait,
                                    LocalityReason aReason,
                                    TimePoint aNow)
{
  aWait.m_hasEnded = true;
  ++m_orders.m_localityWaitsByReason[aReason];
  if (!m_orders.m_localityWait) {
    const UnitId id{ aQueued.m_job->m_record.m_id, aQueued.m_occurrence, aQueued.m_step, aIndex };
    m_orders.m_localityWait = LocalityWaitNotice{ id.Text(),
                                                  aQueued.Spec().m_dataRack,
                                                  aWait.m_expected,
                                                  ToMillis(aNow - aWait.m_beganAt),
                                                  ToMillis(aWait.m_end - aWait.m_beganAt),
                                                  aReason };
  }
}

bool PoolScheduler::OnlyWaitsForRack(const QueuedStep& aQueued)
{
  const auto& waits = aQueued.State().m_localityWaits;
  const auto active = std::count_if(
    waits.begin(), waits.end(), [](const auto& aEntry) { return aEntry.second.IsActive(); });
  return active > 0 && active >= CountWaiting(aQueued);
}

} // namespace mustardtray::job
