#include "node/QueueDirectory.h"

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// A healthy store answers within milliseconds; callers wait meanwhile.
constexpr Millis kTimeout{ 600 };
/// Least time between two attempts for a queue, so that a store that refuses calls does not get one
/// for each request.
constexpr Millis kMinAttemptPeriod{ 200 };

} // namespace

platform::RowId QueueHomeRow(const std::string& aKey)
{
  return { kShardTable, kQueuePartition, aKey };
}

void LearnQueueHome(NodeContext& aContext, const platform::Row& aRow)
{
  const std::string& key = aRow.m_rowId.m_key;
  if (aRow.m_isDeleted || aRow.m_value.empty() || aContext.m_queueHomes.Find(key)) {
    return;
  }
  auto home = job::DecodeQueueHome(key, aRow.m_value);
  if (!home) {
    Log(LogCategory::Platform,
        LogLevel::Error,
        "queue-home-unreadable",
        "key",
        key,
        "error",
        home.error().Text());
    return;
  }
  Log(LogCategory::Membership,
      LogLevel::Info,
      "queue-home",
      "queue",
      home.value().m_queue,
      "pool",
      home.value().m_pool);
  aContext.m_queueHomes.Set(key, std::move(home.value()));
}

void QueueDirectory::Resolve(const job::QueueSpec& aQueue, std::function<void()> aDone)
{
  const std::string key = job::QueueKeyOf(aQueue);
  const TimePoint now = LeaseClockNow();
  if (!m_waiting.contains(key)) {
    TimePoint& attemptedAt = m_attemptedAt[key];
    if (attemptedAt != TimePoint{} && now - attemptedAt < kMinAttemptPeriod) {
      aDone();
      return;
    }
    attemptedAt = now;
  }
  std::vector<std::function<void()>>& waiting = m_waiting[key];
  waiting.push_back(std::move(aDone));
  if (waiting.size() > 1) {
    return;
  }
  if (m_context.m_queueHomes.Find(key)) {
    ReadShards(key);
  } else {
    ReadHome(key, aQueue);
  }
}

void QueueDirectory::ReadHome(const std::string& aKey, const job::QueueSpec& aQueue)
{
  m_context.m_store.Read(
    QueueHomeRow(aKey),
    aKey + '~',
    kTimeout,
    [this, aKey, aQueue, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      if (!aPage) {
        Finish(aKey);
        return;
      }
      for (const platform::Row& row : aPage.value().m_rows) {
        LearnQueueHome(m_context, row);
      }
      if (aPage.value().m_rows.empty()) {
        StoreHome(aKey, aQueue);
      } else {
        ReadShards(aKey);
      }
    });
}

void QueueDirectory::StoreHome(const std::string& aKey, const job::QueueSpec& aQueue)
{
  const platform::RowId rowId = QueueHomeRow(aKey);
  const std::string value = job::EncodeQueueHome(m_context.m_queueHomes.MakeHome(aQueue));
  platform::Transaction transaction;
  transaction.m_preconditions.push_back({ rowId, 0 });
  transaction.m_writes.push_back({ rowId, value });
  m_context.m_store.Commit(transaction,
                           kTimeout,
                           [this, aKey, rowId, value, alive = std::weak_ptr<int>(m_alive)](
                             Result<platform::TransactionResult> aResult) {
                             if (alive.expired()) {
                               return;
                             }
                             if (aResult && aResult.value().m_isApplied) {
                               LearnQueueHome(m_context, { rowId, value });
                             } else if (aResult) {
                               for (const platform::Row& row : aResult.value().m_conflictingRows) {
                                 LearnQueueHome(m_context, row);
                               }
                             }
                             ReadShards(aKey);
                           });
}

void QueueDirectory::ReadShards(const std::string& aKey)
{
  const job::QueueHome* home = m_context.m_queueHomes.Find(aKey);
  if (!home || m_context.m_shards.Knows(home->m_pool)) {
    Finish(aKey);
    return;
  }
  m_context.m_store.Read({ kShardTable, home->m_pool, kSingleRowKey },
                         "",
                         kTimeout,
                         [this, aKey, pool = home->m_pool, alive = std::weak_ptr<int>(m_alive)](
                           Result<platform::RowPage> aPage) {
                           if (alive.expired()) {
                             return;
                           }
                           if (aPage && !aPage.value().m_rows.empty()) {
                             auto division =
                               job::DecodePoolDivision(pool, aPage.value().m_rows[0].m_value);
                             if (division) {
                               m_context.m_shards.Set(pool, std::move(division.value()));
                             }
                           }
                           Finish(aKey);
                         });
}

void QueueDirectory::Finish(const std::string& aKey)
{
  const std::vector<std::function<void()>> waiting = std::move(m_waiting[aKey]);
  m_waiting.erase(aKey);
  for (const std::function<void()>& done : waiting) {
    done();
  }
}

} // namespace mustardtray::node
