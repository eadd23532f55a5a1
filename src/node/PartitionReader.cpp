#include "node/PartitionReader.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

constexpr Millis kReadTimeout{ 2'000 };
constexpr Micros kReadRetryDelay{ 150'000 };
/// Most rows in a page, so that a transfer leaves room for the node's other calls.
constexpr std::size_t kPageRows = 100;
/// Length of a row for the size of the first page, before any row is known.
constexpr std::size_t kAssumedRowBytes = 5'000;
/// Part of the time-out that the first page may take on the node's link.
constexpr Millis kPageTransferTime = kReadTimeout / 4;
/// After a failed read, which may have been too slow, the next page has this part of the rows.
constexpr std::size_t kPageDivisor = 4;
/// After a read within half of the time-out, one of this many times the rows should not exceed it.
constexpr std::size_t kPageGrowth = 2;

std::size_t FirstPageRows(const NodeContext& aContext)
{
  return std::clamp<std::size_t>(
    LinkBytes(aContext, kPageTransferTime) / kAssumedRowBytes, 1, kPageRows);
}

} // namespace

PartitionReader::PartitionReader(NodeContext& aContext,
                                 std::string aPartition,
                                 PoolBatchWriter& aWriter)
  : m_context(aContext)
  , m_partition(std::move(aPartition))
  , m_writer(aWriter)
{
}

void PartitionReader::ReadTable(const std::string& aTable,
                                RowsCallback aOnRows,
                                std::function<void()> aDone)
{
  ReadPage(m_reads.insert(m_reads.end(),
                          { aTable,
                            "",
                            "",
                            std::move(aOnRows),
                            std::move(aDone),
                            {},
                            {},
                            FirstPageRows(m_context),
                            {} }));
}

void PartitionReader::ReadValue(const std::string& aTable,
                                const std::string& aKey,
                                RowsCallback aOnRows)
{
  ReadPage(m_reads.insert(m_reads.end(),
                          { aTable,
                            aKey,
                            EndOfParts(aKey),
                            std::move(aOnRows),
                            [] {},
                            {},
                            {},
                            FirstPageRows(m_context),
                            {} }));
}

void PartitionReader::ReadPage(ReadIterator aRead)
{
  aRead->m_sentAt = LeaseClockNow();
  m_context.m_store.Read(
    { aRead->m_table, m_partition, aRead->m_from },
    aRead->m_until,
    kReadTimeout,
    [this, aRead, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (!alive.expired()) {
        OnPage(aRead, std::move(aPage));
      }
    },
    aRead->m_pageRows);
}

void PartitionReader::OnPage(ReadIterator aRead, Result<platform::RowPage> aPage)
{
  if (!aPage) {
    Log(LogCategory::Platform,
        LogLevel::Warning,
        "pool-read-failed",
        "pool",
        m_partition,
        "table",
        aRead->m_table,
        "rows",
        aRead->m_pageRows,
        "error",
        aPage.error().Text());
    aRead->m_pageRows = std::max<std::size_t>(1, aRead->m_pageRows / kPageDivisor);
    aRead->m_retryTimer =
      m_context.m_timers.After(kReadRetryDelay, [this, aRead] { ReadPage(aRead); });
    return;
  }
  if (LeaseClockNow() - aRead->m_sentAt <= kReadTimeout / kPageGrowth) {
    aRead->m_pageRows = std::min(kPageRows, aRead->m_pageRows * kPageGrowth);
  }
  platform::RowPage& page = aPage.value();
  const std::string next = page.m_rows.empty() ? "" : page.m_rows.back().m_rowId.m_key + '\0';
  m_writer.OnRowsRead(page.m_rows);
  std::vector<platform::Row> rows = aRead->m_joiner.Add(std::move(page.m_rows));
  const std::weak_ptr<int> alive = m_alive;
  aRead->m_onRows(rows);
  if (alive.expired()) {
    return;
  }
  if (page.m_hasMore && !next.empty()) {
    aRead->m_from = next;
    ReadPage(aRead);
    return;
  }
  aRead->m_joiner.Finish();
  const std::function<void()> done = std::move(aRead->m_done);
  m_reads.erase(aRead);
  done();
}

} // namespace mustardtray::node
