#pragma once

/// Reads tables of one partition of the store page by page, and repeats reads that fail with
/// smaller pages.

#include <functional>
#include <list>
#include <string>
#include <vector>

#include "node/NodeContext.h"
#include "node/PoolBatchWriter.h"
#include "node/RowParts.h"

namespace mustardtray::node {

class PartitionReader
{
public:
  using RowsCallback = std::function<void(std::vector<platform::Row>&)>;

  /// aWriter: writes the rows that are read here.
  PartitionReader(NodeContext& aContext, std::string aPartition, PoolBatchWriter& aWriter);

  /// Reads all rows of a table. aOnRows gets the rows of each page, with the parts of long values
  /// joined.
  void ReadTable(const std::string& aTable, RowsCallback aOnRows, std::function<void()> aDone);
  /// Reads the value of a key, which may have several parts. aOnRows gets no row when there is
  /// none.
  void ReadValue(const std::string& aTable, const std::string& aKey, RowsCallback aOnRows);

private:
  struct PendingRead
  {
    std::string m_table;
    std::string m_from;
    std::string m_until; ///< Empty: up to the end of the table.
    RowsCallback m_onRows;
    std::function<void()> m_done;
    RowJoiner m_joiner;
    TimerHandle m_retryTimer;
    std::size_t m_pageRows = 0; ///< Most rows of the next page.
    TimePoint m_sentAt{};       ///< When the latest call was sent.
  };
  using ReadIterator = std::list<PendingRead>::iterator;

  void ReadPage(ReadIterator aRead);
  void OnPage(ReadIterator aRead, Result<platform::RowPage> aPage);

  NodeContext& m_context;
  std::string m_partition;
  PoolBatchWriter& m_writer;
  std::list<PendingRead> m_reads;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mustardtray::node
