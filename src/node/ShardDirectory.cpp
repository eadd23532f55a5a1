#include "node/ShardDirectory.h"

#include <map>

#include "mustardtray/process/Log.h"
#include "node/QueueDirectory.h"

namespace mustardtray::node {

namespace {

constexpr Millis kWriteTimeout{ 1'500 };
/// Longest wait for a change in one poll.
constexpr Millis kFollowWait{ 5'000 };
/// A transaction has two entries for each, and at most 100 in all.
constexpr std::size_t kMaxHomesPerTransaction = 40;

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
  // Homes may be in pools that the configuration does not have any more.
  for (const auto& [key, home] : m_context.m_queueHomes.All()) {
    pools.insert(home.m_pool);
  }
  std::erase_if(pools,
                [this](const std::string& aPool) { return m_context.m_shards.Knows(aPool); });
  return pools;
}

std::map<std::string, const job::QueueSpec*> ShardDirectory::UnknownQueues() const
{
  std::map<std::string, const job::QueueSpec*> queues;
  for (const job::QueueSpec& queue : m_context.m_deployment.m_queues) {
    const std::string key = job::QueueKeyOf(queue);
    if (!m_context.m_queueHomes.Find(key)) {
      queues.emplace(key, &queue);
    }
  }
  return queues;
}

void ShardDirectory::FollowUntilComplete()
{
  const bool hasAllPools = UnknownPools().empty();
  if (hasAllPools && UnknownQueues().empty()) {
    // Deferred, because the follower must not be destroyed within its own callback.
    m_stopTimer = m_context.m_timers.After(Micros{ 0 }, [this] {
      if (UnknownPools().empty() && UnknownQueues().empty()) {
        m_follower.reset();
      }
    });
    return;
  }
  // The homes of queues that are added later are looked up when requests come.
  if (!m_follower && !hasAllPools) {
    m_follower = std::make_unique<TableFollower>(
      m_context,
      TableFollowerOptions{ kShardTable, false, kFollowWait, Millis{ 0 } },
      [this](const std::vector<platform::Row>& aRows, bool) { OnRows(aRows); });
  }
}

void ShardDirectory::OnRows(const std::vector<platform::Row>& aRows)
{
  bool hasChanged = false;
  bool hasNewHome = false;
  for (const platform::Row& row : aRows) {
    const std::string& pool = row.m_rowId.m_partition;
    if (row.m_rowId.m_key != kSingleRowKey) {
      hasNewHome = hasNewHome || !row.m_isDeleted;
      LearnQueueHome(m_context, row);
      continue;
    }
    if (row.m_isDeleted || m_context.m_shards.Knows(pool)) {
      continue;
    }
    auto division = job::DecodePoolDivision(pool, row.m_value);
    if (!division) {
      Log(LogCategory::Platform,
          LogLevel::Error,
          "shards-unreadable",
          "pool",
          pool,
          "error",
          division.error().Text());
      continue;
    }
    Log(LogCategory::Membership,
        LogLevel::Info,
        "shards",
        "pool",
        pool,
        "count",
        division.value().m_shards,
        "rare-machines",
        division.value().m_rareMachines.size());
    m_context.m_shards.Set(pool, std::move(division.value()));
    hasChanged = true;
  }
  if (hasChanged || hasNewHome) {
    FollowUntilComplete();
  }
  if (hasChanged) {
    m_onChange();
  }
}

void ShardDirectory::WriteMissing(const std::vector<job::Machine>& aMachines)
{
  WriteMissingShards(aMachines);
  WriteMissingHomes();
}

void ShardDirectory::WriteMissingHomes()
{
  const std::map<std::string, const job::QueueSpec*> queues = UnknownQueues();
  if (queues.empty() || m_isWritingHomes) {
    return;
  }
  m_isWritingHomes = true;
  job::QueueHomes homes = m_context.m_queueHomes;
  platform::Transaction transaction;
  std::vector<platform::Row> rows;
  for (const auto& [key, queue] : queues) {
    if (rows.size() == kMaxHomesPerTransaction) {
      break; // The others follow with the next list of machines.
    }
    homes.Set(key, homes.MakeHome(*queue));
    const platform::RowId rowId = QueueHomeRow(key);
    rows.push_back({ rowId, job::EncodeQueueHome(*homes.Find(key)) });
    transaction.m_preconditions.push_back({ rowId, 0 });
    transaction.m_writes.push_back({ rowId, rows.back().m_value });
  }
  m_context.m_store.Commit(
    transaction,
    kWriteTimeout,
    [this, rows, alive = std::weak_ptr<int>(m_alive)](Result<platform::TransactionResult> aResult) {
      if (alive.expired()) {
        return;
      }
      m_isWritingHomes = false;
      if (aResult) {
        OnRows(aResult.value().m_isApplied ? rows : aResult.value().m_conflictingRows);
      }
    });
}

void ShardDirectory::WriteMissingShards(const std::vector<job::Machine>& aMachines)
{
  const std::set<std::string> pools = UnknownPools();
  if (pools.empty()) {
    return;
  }
  std::map<std::string, std::vector<const job::Machine*>> machinesByPool;
  for (const job::Machine& machine : aMachines) {
    machinesByPool[machine.m_pool].push_back(&machine);
  }
  for (const std::string& pool : pools) {
    if (!m_pendingWrites.insert(pool).second) {
      continue;
    }
    const platform::RowId rowId{ kShardTable, pool, kSingleRowKey };
    platform::Transaction transaction;
    transaction.m_preconditions.push_back({ rowId, 0 });
    transaction.m_writes.push_back(
      { rowId, job::EncodePoolDivision(job::DividePool(machinesByPool[pool])) });
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
