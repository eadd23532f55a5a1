#pragma once

/// Writes the store's rows of one pool in batches; only the pool's owner writes them. Each
/// transaction requires the current owner row, so that a former owner's write fails, and the number
/// of the latest transaction, so that a write that the store applies late cannot undo a newer one.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "node/NodeContext.h"

namespace mustardtray::node {

enum class WriteOutcome
{
  Saved,
  OwnershipLost, ///< Another node owns the pool. The write may or may not have been applied.
};

class PoolBatchWriter
{
public:
  using SavedCallback = std::function<void(WriteOutcome)>;

  /// aOwnerVersion: version of the owner row that this node wrote.
  PoolBatchWriter(NodeContext& aContext,
                  std::string aPool,
                  std::uint64_t aOwnerVersion,
                  std::function<void()> aOnLost);

  /// Continues the numbering of earlier owners. aRows: rows of the head table; empty when nothing
  /// has been written yet.
  void LoadHead(const std::vector<platform::Row>& aRows);
  /// Writes a row, or removes it when the value is std::nullopt. A later write of the same row
  /// replaces one that has not been sent. The callback runs when the write is stored or when
  /// ownership is lost.
  void Put(const std::string& aTable,
           const std::string& aKey,
           std::optional<std::string> aValue,
           SavedCallback aSaved);
  bool IsIdle() const { return m_pending.empty() && !m_isSending; }
  /// Stops without further calls to the store and drops pending writes; their callbacks get
  /// OwnershipLost.
  void Close();

private:
  struct PendingRow
  {
    std::optional<std::string> m_value;
    std::vector<SavedCallback> m_callbacks;
  };
  using RowName = std::pair<std::string, std::string>; ///< Table and key.

  void ScheduleSend();
  void SendBatch();
  void CommitTransaction();
  void OnCommitResult(Result<platform::TransactionResult> aResult);
  void OnSaved(std::uint64_t aHeadVersion);
  void HandleOwnershipLoss();

  NodeContext& m_context;
  std::string m_pool;
  std::uint64_t m_ownerVersion;
  std::function<void()> m_onLost;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::map<RowName, PendingRow> m_pending;
  std::uint64_t m_headVersion = 0;
  std::uint64_t m_headSequence = 0;
  bool m_isSending = false;
  bool m_isClosed = false;
  platform::Transaction m_transaction;
  std::vector<SavedCallback> m_batchCallbacks;
  TimerHandle m_sendTimer;
  TimePoint m_sentAt{};
};

} // namespace mustardtray::node
