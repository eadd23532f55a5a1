#include "node/TableFollower.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// A healthy store answers a read within milliseconds.
constexpr Millis kReadTimeout{ 1'000 };
/// Time beyond the requested wait after which the connection counts as broken.
constexpr Millis kPollTimeoutMargin{ 600 };
/// Rows and bytes in a page that may not have all changes.
constexpr std::size_t kFullPageRows = 500;
constexpr std::size_t kFullPageBytes = 500'000;
/// Partitions in a list that may not have all of them.
constexpr std::size_t kFullPartitionList = 1'000;
constexpr Millis kFirstRetryDelay{ 200 };
constexpr Millis kLongestRetryDelay{ 800 };

bool IsFull(const platform::RowPage& aPage)
{
  std::size_t bytes = 0;
  for (const platform::Row& row : aPage.m_rows) {
    bytes += row.m_rowId.m_key.size() + row.m_value.size();
  }
  return aPage.m_rows.size() >= kFullPageRows || bytes >= kFullPageBytes;
}

} // namespace

TableFollower::TableFollower(NodeContext& aContext,
                             TableFollowerOptions aOptions,
                             RowsCallback aCallback)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_callback(std::move(aCallback))
  , m_backoff(kFirstRetryDelay, kLongestRetryDelay)
{
  ReadAll();
}

TableFollower::~TableFollower() = default;

void TableFollower::RetryLater(const Error& aError, std::function<void()> aStep)
{
  if (!m_isStoreUnreachable) {
    m_isStoreUnreachable = true;
    Log(LogCategory::Platform,
        LogLevel::Warning,
        "store-unreachable",
        "table",
        m_options.m_table,
        "error",
        aError.Text());
  }
  m_nextCallTimer = m_context.m_timers.After(m_backoff.Next(), std::move(aStep));
}

void TableFollower::ReadAll()
{
  m_rows.clear();
  m_partitionsToRead.clear();
  m_version = 0;
  m_askedAt = LeaseClockNow();
  if (m_options.m_hasSinglePartition) {
    m_partitionsToRead.emplace_back();
    ReadNextPartition();
    return;
  }
  // The version to follow from must be older than every row that is read afterwards.
  m_context.m_store.Read(
    { kNodeTable, "", "" },
    "",
    kReadTimeout,
    [this, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      if (!aPage) {
        RetryLater(aPage.error(), [this] { ReadAll(); });
        return;
      }
      m_version = aPage.value().m_version;
      if (m_options.m_onlyChanges) {
        m_isUpToDate = true;
        Follow();
        return;
      }
      m_partitionsToRead.clear();
      ListPartitions("");
    });
}

void TableFollower::ListPartitions(const std::string& aAfter)
{
  m_context.m_store.ListPartitions(
    m_options.m_table,
    aAfter,
    kReadTimeout,
    [this, aAfter, alive = std::weak_ptr<int>(m_alive)](
      Result<std::vector<std::string>> aPartitions) {
      if (alive.expired()) {
        return;
      }
      if (!aPartitions) {
        RetryLater(aPartitions.error(), [this, aAfter] { ListPartitions(aAfter); });
        return;
      }
      const std::vector<std::string>& partitions = aPartitions.value();
      m_partitionsToRead.insert(m_partitionsToRead.end(), partitions.begin(), partitions.end());
      if (partitions.size() >= kFullPartitionList) {
        ListPartitions(partitions.back());
      } else {
        ReadNextPartition();
      }
    });
}

void TableFollower::ReadNextPartition()
{
  if (m_partitionsToRead.empty()) {
    m_isUpToDate = true;
    const std::vector<platform::Row> rows = std::move(m_rows);
    m_rows.clear();
    m_callback(rows, true);
    Follow();
    return;
  }
  const std::string partition = m_partitionsToRead.back();
  m_partitionsToRead.pop_back();
  ReadPartition(partition, "");
}

void TableFollower::ReadPartition(const std::string& aPartition, const std::string& aFrom)
{
  m_context.m_store.Read(
    { m_options.m_table, aPartition, aFrom },
    "",
    kReadTimeout,
    [this, aPartition, aFrom, alive = std::weak_ptr<int>(m_alive)](
      Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      if (!aPage) {
        // The partitions that have been read are kept: starting over would multiply the calls to a
        // store that refuses some of them.
        RetryLater(aPage.error(), [this, aPartition, aFrom] { ReadPartition(aPartition, aFrom); });
        return;
      }
      platform::RowPage& page = aPage.value();
      if (m_version == 0) {
        m_version = page.m_version;
      }
      m_rows.insert(m_rows.end(), page.m_rows.begin(), page.m_rows.end());
      if (page.m_hasMore && !page.m_rows.empty()) {
        ReadPartition(aPartition, page.m_rows.back().m_rowId.m_key + '\0');
      } else {
        ReadNextPartition();
      }
    });
}

void TableFollower::Follow()
{
  const TimePoint askedAt = LeaseClockNow();
  m_context.m_store.Follow(
    m_options.m_table,
    m_version,
    m_options.m_wait,
    m_options.m_wait + kPollTimeoutMargin,
    [this, askedAt, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      if (!aPage) {
        RetryLater(aPage.error(), [this] {
          if (m_options.m_readsAfterFailure) {
            ReadAll();
          } else {
            Follow();
          }
        });
        return;
      }
      m_backoff.Reset();
      if (m_isStoreUnreachable) {
        m_isStoreUnreachable = false;
        Log(LogCategory::Platform, LogLevel::Info, "store-reachable", "table", m_options.m_table);
      }
      const platform::RowPage& page = aPage.value();
      if (page.m_isHistoryTruncated) {
        m_isUpToDate = false;
        Log(LogCategory::Platform,
            LogLevel::Info,
            "store-history-truncated",
            "table",
            m_options.m_table,
            "after",
            m_version);
        ReadAll();
        return;
      }
      m_version = std::max(m_version, page.m_version);
      const bool hasMore = page.m_hasMore || IsFull(page);
      m_askedAt = hasMore ? m_askedAt : askedAt;
      m_callback(page.m_rows, false);
      if (alive.expired()) {
        return;
      }
      // A table that changes faster than a page holds would be followed with a growing delay.
      if (m_options.m_pollInterval.count() > 0 && !hasMore) {
        m_nextCallTimer = m_context.m_timers.After(m_options.m_pollInterval, [this] { Follow(); });
      } else {
        Follow();
      }
    });
}

} // namespace mustardtray::node
