#include "node/ShardDirectory.h"

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

constexpr Millis kTimeout{ 1'500 };
constexpr Millis kRetryDelay{ 300 };

} // namespace

ShardDirectory::ShardDirectory(NodeContext& aContext, std::function<void()> aOnChange)
  : m_context(aContext)
  , m_onChange(std::move(aOnChange))
{
}

void ShardDirectory::LookUp()
{
  std::set<std::string> pools;
  for (const job::PoolSpec& pool : m_context.m_deployment.m_pools) {
    pools.insert(pool.m_name);
  }
  for (const job::QueueSpec& queue : m_context.m_deployment.m_queues) {
    pools.insert(queue.m_pool);
  }
  for (const std::string& pool : pools) {
    if (!m_context.m_shards.Knows(pool) && m_asking.insert(pool).second) {
      Read(pool);
    }
  }
}

void ShardDirectory::Read(const std::string& aPool)
{
  m_context.m_store.Read(
    { kShardTable, aPool, kSingleKey },
    "",
    kTimeout,
    [this, aPool, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      if (!aPage) {
        RetryLater(aPool);
      } else if (!aPage.value().m_rows.empty()) {
        Learn(aPool, aPage.value().m_rows[0].m_value);
      } else {
        CountMachines(aPool);
      }
    });
}

void ShardDirectory::RetryLater(const std::string& aPool)
{
  m_asking.erase(aPool);
  m_timer = m_context.m_timers.After(kRetryDelay, [this] { LookUp(); });
}

void ShardDirectory::CountMachines(const std::string& aPool)
{
  m_context.m_machines.List(
    kTimeout,
    [this, aPool, alive = std::weak_ptr<int>(m_alive)](Result<std::vector<job::Machine>> aList) {
      if (alive.expired()) {
        return;
      }
      if (!aList) {
        Log(LogCategory::Fleet,
            LogLevel::Warning,
            "machine-list-failed",
            "error",
            aList.error().Text());
        RetryLater(aPool);
        return;
      }
      std::size_t count = 0;
      for (const job::Machine& machine : aList.value()) {
        count += machine.m_pool == aPool ? 1 : 0;
      }
      Write(aPool, job::ShardsFor(count));
    });
}

void ShardDirectory::Write(const std::string& aPool, std::size_t aShards)
{
  const platform::RowKey at{ kShardTable, aPool, kSingleKey };
  platform::Transaction transaction;
  transaction.m_expect.push_back({ at, 0 });
  transaction.m_writes.push_back({ at, std::to_string(aShards) });
  m_context.m_store.Commit(
    transaction,
    kTimeout,
    [this, aPool, alive = std::weak_ptr<int>(m_alive)](Result<platform::TransactionResult>) {
      // The first write wins, so the row is read whether or not this one was applied.
      if (!alive.expired()) {
        Read(aPool);
      }
    });
}

void ShardDirectory::Learn(const std::string& aPool, const std::string& aValue)
{
  const unsigned long shards = std::strtoul(aValue.c_str(), nullptr, 10);
  if (shards == 0) {
    Log(LogCategory::Platform, LogLevel::Error, "shards-unreadable", "pool", aPool);
    RetryLater(aPool);
    return;
  }
  m_asking.erase(aPool);
  m_context.m_shards.Set(aPool, shards);
  Log(LogCategory::Membership, LogLevel::Info, "shards", "pool", aPool, "count", shards);
  m_onChange();
}

} // namespace mustardtray::node
