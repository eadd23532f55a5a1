#include "mustardtray/job/AllowanceBook.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardtray::job {

std::size_t CountShards(const Deployment& aDeployment, const ShardMap& aShards)
{
  std::size_t count = 0;
  for (const PoolSpec& pool : aDeployment.m_pools) {
    if (pool.m_isSpare) {
      continue;
    }
    const std::size_t shards = aShards.Count(pool.m_name);
    if (shards == 0) {
      return 0;
    }
    count += shards;
  }
  return count;
}

Resources BasicAllowance(const Resources& aLimit, std::size_t aShards)
{
  Resources basic;
  for (const auto kind : kResourceKinds) {
    basic.*kind =
      aShards == 0 ? 0 : aLimit.*kind / kBasicAllowanceDivisor / static_cast<std::int64_t>(aShards);
  }
  return basic;
}

std::string DescribeLimitError(const std::vector<AccountSpec>& aAccounts, const JobRecord& aRecord)
{
  const auto account =
    std::find_if(aAccounts.begin(), aAccounts.end(), [&](const AccountSpec& aAccount) {
      return aAccount.m_name == aRecord.m_account;
    });
  if (aRecord.m_account.empty() || account == aAccounts.end()) {
    return {};
  }
  for (const StepSpec& step : aRecord.m_spec.m_steps) {
    const std::int64_t count = step.m_isGang ? step.m_count : 1;
    for (std::size_t i = 0; i < kResourceKinds.size(); ++i) {
      constexpr std::array kNames{ "cpu", "mem_mb", "gpu" };
      const std::int64_t limit = account->m_limit.*kResourceKinds[i];
      const std::int64_t need = step.m_need.*kResourceKinds[i];
      if (limit > 0 && need > limit / count) {
        return fmt::format("a {} of the job needs more {} than the account's limit of {}",
                           step.m_isGang ? "gang" : "unit",
                           kNames[i],
                           limit);
      }
    }
  }
  return {};
}

bool Exceeds(const Resources& aLimit,
             const Resources& aAllowance,
             const Resources& aUsed,
             const Resources& aNeed)
{
  return std::any_of(kResourceKinds.begin(), kResourceKinds.end(), [&](const auto aKind) {
    return aLimit.*aKind > 0 && aNeed.*aKind > 0 && aUsed.*aKind + aNeed.*aKind > aAllowance.*aKind;
  });
}

void AllowanceBook::SetAccounts(const std::vector<AccountSpec>& aAccounts)
{
  m_hasAccounts = !aAccounts.empty();
  m_limits.clear();
  for (const AccountSpec& account : aAccounts) {
    if (!IsZero(account.m_limit)) {
      m_limits[account.m_name] = account.m_limit;
    }
  }
  std::erase_if(m_granted, [&](const auto& aEntry) { return !m_limits.contains(aEntry.first); });
}

void AllowanceBook::ApplyGrants(const AccountGrants& aGrants, std::uint64_t aOwner)
{
  // A message that was delayed must not bring back an allowance that others may have by now.
  const bool isNewer = aGrants.m_holder > m_holder ||
                       (aGrants.m_holder == m_holder && aGrants.m_sequence > m_sequence);
  if (aGrants.m_holder == 0 || !isNewer) {
    return;
  }
  m_holder = aGrants.m_holder;
  m_sequence = aGrants.m_sequence;
  if (aGrants.m_owner != aOwner) {
    return; // The charge for these allowances is that of an earlier owner.
  }
  for (const auto& [name, allowance] : aGrants.m_allowances) {
    m_granted[name] = allowance;
  }
}

void AllowanceBook::OnStart(const std::string& aAccount, const Resources& aNeed)
{
  if (HasLimits() && !aAccount.empty()) {
    m_used[aAccount] += aNeed;
  }
}

bool AllowanceBook::Permits(const std::string& aAccount, const Resources& aNeed) const
{
  const auto limit = m_limits.find(aAccount);
  return limit == m_limits.end() ||
         !Exceeds(limit->second, Allowance(aAccount), Used(aAccount), aNeed);
}

Resources AllowanceBook::Allowance(const std::string& aAccount) const
{
  const auto granted = m_granted.find(aAccount);
  if (granted == m_granted.end()) {
    return m_isRecovering ? Resources{} : BasicOf(aAccount);
  }
  Resources allowance = granted->second;
  if (const auto limit = m_limits.find(aAccount); limit != m_limits.end()) {
    for (const auto kind : kResourceKinds) {
      allowance.*kind = std::min(allowance.*kind, limit->second.*kind);
    }
  }
  return allowance;
}

Resources AllowanceBook::Used(const std::string& aAccount) const
{
  const auto used = m_used.find(aAccount);
  return used == m_used.end() ? Resources{} : used->second;
}

Resources AllowanceBook::BasicOf(const std::string& aAccount) const
{
  const auto limit = m_limits.find(aAccount);
  return limit == m_limits.end() ? Resources{} : BasicAllowance(limit->second, m_shards);
}

AccountReport AllowanceBook::Report(std::uint64_t aOwner,
                                    const std::map<std::string, AccountUse>& aWanting) const
{
  AccountReport report;
  report.m_owner = aOwner;
  report.m_holder = m_holder;
  report.m_sequence = m_sequence;
  report.m_isRecovering = m_isRecovering;
  report.m_accounts = aWanting;
  for (const auto& [name, used] : m_used) {
    if (!IsZero(used)) {
      report.m_accounts[name];
    }
  }
  for (const auto& [name, granted] : m_granted) {
    if (granted != BasicOf(name)) {
      report.m_accounts[name];
    }
  }
  for (auto& [name, use] : report.m_accounts) {
    use.m_allowance = ReportedAllowance(name);
    use.m_used = Used(name);
    use.m_wanted += use.m_used; // The caller has set what waits.
  }
  return report;
}

} // namespace mustardtray::job
