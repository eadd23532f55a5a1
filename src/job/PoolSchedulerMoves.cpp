#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>
#include <tuple>

/// Jobs that wait while nothing of them runs: whether this shard could run them, and what a shard
/// could do for a job of another one. A shard limits what its owner has to look at, not which
/// minions may run a job, so such a job moves to a shard that can run it.

namespace mustardtray::job {

namespace {

/// A job waits for this time before it moves because no minion here can run it: a minion that
/// restarts is back by then.
constexpr Millis kMaxUnfitWait{ 800 };
/// The same because the minions that can run it have no room.
constexpr Millis kMaxRoomWait{ 2'000 };
/// After a takeover minions register with the new owner for about this time.
constexpr Millis kMinOwnerAge{ 3'000 };

constexpr Millis kMoveCheckPeriod{ 1'000 };
/// A new long-running job waits for other shards at most for this time.
constexpr Millis kMaxShardWait{ 1'200 };
/// Jobs that are checked at a time, which bounds the time that it takes.
constexpr std::size_t kMaxJobsChecked = 64;

/// Units of a step that a minion could run in this capacity.
std::uint32_t UnitsIn(const Resources& aCapacity, const StepSpec& aStep)
{
  const Resources need = aStep.Reserved();
  std::int64_t units = aStep.m_count;
  const auto limit = [&](std::int64_t aAvailable, std::int64_t aNeed) {
    if (aNeed > 0) {
      units = std::min(units, std::max<std::int64_t>(aAvailable, 0) / aNeed);
    }
  };
  limit(aCapacity.m_cpu, need.m_cpu);
  limit(aCapacity.m_memoryMb, need.m_memoryMb);
  limit(aCapacity.m_gpu, need.m_gpu);
  if (aStep.m_maxPerMinion > 0) {
    units = std::min<std::int64_t>(units, aStep.m_maxPerMinion);
  }
  return static_cast<std::uint32_t>(units);
}

/// Whether the minion is not expected to run anything for a while.
bool IsAway(const MinionState& aMinion, TimePoint aNow)
{
  switch (FindObstacle(aMinion, aNow)) {
    case PlacementObstacle::Unregistered:
    case PlacementObstacle::Cordoned:
    case PlacementObstacle::Draining:
    case PlacementObstacle::MissedCall:
      return true;
    default:
      return false;
  }
}

} // namespace

ShardRoom PoolScheduler::MeasureRoom(const JobSpec& aSpec,
                                     const std::map<std::uint32_t, Occurrence>& aOccurrences,
                                     TimePoint aNow) const
{
  ShardRoom room;
  for (const auto& [number, occurrence] : aOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const StepSpec& step = aSpec.m_steps[s];
      const StepState& state = occurrence.m_steps[s];
      if (state.IsDone() || !ArePredecessorsDone(step, occurrence)) {
        continue;
      }
      const std::uint32_t waiting = step.m_isGang ? step.m_count : step.m_count - state.m_doneCount;
      std::uint32_t holdable = 0;
      std::uint32_t startable = 0;
      PlacementRequest request;
      request.m_step = &step;
      for (const auto& [id, minion] : m_minions) {
        if (IsAway(minion, aNow) || !IsEligible(minion, request, aNow)) {
          continue;
        }
        holdable += UnitsIn(minion.m_entry.m_capacity, step);
        startable += FindObstacle(minion, request, aNow) == PlacementObstacle::None
                       ? UnitsIn(minion.Free(), step)
                       : 0;
      }
      if (step.m_isGang) {
        holdable = holdable >= step.m_count ? step.m_count : 0;
        startable = startable >= step.m_count ? step.m_count : 0;
      } else if (!step.m_isLongRunning && holdable > 0) {
        holdable = waiting; // They can run one after the other.
      }
      room.m_waitingUnits += waiting;
      room.m_holdableUnits += std::min(holdable, waiting);
      room.m_startableUnits += std::min(startable, waiting);
    }
  }
  return room;
}

ShardRoom PoolScheduler::MeasureRoomFor(const JobRecord& aRecord, TimePoint aNow) const
{
  Job job;
  job.m_record = aRecord;
  if (!DecodeProgress(aRecord.m_progress, job) || job.HasEnded()) {
    return {};
  }
  if (job.m_occurrences.empty()) {
    job.m_occurrences.emplace(0, MakeOccurrence(aRecord.m_spec, aNow));
  }
  return MeasureRoom(aRecord.m_spec, job.m_occurrences, aNow);
}

bool PoolScheduler::WaitsForOtherShards(const QueuedStep& aQueued, TimePoint aNow) const
{
  const Job& job = *aQueued.m_job;
  const StepSpec& step = aQueued.Spec();
  if (!m_hasOtherShards || !step.m_isLongRunning || step.m_isGang || job.m_hasStarted ||
      job.m_isInherited || job.m_record.m_moves > 0 || aNow - job.m_arrivedAt > kMaxShardWait) {
    return false;
  }
  const ShardRoom room = MeasureRoom(job.m_record.m_spec, job.m_occurrences, aNow);
  return room.m_holdableUnits < room.m_waitingUnits;
}

bool PoolScheduler::IsIdle(const Job& aJob)
{
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (const StepState& step : occurrence.m_steps) {
      const bool mayRun = std::any_of(step.m_units.begin(),
                                      step.m_units.end(),
                                      [](const Unit& aUnit) { return !aUnit.m_minions.empty(); });
      if (mayRun) {
        return false;
      }
    }
  }
  return true;
}

bool PoolScheduler::CanMove(const Job& aJob, TimePoint aNow) const
{
  const bool isBlocked = aJob.m_isInherited && IsRecovering(aNow);
  if (aJob.HasEnded() || aJob.m_isHeld || isBlocked || aJob.m_savedRevision != aJob.m_revision ||
      !IsIdle(aJob)) {
    return false;
  }
  const std::string prefix = aJob.m_record.m_id + '.';
  return std::none_of(m_minions.begin(), m_minions.end(), [&](const auto& aEntry) {
    const MinionState& minion = aEntry.second;
    const auto run = minion.m_runs.lower_bound(prefix);
    if (run != minion.m_runs.end() && run->first.starts_with(prefix)) {
      return true;
    }
    return std::any_of(
      minion.m_openStarts.begin(), minion.m_openStarts.end(), [&](const auto& aStart) {
        return aStart.first.first.starts_with(prefix) && MayHaveEffect(aStart.second, minion, aNow);
      });
  });
}

std::vector<WaitingJob> PoolScheduler::FindMovable(std::size_t aMaxJobs, TimePoint aNow)
{
  std::vector<WaitingJob> movable;
  if (aNow - m_beganAt < kMinOwnerAge) {
    return movable;
  }
  std::set<Job*> waiting;
  std::set<const Job*> waitsForShards;
  for (const QueuedStep& queued : m_queued) {
    if (WaitsForOtherShards(queued, aNow)) {
      waitsForShards.insert(queued.m_job);
    }
    if (CountWaiting(queued) > 0 && !WaitsForAllowance(queued) && !HasUnsavedFailure(queued) &&
        !OnlyWaitsForRack(queued)) {
      waiting.insert(queued.m_job);
    }
  }
  std::vector<Job*> due;
  for (Job* job : m_activeJobs) {
    if (!waiting.contains(job) || !IsIdle(*job)) {
      job->m_idleSince = {};
      continue;
    }
    job->m_idleSince = job->m_idleSince == TimePoint{} ? aNow : job->m_idleSince;
    if ((waitsForShards.contains(job) || aNow - job->m_idleSince >= kMaxUnfitWait) &&
        aNow >= job->m_nextMoveCheckAt) {
      due.push_back(job);
    }
  }
  std::sort(due.begin(), due.end(), [](const Job* aLeft, const Job* aRight) {
    return std::tuple(aLeft->m_nextMoveCheckAt, aLeft->m_record.m_id) <
           std::tuple(aRight->m_nextMoveCheckAt, aRight->m_record.m_id);
  });
  due.resize(std::min(due.size(), kMaxJobsChecked));
  for (Job* job : due) {
    job->m_nextMoveCheckAt = aNow + kMoveCheckPeriod;
    if (!CanMove(*job, aNow)) {
      continue;
    }
    const WaitingJob waitingJob{ job->m_record.m_id,
                                 MeasureRoom(job->m_record.m_spec, job->m_occurrences, aNow),
                                 job->m_idleSince };
    if (waitingJob.IsUnfit() || aNow - job->m_idleSince >= kMaxRoomWait) {
      movable.push_back(waitingJob);
    }
  }
  // Jobs that cannot run here come first, then those that have waited for longest.
  std::sort(movable.begin(), movable.end(), [](const WaitingJob& aLeft, const WaitingJob& aRight) {
    return std::tuple(!aLeft.IsUnfit(), aLeft.m_since, aLeft.m_id) <
           std::tuple(!aRight.IsUnfit(), aRight.m_since, aRight.m_id);
  });
  movable.resize(std::min(movable.size(), aMaxJobs));
  return movable;
}

std::optional<JobRecord> PoolScheduler::DescribeJob(const std::string& aId) const
{
  const Job* job = FindJob(aId);
  if (!job) {
    return std::nullopt;
  }
  JobRecord record = job->m_record;
  record.m_progress = job->m_occurrences.empty() ? std::string{} : EncodeProgress(*job);
  return record;
}

std::optional<JobRecord> PoolScheduler::HoldForMove(const std::string& aId, TimePoint aNow)
{
  const auto found = m_jobs.find(aId);
  if (found == m_jobs.end() || !CanMove(*found->second, aNow)) {
    return std::nullopt;
  }
  found->second->m_isHeld = true;
  std::optional<JobRecord> record = DescribeJob(aId);
  CountMove(*record, m_epoch);
  return record;
}

void PoolScheduler::EndHold(const std::string& aId)
{
  const auto found = m_jobs.find(aId);
  if (found != m_jobs.end()) {
    found->second->m_isHeld = false;
  }
}

void PoolScheduler::RemoveHeldJob(const std::string& aId)
{
  const auto found = m_jobs.find(aId);
  if (found == m_jobs.end()) {
    return;
  }
  Job* job = found->second.get();
  ForgetAdvice(*job);
  m_activeJobs.erase(job);
  m_scheduledJobs.erase(job);
  m_unsaved.erase(aId);
  std::erase_if(m_queued, [&](const QueuedStep& aQueued) { return aQueued.m_job == job; });
  m_jobs.erase(found);
}

void CountMove(JobRecord& aRecord, std::uint32_t aEpoch)
{
  aRecord.m_formerEpochs += aEpoch - std::min(aEpoch, aRecord.m_epoch) + 1;
  aRecord.m_moves += 1;
}

} // namespace mustardtray::job
