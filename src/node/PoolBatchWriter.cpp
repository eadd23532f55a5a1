#include "node/PoolBatchWriter.h"

#include <algorithm>
#include <charconv>
#include <iterator>

#include "mustardtray/process/Log.h"
#include "node/RowParts.h"

namespace mustardtray::node {

namespace {

/// Between transactions of one pool, to batch rows: calls to the store are rate-limited and
/// charged.
constexpr Millis kSendInterval{ 25 };
constexpr Millis kCommitTimeout{ 1'000 };
constexpr Micros kRetryDelay{ 100'000 };
/// Part of the time-out that the values of a batch may take on the node's link, since they are sent
/// in an encoding that is a third longer and beside other calls.
constexpr Millis kBatchTransferTime = kCommitTimeout / 4;

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

void PoolBatchWriter::OnRowsRead(const std::vector<platform::Row>& aRows)
{
  for (const platform::Row& row : aRows) {
    if (const std::optional<PartKey> part = ParsePartKey(row.m_rowId.m_key)) {
      std::size_t& parts = m_storedParts[{ row.m_rowId.m_table, part->m_key }];
      parts = std::max(parts, part->m_part + 1);
    }
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
  if (aValue && aValue->size() > MaxValueBytes(m_context.m_settings.m_maxRowBytes)) {
    Log(LogCategory::Platform,
        LogLevel::Error,
        "row-too-long",
        "pool",
        m_pool,
        "table",
        aTable,
        "key",
        aKey,
        "bytes",
        aValue->size());
    aSaved(WriteOutcome::Rejected);
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

std::size_t PoolBatchWriter::StoredParts(const RowName& aName) const
{
  const auto found = m_storedParts.find(aName);
  return found == m_storedParts.end() ? 1 : found->second;
}

void PoolBatchWriter::FillBatch()
{
  const std::size_t partBytes = MaxPartBytes(m_context.m_settings.m_maxRowBytes);
  const std::size_t maxBytes =
    std::min(kMaxBytesPerTransaction, LinkBytes(m_context, kBatchTransferTime));
  std::size_t bytes = 0;
  std::size_t rows = 0;
  const auto isRejected = [this](const auto& aEntry) {
    return m_rejectedRows.contains(aEntry.first);
  };
  const auto firstRejected = std::find_if(m_pending.begin(), m_pending.end(), isRejected);
  const bool hasOther = !std::all_of(m_pending.begin(), m_pending.end(), isRejected);
  // Rows that were rejected before take turns with the others and are sent one by one.
  const bool isRejectedTurn = firstRejected != m_pending.end() && !(m_wasRejectedTurn && hasOther);
  m_wasRejectedTurn = isRejectedTurn;
  for (auto next = isRejectedTurn ? firstRejected : m_pending.begin(); next != m_pending.end();) {
    const auto first = next++;
    if (!isRejectedTurn && isRejected(*first)) {
      continue;
    }
    PendingRow& row = first->second;
    const std::size_t valueBytes = row.m_value ? row.m_value->size() : 0;
    row.m_parts = row.m_value ? CountParts(valueBytes, partBytes) : 0;
    const std::size_t changedRows = std::max(row.m_parts, StoredParts(first->first));
    const bool isFull = rows + changedRows > kMaxRowsPerTransaction ||
                        bytes + valueBytes > maxBytes || m_singleRowTransactions > 0;
    if (!m_batch.empty() && isFull) {
      break;
    }
    bytes += valueBytes;
    rows += changedRows;
    m_batch.emplace_back(first->first, std::move(row));
    m_pending.erase(first);
    if (isRejectedTurn) {
      break;
    }
  }
  m_singleRowTransactions -= m_singleRowTransactions > 0 ? 1 : 0;
}

void PoolBatchWriter::AddToTransaction(const RowName& aName, const PendingRow& aRow)
{
  const platform::RowId rowId{ aName.first, m_pool, aName.second };
  if (aRow.m_value) {
    const std::size_t partBytes = MaxPartBytes(m_context.m_settings.m_maxRowBytes);
    for (platform::RowWrite& write : SplitValue(rowId, *aRow.m_value, partBytes)) {
      m_transaction.m_writes.push_back(std::move(write));
    }
  } else {
    m_transaction.m_removals.push_back(rowId);
  }
  for (std::size_t part = std::max<std::size_t>(1, aRow.m_parts); part < StoredParts(aName);
       ++part) {
    m_transaction.m_removals.push_back(PartRowId(rowId, part));
  }
}

void PoolBatchWriter::SendBatch()
{
  m_transaction = {};
  m_transaction.m_priority = CallPriority::High;
  m_transaction.m_preconditions.push_back(
    { { kOwnerTable, m_pool, kSingleRowKey }, m_ownerVersion });
  m_transaction.m_preconditions.push_back({ { kHeadTable, m_pool, kSingleRowKey }, m_headVersion });
  m_transaction.m_writes.push_back(
    { { kHeadTable, m_pool, kSingleRowKey }, std::to_string(m_headSequence + 1) });
  FillBatch();
  for (const auto& [name, row] : m_batch) {
    AddToTransaction(name, row);
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
  if (!aResult && aResult.error().m_kind == ErrorKind::Invalid) {
    OnRejected(aResult.error());
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
  std::vector<SavedCallback> callbacks;
  for (auto& [name, row] : m_batch) {
    m_rejectedRows.erase(name);
    if (row.m_parts > 1) {
      m_storedParts[name] = row.m_parts;
    } else {
      m_storedParts.erase(name);
    }
    std::move(row.m_callbacks.begin(), row.m_callbacks.end(), std::back_inserter(callbacks));
  }
  m_batch.clear();
  if (RunCallbacks(callbacks, WriteOutcome::Saved)) {
    ScheduleSend();
  }
}

void PoolBatchWriter::OnRejected(const Error& aError)
{
  std::vector<std::pair<RowName, PendingRow>> batch = std::move(m_batch);
  m_batch.clear();
  m_isSending = false;
  if (batch.size() == 1) {
    const auto& [name, row] = batch[0];
    m_rejectedRows.insert(name);
    Log(LogCategory::Platform,
        LogLevel::Error,
        "row-rejected",
        "pool",
        m_pool,
        "table",
        name.first,
        "key",
        name.second,
        "bytes",
        row.m_value ? row.m_value->size() : 0,
        "error",
        aError.Text());
    if (RunCallbacks(row.m_callbacks, WriteOutcome::Rejected)) {
      ScheduleSend();
    }
    return;
  }
  Log(LogCategory::Platform,
      LogLevel::Error,
      "pool-write-rejected",
      "pool",
      m_pool,
      "rows",
      batch.size(),
      "error",
      aError.Text());
  m_singleRowTransactions = batch.size();
  for (auto& [name, row] : batch) {
    PendingRow& pending = m_pending[name];
    if (pending.m_callbacks.empty()) {
      pending.m_value = std::move(row.m_value);
    }
    pending.m_callbacks.insert(
      pending.m_callbacks.begin(), row.m_callbacks.begin(), row.m_callbacks.end());
  }
  ScheduleSend();
}

bool PoolBatchWriter::RunCallbacks(const std::vector<SavedCallback>& aCallbacks,
                                   WriteOutcome aOutcome)
{
  const std::weak_ptr<int> alive = m_alive;
  for (const SavedCallback& callback : aCallbacks) {
    callback(aOutcome);
    if (alive.expired()) {
      return false;
    }
  }
  return true;
}

void PoolBatchWriter::Close()
{
  if (!m_isClosed) {
    m_isClosed = true;
    m_sendTimer.Cancel();
    std::vector<SavedCallback> callbacks;
    for (auto& [name, row] : m_batch) {
      std::move(row.m_callbacks.begin(), row.m_callbacks.end(), std::back_inserter(callbacks));
    }
    for (auto& [name, row] : m_pending) {
      std::move(row.m_callbacks.begin(), row.m_callbacks.end(), std::back_inserter(callbacks));
    }
    m_pending.clear();
    m_batch.clear();
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
