#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Client accounts in the scheduler: order of waiting by shares, and jobs beyond an account's rate.

namespace mustardtray::job {

namespace {

// Penalties of the rank in milliseconds: less than the step between priorities, more than the
// difference between the latest starts of any two jobs.
constexpr double kExcessRankPenalty = 4e8;
constexpr double kAboveShareRankPenalty = 2e8;

Resources Times(const Resources& aNeed, std::uint32_t aUnits)
{
  return { aNeed.m_cpu * aUnits, aNeed.m_memoryMb * aUnits, aNeed.m_gpu * aUnits };
}

/// Number of units that fit into free capacity.
std::int64_t CountFitting(const Resources& aFree, const Resources& aNeed)
{
  std::int64_t count = kMaxUnitsPerJob;
  const auto limit = [&](std::int64_t aAvailable, std::int64_t aNeeded) {
    if (aNeeded > 0) {
      count = std::min(count, std::max<std::int64_t>(aAvailable, 0) / aNeeded);
    }
  };
  limit(aFree.m_cpu, aNeed.m_cpu);
  limit(aFree.m_memoryMb, aNeed.m_memoryMb);
  limit(aFree.m_gpu, aNeed.m_gpu);
  return count;
}

} // namespace

bool PoolScheduler::ChargeRate(const JobRecord& aRecord, TimePoint aNow)
{
  return m_accountRates.Charge(aRecord.m_account, aNow);
}

std::optional<Millis> PoolScheduler::RefuseExcess(const JobRecord& aRecord, TimePoint aNow)
{
  const bool hasDeadline = !aRecord.m_spec.IsLongRunning() && aRecord.m_spec.m_repeatCount == 0;
  if (!hasDeadline || HasRoomFor(aRecord.m_spec, aNow)) {
    return std::nullopt;
  }
  ++m_excessRefusals[aRecord.m_account];
  return m_accountRates.RetryAfter(aRecord.m_account, aNow);
}

bool PoolScheduler::HasRoomFor(const JobSpec& aSpec, TimePoint aNow) const
{
  std::int64_t waiting = 0;
  for (const QueuedStep& queued : m_queued) {
    waiting += queued.Spec().m_isLongRunning ? 0 : CountWaiting(queued);
  }
  return std::all_of(aSpec.m_steps.begin(), aSpec.m_steps.end(), [&](const StepSpec& aStep) {
    if (!aStep.m_after.empty()) {
      return true;
    }
    std::int64_t room = 0;
    for (const auto& [id, minion] : m_minions) {
      room += AcceptsWork(minion, aNow) ? CountFitting(minion.Free(), aStep.Reserved()) : 0;
    }
    return room >= waiting + aStep.m_count;
  });
}

FairShare PoolScheduler::MeasureShares(TimePoint aNow) const
{
  Resources capacity;
  for (const auto& [id, minion] : m_minions) {
    if (AcceptsWork(minion, aNow)) {
      capacity += minion.m_entry.m_capacity;
    }
  }
  FairShare shares(m_accountWeights, capacity);
  const std::string noAccount;
  for (const auto& [id, minion] : m_minions) {
    for (const auto& [name, run] : minion.m_runs) {
      const Job* job = FindJob(run.m_unit.m_job);
      shares.AddRunning(job ? job->m_record.m_account : noAccount, run.m_reserved);
    }
  }
  for (const QueuedStep& queued : m_queued) {
    if (const std::uint32_t units = CountWaiting(queued); units > 0) {
      shares.AddWaiting(queued.m_job->m_record.m_account, units);
    }
  }
  return shares;
}

void PoolScheduler::OrderByShares(TimePoint aNow)
{
  if (m_accountWeights.empty()) {
    return;
  }
  const auto byRank = [](const QueuedStep& aLeft, const QueuedStep& aRight) {
    return aLeft.m_rank < aRight.m_rank;
  };
  for (QueuedStep& queued : m_queued) {
    queued.m_rank += queued.m_job->m_isExcess ? kExcessRankPenalty : 0;
  }
  std::stable_sort(m_queued.begin(), m_queued.end(), byRank);
  FairShare shares = MeasureShares(aNow);
  for (QueuedStep& queued : m_queued) {
    const StepSpec& spec = queued.Spec();
    // Long-running units are placed before all others.
    if (!spec.m_isLongRunning &&
        shares.IsAboveShare(queued.m_job->m_record.m_account,
                            Times(spec.Reserved(), CountWaiting(queued)))) {
      queued.m_rank += kAboveShareRankPenalty;
    }
  }
  std::stable_sort(m_queued.begin(), m_queued.end(), byRank);
}

std::vector<AccountState> PoolScheduler::TakeAccountStates(TimePoint aNow)
{
  std::vector<AccountState> states;
  for (FairShare::Share& share : MeasureShares(aNow).Shares()) {
    const auto refusals = m_excessRefusals.find(share.m_account);
    states.push_back(
      { std::move(share), refusals == m_excessRefusals.end() ? 0 : refusals->second });
  }
  m_excessRefusals.clear();
  return states;
}

} // namespace mustardtray::job
