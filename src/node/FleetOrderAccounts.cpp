#include "node/FleetOrderController.h"

#include "mustardtray/process/Log.h"

/// Allowances of client accounts at the holder of the machine orders.

namespace mustardtray::node {

namespace {

/// Accounts that are logged at a time.
constexpr std::size_t kMaxLoggedAccounts = 8;

} // namespace

void FleetOrderController::PlanAllowances(const std::vector<std::string>& aShards)
{
  const job::Deployment& deployment = m_context.m_deployment;
  if (deployment.m_version != m_accountsVersion) {
    m_accountsVersion = deployment.m_version;
    m_allowancePlanner.SetAccounts(deployment.m_accounts);
  }
  // A limit is divided among all shards, so the plan has to know each of them.
  if (m_allowancePlanner.IsActive() && job::CountShards(deployment, m_context.m_shards) > 0) {
    m_allowancePlanner.SetShards(aShards);
    m_allowancePlanner.Plan(LeaseClockNow());
  }
}

void FleetOrderController::LogAllowances() const
{
  if (!m_allowancePlanner.IsActive()) {
    return;
  }
  if (const std::size_t unknown = m_allowancePlanner.UnknownShards(); unknown > 0) {
    Log(LogCategory::Fleet, LogLevel::Info, "allowances-not-planned", "unknown-shards", unknown);
  }
  for (const job::AccountTotals& totals : m_allowancePlanner.Describe(kMaxLoggedAccounts)) {
    Log(LogCategory::Fleet,
        LogLevel::Info,
        "account-limit",
        "account",
        totals.m_account,
        "limit-cpu",
        totals.m_limit.m_cpu,
        "limit-mb",
        totals.m_limit.m_memoryMb,
        "charged-cpu",
        totals.m_charged.m_cpu,
        "charged-mb",
        totals.m_charged.m_memoryMb,
        "used-cpu",
        totals.m_used.m_cpu,
        "used-mb",
        totals.m_used.m_memoryMb,
        "wanted-cpu",
        totals.m_wanted.m_cpu,
        "wanted-mb",
        totals.m_wanted.m_memoryMb);
  }
}

} // namespace mustardtray::node
