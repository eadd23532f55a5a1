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

void ShardDirectory::LookUpShardCounts()
{
  std::set<std::string> pools;
  for (const job::PoolSpec& pool : m_context.m_deployment.m_pools) {
    pools.insert(pool.m_name);
  }
  for (const job::QueueSpec& queue : m_context.m_deployment.m_queues) {
    pools.insert(queue.m_pool);
  }
  for (const std::string& pool : pools) {
    if (!m_context.m_shards.Knows(pool) && m_pendingLookUps.insert(pool).second) {
      ReadShardCount(pool);
    }
  }
}

void ShardDirectory::ReadShardCount(const std::string& aPool)
{
  m_context.m_store.Read(
    { kShardTable, aPool, kSingleRowKey },
    "",
    kTimeout,
    [this, aPool, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      if (!aPage) {
        RetryLater(aPool);
      } else if (!aPage.value().m_rows.empty()) {
        SetShardCount(aPool, aPage.value().m_rows[0].m_value);
      } else {
        DeriveShardCount(aPool);
      }
    });
}

void ShardDirectory::RetryLater(const std::string& aPool)
{
  m_pendingLookUps.erase(aPool);
  m_retryTimer = m_context.m_timers.After(kRetryDelay, [this] { LookUpShardCounts(); });
}

void ShardDirectory::DeriveShardCount(const std::string& aPool)
{
  m_context.m_machineClient.List(
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
      WriteShardCount(aPool, job::ShardsFor(count));
    });
}

void ShardDirectory::WriteShardCount(const std::string& aPool, std::size_t aShards)
{
  const platform::RowId rowId{ kShardTable, aPool, kSingleRowKey };
  platform::Transaction transaction;
  transaction.m_preconditions.push_back({ rowId, 0 });
  transaction.m_writes.push_back({ rowId, std::to_string(aShards) });
  m_context.m_store.Commit(
    transaction,
    kTimeout,
    [this, aPool, alive = std::weak_ptr<int>(m_alive)](Result<platform::TransactionResult>) {
      // The first write wins, so the row is read whether or not this one was applied.
      if (!alive.expired()) {
        ReadShardCount(aPool);
      }
    });
}

void ShardDirectory::SetShardCount(const std::string& aPool, const std::string& aValue)
{
  const unsigned long shards = std::strtoul(aValue.c_str(), nullptr, 10);
  if (shards == 0) {
    Log(LogCategory::Platform, LogLevel::Error, "shards-unreadable", "pool", aPool);
    RetryLater(aPool);
    return;
  }
  m_pendingLookUps.erase(aPool);
  m_context.m_shards.Set(aPool, shards);
  Log(LogCategory::Membership, LogLevel::Info, "shards", "pool", aPool, "count", shards);
  m_onChange();
}

} // namespace mustardtray::node
