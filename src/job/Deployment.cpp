#include "mustardtray/job/Deployment.h"

namespace mustardtray::job {

const QueueSpec* Deployment::FindQueue(std::string_view aHost, std::string_view aPath) const
{
  const std::string_view host = aHost.substr(0, aHost.find(':'));
  const QueueSpec* best = nullptr;
  for (const QueueSpec& queue : m_queues) {
    const bool isMatch = queue.m_host == host && aPath.starts_with(queue.m_prefix);
    if (isMatch && (!best || queue.m_prefix.size() > best->m_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const PoolSpec* Deployment::FindPool(std::string_view aName) const
{
  for (const PoolSpec& pool : m_pools) {
    if (pool.m_name == aName) {
      return &pool;
    }
  }
  return nullptr;
}

const PoolSpec* Deployment::SparePool() const
{
  for (const PoolSpec& pool : m_pools) {
    if (pool.m_isSpare) {
      return &pool;
    }
  }
  return nullptr;
}

const AccountSpec* Deployment::FindAccount(std::string_view aName) const
{
  for (const AccountSpec& account : m_accounts) {
    if (account.m_name == aName) {
      return &account;
    }
  }
  return nullptr;
}

} // namespace mustardtray::job
