#pragma once

/// Writes the store's rows of one pool in batches; only the pool's owner writes them. Each
/// transaction requires the current owner row, so that a former owner's write fails, and the number
/// of the latest transaction, so that a write that the store applies late cannot undo a newer one.
/// Values that are longer than a row are split; see RowParts.h.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "node/NodeContext.h"

namespace mustardtray::node {

enum class WriteOutcome
{
  Saved,
  OwnershipLost, ///< Another node owns the pool. The write may or may not have been applied.
  Rejected,      ///< The store does not take the row. The write has not been applied.
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
  /// Called with the rows of a read, to remember the rows of values with several parts.
  void OnRowsRead(const std::vector<platform::Row>& aRows);
  /// Writes a row, or removes it when the value is std::nullopt. A later write of the same row
  /// replaces one that has not been sent. The callback runs when the write is stored, when
  /// ownership is lost, or when the store cannot take the row.
  void Put(const std::string& aTable,
           const std::string& aKey,
           std::optional<std::string> aValue,
           SavedCallback aSaved);
  /// Version of the latest transaction of this owner. It is higher than the tokens of earlier
  /// claims, and lower than those of later ones.
  std::uint64_t LatestVersion() const { return std::max(m_ownerVersion, m_headVersion); }
  bool IsIdle() const { return m_pending.empty() && !m_isSending; }
  /// Stops without further calls to the store and drops pending writes; their callbacks get
  /// OwnershipLost.
  void Close();

private:
  struct PendingRow
  {
    std::optional<std::string> m_value;
    std::vector<SavedCallback> m_callbacks;
    std::size_t m_parts = 0; ///< Rows of the value; set when it is sent.
  };
  using RowName = std::pair<std::string, std::string>; ///< Table and key.

  void ScheduleSend();
  void SendBatch();
  /// Moves pending rows that fit into one transaction to the batch.
  void FillBatch();
  void AddToTransaction(const RowName& aName, const PendingRow& aRow);
  /// Number of rows that the store has for the value.
  std::size_t StoredParts(const RowName& aName) const;
  void CommitTransaction();
  void OnCommitResult(Result<platform::TransactionResult> aResult);
  void OnSaved(std::uint64_t aHeadVersion);
  /// Called when the store will never take the transaction: finds the row at fault and gives it up,
  /// so that the other rows are stored.
  void OnRejected(const Error& aError);
  /// Runs the callbacks of rows. Returns whether this object still exists.
  bool RunCallbacks(const std::vector<SavedCallback>& aCallbacks, WriteOutcome aOutcome);
  void HandleOwnershipLoss();

  NodeContext& m_context;
  std::string m_pool;
  std::uint64_t m_ownerVersion;
  std::function<void()> m_onLost;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::map<RowName, PendingRow> m_pending;
  std::vector<std::pair<RowName, PendingRow>> m_batch; ///< Rows of the transaction that is sent.
  std::map<RowName, std::size_t> m_storedParts;        ///< Of values with several rows.
  /// Transactions to send with one row each, since the store rejected one that had all of them.
  std::size_t m_singleRowTransactions = 0;
  std::set<RowName> m_rejectedRows; ///< Not saved since they were rejected.
  bool m_wasRejectedTurn = false;   ///< The latest transaction had one of them.
  std::uint64_t m_headVersion = 0;
  std::uint64_t m_headSequence = 0;
  bool m_isSending = false;
  bool m_isClosed = false;
  platform::Transaction m_transaction;
  TimerHandle m_sendTimer;
  TimePoint m_sentAt{};
};

} // namespace mustardtray::node
