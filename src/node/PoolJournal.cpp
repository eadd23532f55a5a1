#include "node/PoolJournal.h"

#include <charconv>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// The store accepts 100 entries per transaction, of which two preconditions and the head are used
/// by every transaction.
constexpr std::size_t kMaxRows = 90;
/// Half of what the store accepts in one call, since base64 makes values a third longer.
constexpr std::size_t kMaxBytes = 500'000;
/// Between transactions of one pool, to batch rows: calls to the store are rate-limited and
/// charged.
constexpr Millis kSendInterval{ 25 };
constexpr Millis kCommitTimeout{ 1'000 };
constexpr Micros kRetryDelay{ 100'000 };

std::uint64_t ParseNumber(const std::string& aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

} // namespace

PoolJournal::PoolJournal(NodeContext& aContext,
                         std::string aPool,
                         std::uint64_t aOwnerVersion,
                         std::function<void()> aOnLost)
  : m_context(aContext)
  , m_pool(std::move(aPool))
  , m_ownerVersion(aOwnerVersion)
  , m_onLost(std::move(aOnLost))
{
}

void PoolJournal::SetHead(const std::vector<platform::Row>& aRows)
{
  if (!aRows.empty()) {
    m_headVersion = aRows[0].m_version;
    m_headNumber = ParseNumber(aRows[0].m_value);
  }
}

void PoolJournal::Put(const std::string& aTable,
                      const std::string& aKey,
                      std::optional<std::string> aValue,
                      SavedCallback aSaved)
{
  if (m_isClosed) {
    aSaved(JournalOutcome::OwnershipLost);
    return;
  }
  PendingRow& row = m_pending[{ aTable, aKey }];
  row.m_value = std::move(aValue);
  row.m_callbacks.push_back(std::move(aSaved));
  ScheduleSend();
}

void PoolJournal::ScheduleSend()
{
  if (m_isSending || m_isClosed || m_timer.IsActive() || m_pending.empty()) {
    return;
  }
  const auto since = std::chrono::duration_cast<Micros>(LeaseClockNow() - m_sentAt);
  const Micros delay = since >= kSendInterval ? Micros{ 0 } : kSendInterval - since;
  m_timer = m_context.m_timers.After(delay, [this] {
    m_timer.Cancel();
    Send();
  });
}

void PoolJournal::Send()
{
  m_transaction = {};
  m_transaction.m_expect.push_back({ { kOwnerTable, m_pool, kSingleKey }, m_ownerVersion });
  m_transaction.m_expect.push_back({ { kHeadTable, m_pool, kSingleKey }, m_headVersion });
  m_transaction.m_writes.push_back(
    { { kHeadTable, m_pool, kSingleKey }, std::to_string(m_headNumber + 1) });
  std::size_t bytes = 0;
  std::size_t rows = 0;
  while (!m_pending.empty() && rows < kMaxRows && bytes < kMaxBytes) {
    const auto first = m_pending.begin();
    const platform::RowKey at{ first->first.first, m_pool, first->first.second };
    if (first->second.m_value) {
      bytes += first->second.m_value->size();
      m_transaction.m_writes.push_back({ at, std::move(*first->second.m_value) });
    } else {
      m_transaction.m_removals.push_back(at);
    }
    for (SavedCallback& callback : first->second.m_callbacks) {
      m_sentCallbacks.push_back(std::move(callback));
    }
    m_pending.erase(first);
    ++rows;
  }
  m_isSending = true;
  Transmit();
}

void PoolJournal::Transmit()
{
  m_sentAt = LeaseClockNow();
  m_context.m_store.Commit(
    m_transaction,
    kCommitTimeout,
    [this, alive = std::weak_ptr<int>(m_alive)](Result<platform::TransactionResult> aResult) {
      if (!alive.expired()) {
        OnAnswer(std::move(aResult));
      }
    });
}

void PoolJournal::OnAnswer(Result<platform::TransactionResult> aResult)
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
        m_headNumber + 1,
        "error",
        aResult.error().Text());
    m_timer = m_context.m_timers.After(kRetryDelay, [this] {
      m_timer.Cancel();
      Transmit();
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
  std::uint64_t headNumber = 0;
  for (const platform::Row& row : result.m_conflicting) {
    if (row.m_at.m_table == kOwnerTable) {
      ownerVersion = row.m_version;
    } else if (row.m_at.m_table == kHeadTable) {
      headVersion = row.m_version;
      headNumber = ParseNumber(row.m_value);
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
    LoseOwnership();
    return;
  }
  if (headNumber == m_headNumber + 1) {
    OnSaved(headVersion); // An earlier attempt whose response was lost was applied.
    return;
  }
  // This transaction was not applied, and the head is still the previous one.
  m_headVersion = headVersion;
  m_headNumber = headNumber;
  m_transaction.m_expect[1].m_version = headVersion;
  m_transaction.m_writes[0].m_value = std::to_string(headNumber + 1);
  Transmit();
}

void PoolJournal::OnSaved(std::uint64_t aHeadVersion)
{
  m_headVersion = aHeadVersion;
  ++m_headNumber;
  m_isSending = false;
  std::vector<SavedCallback> callbacks = std::move(m_sentCallbacks);
  m_sentCallbacks.clear();
  const std::weak_ptr<int> alive = m_alive;
  for (const SavedCallback& callback : callbacks) {
    callback(JournalOutcome::Saved);
    if (alive.expired()) {
      return;
    }
  }
  ScheduleSend();
}

void PoolJournal::Close()
{
  if (!m_isClosed) {
    m_isClosed = true;
    m_timer.Cancel();
    std::vector<SavedCallback> callbacks = std::move(m_sentCallbacks);
    for (auto& [name, row] : m_pending) {
      for (SavedCallback& callback : row.m_callbacks) {
        callbacks.push_back(std::move(callback));
      }
    }
    m_pending.clear();
    m_sentCallbacks.clear();
    for (const SavedCallback& callback : callbacks) {
      callback(JournalOutcome::OwnershipLost);
    }
  }
}

void PoolJournal::LoseOwnership()
{
  const std::function<void()> onLost = m_onLost;
  Close();
  onLost();
}

} // namespace mustardtray::node
