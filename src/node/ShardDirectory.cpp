#include "node/ShardDirectory.h"

#include <charconv>
#include <map>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

constexpr Millis kWriteTimeout{ 1'500 };
/// Longest wait for a change in one poll.
constexpr Millis kFollowWait{ 5'000 };

} // namespace

ShardDirectory::ShardDirectory(NodeContext& aContext, std::function<void()> aOnChange)
  : m_context(aContext)
  , m_onChange(std::move(aOnChange))
{
}

std::set<std::string> ShardDirectory::UnknownPools() const
{
  std::set<std::string> pools;
  for (const job::PoolSpec& pool : m_context.m_deployment.m_pools) {
    pools.insert(pool.m_name);
  }
  for (const job::QueueSpec& queue : m_context.m_deployment.m_queues) {
    pools.insert(queue.m_pool);
  }
  std::erase_if(pools,
                [this](const std::string& aPool) { return m_context.m_shards.Knows(aPool); });
  return pools;
}

void ShardDirectory::FollowUntilComplete()
{
  if (UnknownPools().empty()) {
    // Deferred, because the follower must not be destroyed within its own callback.
    m_stopTimer = m_context.m_timers.After(Micros{ 0 }, [this] {
      if (UnknownPools().empty()) {
        m_follower.reset();
      }
    });
    return;
  }
  if (!m_follower) {
    m_follower = std::make_unique<TableFollower>(
      m_context,
      TableFollowerOptions{ kShardTable, false, kFollowWait, Millis{ 0 } },
      [this](const std::vector<platform::Row>& aRows, bool) { OnRows(aRows); });
  }
}

void ShardDirectory::OnRows(const std::vector<platform::Row>& aRows)
{
  bool hasChanged = false;
  for (const platform::Row& row : aRows) {
    const std::string& pool = row.m_rowId.m_partition;
    if (row.m_isDeleted || m_context.m_shards.Knows(pool)) {
      continue;
    }
    std::size_t shards = 0;
    std::from_chars(row.m_value.data(), row.m_value.data() + row.m_value.size(), shards);
    if (shards == 0) {
      Log(LogCategory::Platform, LogLevel::Error, "shards-unreadable", "pool", pool);
      continue;
    }
    m_context.m_shards.Set(pool, shards);
    Log(LogCategory::Membership, LogLevel::Info, "shards", "pool", pool, "count", shards);
    hasChanged = true;
  }
  if (hasChanged) {
    FollowUntilComplete();
    m_onChange();
  }
}

void ShardDirectory::WriteMissing(const std::vector<job::Machine>& aMachines)
{
  const std::set<std::string> pools = UnknownPools();
  if (pools.empty()) {
    return;
  }
  std::map<std::string, std::size_t> machinesByPool;
  for (const job::Machine& machine : aMachines) {
    ++machinesByPool[machine.m_pool];
  }
  for (const std::string& pool : pools) {
    if (!m_pendingWrites.insert(pool).second) {
      continue;
    }
    const platform::RowId rowId{ kShardTable, pool, kSingleRowKey };
    platform::Transaction transaction;
    transaction.m_preconditions.push_back({ rowId, 0 });
    transaction.m_writes.push_back({ rowId, std::to_string(job::ShardsFor(machinesByPool[pool])) });
    m_context.m_store.Commit(
      transaction,
      kWriteTimeout,
      [this, pool, alive = std::weak_ptr<int>(m_alive)](Result<platform::TransactionResult>) {
        // The first write wins. The follower reports it; a write that failed is repeated with the
        // next list of machines.
        if (!alive.expired()) {
          m_pendingWrites.erase(pool);
        }
      });
  }
}

} // namespace mustardtray::node
