#include "node/PartitionReader.h"

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

constexpr Millis kReadTimeout{ 2'000 };
constexpr Micros kReadRetryDelay{ 150'000 };

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
                          { aTable, "", "", std::move(aOnRows), std::move(aDone), {}, {} }));
}

void PartitionReader::ReadValue(const std::string& aTable,
                                const std::string& aKey,
                                RowsCallback aOnRows)
{
  ReadPage(m_reads.insert(m_reads.end(),
                          { aTable, aKey, EndOfParts(aKey), std::move(aOnRows), [] {}, {}, {} }));
}

void PartitionReader::ReadPage(ReadIterator aRead)
{
  m_context.m_store.Read(
    { aRead->m_table, m_partition, aRead->m_from },
    aRead->m_until,
    kReadTimeout,
    [this, aRead, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (!alive.expired()) {
        OnPage(aRead, std::move(aPage));
      }
    });
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
        "error",
        aPage.error().Text());
    aRead->m_retryTimer =
      m_context.m_timers.After(kReadRetryDelay, [this, aRead] { ReadPage(aRead); });
    return;
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
