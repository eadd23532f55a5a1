#include "mustardtray/job/FairShare.h"

#include <algorithm>

namespace mustardtray::job {

namespace {

/// Part of the capacity that is divided while less is in use, at the beginning of a burst. Units
/// that do not fill their minions leave up to a fifth of a full shard unused.
constexpr double kMinDividedCapacity = 0.5;

} // namespace

FairShare::Account* FairShare::FindOrAdd(const std::string& aAccount)
{
  if (const auto found = m_accounts.find(aAccount); found != m_accounts.end()) {
    return &found->second;
  }
  const auto weight = m_weights.find(aAccount);
  if (weight == m_weights.end()) {
    return nullptr;
  }
  m_totalWeight += weight->second;
  return &m_accounts.emplace(aAccount, Account{ weight->second, {}, {}, 0 }).first->second;
}

void FairShare::AddRunning(const std::string& aAccount, const Resources& aUsed)
{
  m_totalUsed += aUsed;
  if (Account* account = FindOrAdd(aAccount)) {
    account->m_used += aUsed;
  }
}

void FairShare::AddWaiting(const std::string& aAccount, std::size_t aUnits)
{
  if (Account* account = FindOrAdd(aAccount)) {
    account->m_waiting += aUnits;
  }
}

double FairShare::ShareOf(const Resources& aResources) const
{
  const auto part = [](std::int64_t aUsed, std::int64_t aCapacity) {
    return aCapacity > 0 ? static_cast<double>(aUsed) / static_cast<double>(aCapacity) : 0.0;
  };
  return std::max({ part(aResources.m_cpu, m_capacity.m_cpu),
                    part(aResources.m_memoryMb, m_capacity.m_memoryMb),
                    part(aResources.m_gpu, m_capacity.m_gpu) });
}

double FairShare::PartOf(const Account& aAccount) const
{
  return m_totalWeight > 0 ? aAccount.m_weight / m_totalWeight
                           : 1.0 / static_cast<double>(m_accounts.size());
}

bool FairShare::IsAboveShare(const std::string& aAccount, const Resources& aNeed)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return false;
  }
  Account& account = found->second;
  Resources planned = account.m_used;
  planned += account.m_planned;
  const double divided = std::max(ShareOf(m_totalUsed), kMinDividedCapacity);
  if (ShareOf(planned) >= PartOf(account) * divided) {
    return true;
  }
  account.m_planned += aNeed;
  return false;
}

std::vector<FairShare::Share> FairShare::Shares() const
{
  std::vector<Share> shares;
  const double total = ShareOf(m_totalUsed);
  for (const auto& [name, account] : m_accounts) {
    const double share = total > 0 ? ShareOf(account.m_used) / total : 0;
    shares.push_back(
      { name, account.m_weight, PartOf(account), share, account.m_used, account.m_waiting });
  }
  std::sort(shares.begin(), shares.end(), [](const Share& aLeft, const Share& aRight) {
    const double left = aLeft.m_dominantShare - aLeft.m_part;
    const double right = aRight.m_dominantShare - aRight.m_part;
    return left != right ? left > right : aLeft.m_account < aRight.m_account;
  });
  return shares;
}

} // namespace mustardtray::job
