#include "mustardtray/job/PoolScheduler.h"

/// Client accounts in the scheduler: what they use and want, and whether they may start a unit.

namespace mustardtray::job {

void PoolScheduler::SetAccounts(const std::vector<AccountSpec>& aAccounts)
{
  m_accounts = aAccounts;
  m_allowances.SetAccounts(aAccounts);
  m_accountRates.SetAccounts(aAccounts);
  m_accountWeights.clear();
  for (const AccountSpec& account : aAccounts) {
    m_accountWeights[account.m_name] = account.m_weight;
  }
}

std::map<std::string, Resources> PoolScheduler::MeasureAccountUse() const
{
  std::map<std::string, Resources> used;
  const auto add = [&](const UnitId& aUnit) {
    const Job* job = FindJob(aUnit.m_job);
    // A run of an unknown job cannot be attributed to an account.
    if (job && !job->m_record.m_account.empty() &&
        aUnit.m_step < job->m_record.m_spec.m_steps.size()) {
      used[job->m_record.m_account] += job->m_record.m_spec.m_steps[aUnit.m_step].m_need;
    }
  };
  for (const auto& [id, minion] : m_minions) {
    for (const auto& [name, run] : minion.m_runs) {
      add(run.m_unit);
    }
    for (const auto& [key, start] : minion.m_openStarts) {
      const auto run = minion.m_runs.find(key.first);
      const bool isCounted = run != minion.m_runs.end() && run->second.m_run == key.second;
      // The minion may still carry the order out, although its run has been dropped.
      if (const auto unit = isCounted ? std::nullopt : UnitId::Parse(key.first)) {
        add(*unit);
      }
    }
  }
  return used;
}

void PoolScheduler::CountAccountUse(TimePoint aNow)
{
  m_allowances.SetRecovering(IsRecovering(aNow));
  if (m_allowances.HasLimits()) {
    m_allowances.SetUsed(MeasureAccountUse());
  }
}

bool PoolScheduler::WaitsForAllowance(const QueuedStep& aQueued) const
{
  return m_allowances.HasLimits() && CountWaiting(aQueued) > 0 &&
         !m_allowances.Permits(aQueued.m_job->m_record.m_account,
                               aQueued.Spec().TotalNeed(aQueued.Spec().m_isGang));
}

std::string PoolScheduler::DescribeLimitError(const JobRecord& aRecord) const
{
  return job::DescribeLimitError(m_accounts, aRecord);
}

void PoolScheduler::ApplyAccountGrants(const AccountGrants& aGrants,
                                       std::uint64_t aOwner,
                                       TimePoint aNow)
{
  m_allowances.ApplyGrants(aGrants, aOwner);
  if (aGrants.m_holder != 0) {
    SetAccountRates(aGrants.m_arrivals, aNow);
  }
}

AccountReport PoolScheduler::ReportAccounts(std::uint64_t aOwner, TimePoint aNow)
{
  if (!m_allowances.IsActive()) {
    return {};
  }
  CountAccountUse(aNow);
  std::map<std::string, AccountUse> waiting;
  for (const QueuedStep& queued : m_queued) {
    const std::string& account = queued.m_job->m_record.m_account;
    const std::uint32_t units = CountWaiting(queued);
    if (account.empty() || units == 0) {
      continue;
    }
    const StepSpec& spec = queued.Spec();
    AccountUse& use = waiting[account];
    for (const auto kind : kResourceKinds) {
      use.m_wanted.*kind += spec.m_need.*kind * units;
    }
    use.m_largest = MaxOf(use.m_largest, spec.TotalNeed(spec.m_isGang));
  }
  AccountReport report = m_allowances.Report(aOwner, waiting);
  for (const auto& [account, rate] : AccountArrivals(aNow)) {
    // An account that only submits is listed, too: its rate is the sum over all shards.
    const auto [entry, isNew] = report.m_accounts.try_emplace(account);
    entry->second.m_arrivals = rate;
    if (isNew) {
      entry->second.m_allowance = m_allowances.ReportedAllowance(account);
    }
  }
  return report;
}

} // namespace mustardtray::job
