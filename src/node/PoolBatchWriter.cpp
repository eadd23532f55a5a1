#include "node/PoolBatchWriter.h"

#include <charconv>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// The store accepts 100 entries per transaction, of which two preconditions and the head are used
/// by every transaction.
constexpr std::size_t kMaxRowsPerTransaction = 90;
/// Half of what the store accepts in one call, since base64 makes values a third longer.
constexpr std::size_t kMaxBytesPerTransaction = 500'000;
/// Between transactions of one pool, to batch rows: calls to the store are rate-limited and
/// charged.
constexpr Millis kSendInterval{ 25 };
constexpr Millis kCommitTimeout{ 1'000 };
constexpr Micros kRetryDelay{ 100'000 };

std::uint64_t ParseSequence(const std::string& aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

} // namespace

PoolBatchWriter::PoolBatchWriter(NodeContext& aContext,
                                 std::string aPool,
                                 std::uint64_t aOwnerVersion,
                                 std::function<void()> aOnLost)
  : m_context(aContext)
  , m_pool(std::move(aPool))
  , m_ownerVersion(aOwnerVersion)
  , m_onLost(std::move(aOnLost))
{
}

void PoolBatchWriter::LoadHead(const std::vector<platform::Row>& aRows)
{
  if (!aRows.empty()) {
    m_headVersion = aRows[0].m_version;
    m_headSequence = ParseSequence(aRows[0].m_value);
  }
}

void PoolBatchWriter::Put(const std::string& aTable,
                          const std::string& aKey,
                          std::optional<std::string> aValue,
                          SavedCallback aSaved)
{
  if (m_isClosed) {
    aSaved(WriteOutcome::OwnershipLost);
    return;
  }
  PendingRow& row = m_pending[{ aTable, aKey }];
  row.m_value = std::move(aValue);
  row.m_callbacks.push_back(std::move(aSaved));
  ScheduleSend();
}

void PoolBatchWriter::ScheduleSend()
{
  if (m_isSending || m_isClosed || m_sendTimer.IsActive() || m_pending.empty()) {
    return;
  }
  const auto elapsed = std::chrono::duration_cast<Micros>(LeaseClockNow() - m_sentAt);
  const Micros delay = elapsed >= kSendInterval ? Micros{ 0 } : kSendInterval - elapsed;
  m_sendTimer = m_context.m_timers.After(delay, [this] {
    m_sendTimer.Cancel();
    SendBatch();
  });
}

void PoolBatchWriter::SendBatch()
{
  m_transaction = {};
  m_transaction.m_preconditions.push_back(
    { { kOwnerTable, m_pool, kSingleRowKey }, m_ownerVersion });
  m_transaction.m_preconditions.push_back({ { kHeadTable, m_pool, kSingleRowKey }, m_headVersion });
  m_transaction.m_writes.push_back(
    { { kHeadTable, m_pool, kSingleRowKey }, std::to_string(m_headSequence + 1) });
  std::size_t bytes = 0;
  std::size_t rows = 0;
  while (!m_pending.empty() && rows < kMaxRowsPerTransaction && bytes < kMaxBytesPerTransaction) {
    const auto first = m_pending.begin();
    const platform::RowId rowId{ first->first.first, m_pool, first->first.second };
    if (first->second.m_value) {
      bytes += first->second.m_value->size();
      m_transaction.m_writes.push_back({ rowId, std::move(*first->second.m_value) });
    } else {
      m_transaction.m_removals.push_back(rowId);
    }
    for (SavedCallback& callback : first->second.m_callbacks) {
      m_batchCallbacks.push_back(std::move(callback));
    }
    m_pending.erase(first);
    ++rows;
  }
  m_isSending = true;
  CommitTransaction();
}

void PoolBatchWriter::CommitTransaction()
{
  m_sentAt = LeaseClockNow();
  m_context.m_store.Commit(
    m_transaction,
    kCommitTimeout,
    [this, alive = std::weak_ptr<int>(m_alive)](Result<platform::TransactionResult> aResult) {
      if (!alive.expired()) {
        OnCommitResult(std::move(aResult));
      }
    });
}

void PoolBatchWriter::OnCommitResult(Result<platform::TransactionResult> aResult)
{
  if (m_isClosed) {
    return;
  }
  if (!aResult) {
    // Sends the same transaction again. The head row shows whether the lost one was applied.
    Log(LogCategory::Platform,
        LogLevel::Warning,
        "pool-write-retry",
        "pool",
        m_pool,
        "number",
        m_headSequence + 1,
        "error",
        aResult.error().Text());
    m_sendTimer = m_context.m_timers.After(kRetryDelay, [this] {
      m_sendTimer.Cancel();
      CommitTransaction();
    });
    return;
  }
  const platform::TransactionResult& result = aResult.value();
  if (result.m_isApplied) {
    OnSaved(result.m_version);
    return;
  }
  std::uint64_t ownerVersion = 0;
  std::uint64_t headVersion = 0;
  std::uint64_t headSequence = 0;
  for (const platform::Row& row : result.m_conflictingRows) {
    if (row.m_rowId.m_table == kOwnerTable) {
      ownerVersion = row.m_version;
    } else if (row.m_rowId.m_table == kHeadTable) {
      headVersion = row.m_version;
      headSequence = ParseSequence(row.m_value);
    }
  }
  if (ownerVersion != m_ownerVersion) {
    Log(LogCategory::Membership,
        LogLevel::Warning,
        "pool-owner-changed",
        "pool",
        m_pool,
        "own-version",
        m_ownerVersion,
        "stored-version",
        ownerVersion);
    HandleOwnershipLoss();
    return;
  }
  if (headSequence == m_headSequence + 1) {
    OnSaved(headVersion); // An earlier attempt whose response was lost was applied.
    return;
  }
  // This transaction was not applied, and the head is still the previous one.
  m_headVersion = headVersion;
  m_headSequence = headSequence;
  m_transaction.m_preconditions[1].m_version = headVersion;
  m_transaction.m_writes[0].m_value = std::to_string(headSequence + 1);
  CommitTransaction();
}

void PoolBatchWriter::OnSaved(std::uint64_t aHeadVersion)
{
  m_headVersion = aHeadVersion;
  ++m_headSequence;
  m_isSending = false;
  std::vector<SavedCallback> callbacks = std::move(m_batchCallbacks);
  m_batchCallbacks.clear();
  const std::weak_ptr<int> alive = m_alive;
  for (const SavedCallback& callback : callbacks) {
    callback(WriteOutcome::Saved);
    if (alive.expired()) {
      return;
    }
  }
  ScheduleSend();
}

void PoolBatchWriter::Close()
{
  if (!m_isClosed) {
    m_isClosed = true;
    m_sendTimer.Cancel();
    std::vector<SavedCallback> callbacks = std::move(m_batchCallbacks);
    for (auto& [name, row] : m_pending) {
      for (SavedCallback& callback : row.m_callbacks) {
        callbacks.push_back(std::move(callback));
      }
    }
    m_pending.clear();
    m_batchCallbacks.clear();
    for (const SavedCallback& callback : callbacks) {
      callback(WriteOutcome::OwnershipLost);
    }
  }
}

void PoolBatchWriter::HandleOwnershipLoss()
{
  const std::function<void()> onLost = m_onLost;
  Close();
  onLost();
}

} // namespace mustardtray::node
