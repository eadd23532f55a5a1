#include "node/PoolOwner.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

/// Exchange with the holder of the machine orders, and the accounts of the configuration.

namespace mustardtray::node {

namespace {

/// Accounts that are logged at a time.
constexpr std::size_t kMaxLoggedAccounts = 8;

} // namespace

FleetReport PoolOwner::ApplyRestrictions(const job::MachineRestrictions& aRestrictions,
                                         const job::AccountGrants& aGrants)
{
  const WorkMeter::Scope scope(m_context.m_work, WorkPart::PoolReport);
  UpdateAccounts();
  m_scheduler.SetRestrictions(aRestrictions, LeaseClockNow());
  m_scheduler.ApplyAccountGrants(aGrants, m_claim.m_version, LeaseClockNow());
  DecideNow();
  FleetReport report;
  report.m_load = m_scheduler.MeasureLoad(LeaseClockNow());
  for (const std::string& machine : aRestrictions.m_cordoned) {
    if (m_scheduler.IsDrained(machine, LeaseClockNow())) {
      report.m_drainedMachines.push_back(machine);
    }
  }
  if (!report.m_drainedMachines.empty()) {
    m_drainedReportAt = LeaseClockNow();
  }
  report.m_idleMachines = m_scheduler.IdleMachines(LeaseClockNow());
  report.m_accounts = m_scheduler.ReportAccounts(m_claim.m_version, LeaseClockNow());
  return report;
}

void PoolOwner::UpdateAccounts()
{
  const job::Deployment& deployment = m_context.m_deployment;
  const bool isNew = deployment.m_version != m_accountsVersion;
  if (isNew) {
    m_accountsVersion = deployment.m_version;
    m_scheduler.SetAccounts(deployment.m_accounts);
  }
  if (!deployment.m_accounts.empty() && (isNew || m_accountShards == 0)) {
    m_accountShards = job::CountShards(deployment, m_context.m_shards);
    m_scheduler.SetAccountShards(m_accountShards);
    Log(LogCategory::Configuration,
        LogLevel::Info,
        "account-limits-in-force",
        "pool",
        Pool(),
        "version",
        m_accountsVersion,
        "accounts",
        deployment.m_accounts.size(),
        "shards",
        m_accountShards);
  }
}

void PoolOwner::LogAllowances()
{
  if (!IsAuthoritative()) {
    return;
  }
  const job::AccountReport report = m_scheduler.ReportAccounts(m_claim.m_version, LeaseClockNow());
  std::vector<std::pair<std::string, job::AccountUse>> waiting;
  for (const auto& [name, use] : report.m_accounts) {
    if (use.m_wanted != use.m_used) {
      waiting.emplace_back(name, use);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.m_wanted.m_cpu > aRight.second.m_wanted.m_cpu;
  });
  waiting.resize(std::min(waiting.size(), kMaxLoggedAccounts));
  for (const auto& [name, use] : waiting) {
    Log(LogCategory::Placement,
        LogLevel::Info,
        "account-allowance",
        "pool",
        Pool(),
        "account",
        name,
        "recovering",
        report.m_isRecovering,
        "allowance-cpu",
        use.m_allowance.m_cpu,
        "allowance-mb",
        use.m_allowance.m_memoryMb,
        "used-cpu",
        use.m_used.m_cpu,
        "used-mb",
        use.m_used.m_memoryMb,
        "wanted-cpu",
        use.m_wanted.m_cpu,
        "wanted-mb",
        use.m_wanted.m_memoryMb,
        "holder",
        report.m_holder,
        "sequence",
        report.m_sequence);
  }
}

} // namespace mustardtray::node
