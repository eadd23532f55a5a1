#include "node/TableFollower.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// A healthy store answers a read within milliseconds.
constexpr Millis kReadTimeout{ 1'000 };
/// Time beyond the requested wait after which the connection counts as broken.
constexpr Millis kFollowSlack{ 600 };
constexpr Micros kRetryDelay{ 200'000 };

} // namespace

TableFollower::TableFollower(NodeContext& aContext,
                             FollowerOptions aOptions,
                             RowsCallback aCallback)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_callback(std::move(aCallback))
{
  ReadAll();
}

TableFollower::~TableFollower() = default;

void TableFollower::RetryLater(const Error& aError)
{
  if (!m_isLost) {
    m_isLost = true;
    Log(LogCategory::Platform,
        LogLevel::Warning,
        "store-unreachable",
        "table",
        m_options.m_table,
        "error",
        aError.Text());
  }
  m_retry = m_context.m_timers.After(kRetryDelay, [this] {
    if (m_isCurrent) {
      Follow();
    } else {
      ReadAll();
    }
  });
}

void TableFollower::ReadAll()
{
  m_rows.clear();
  m_partsLeft.clear();
  m_version = 0;
  if (m_options.m_hasSinglePart) {
    m_partsLeft.emplace_back();
    ReadNextPart();
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
        RetryLater(aPage.error());
        return;
      }
      m_version = aPage.value().m_version;
      m_context.m_store.Parts(m_options.m_table,
                              "",
                              kReadTimeout,
                              [this, alive](Result<std::vector<std::string>> aParts) {
                                if (alive.expired()) {
                                  return;
                                }
                                if (!aParts) {
                                  RetryLater(aParts.error());
                                  return;
                                }
                                m_partsLeft = std::move(aParts.value());
                                ReadNextPart();
                              });
    });
}

void TableFollower::ReadNextPart()
{
  if (m_partsLeft.empty()) {
    m_isCurrent = true;
    const std::vector<platform::Row> rows = std::move(m_rows);
    m_rows.clear();
    m_callback(rows, true);
    Follow();
    return;
  }
  const std::string part = m_partsLeft.back();
  m_partsLeft.pop_back();
  ReadPart(part, "");
}

void TableFollower::ReadPart(const std::string& aPart, const std::string& aFrom)
{
  m_context.m_store.Read(
    { m_options.m_table, aPart, aFrom },
    "",
    kReadTimeout,
    [this, aPart, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      if (!aPage) {
        RetryLater(aPage.error());
        return;
      }
      platform::RowPage& page = aPage.value();
      if (m_version == 0) {
        m_version = page.m_version;
      }
      m_rows.insert(m_rows.end(), page.m_rows.begin(), page.m_rows.end());
      if (page.m_hasMore && !page.m_rows.empty()) {
        ReadPart(aPart, page.m_rows.back().m_at.m_key + '\0');
      } else {
        ReadNextPart();
      }
    });
}

void TableFollower::Follow()
{
  m_context.m_store.Follow(
    m_options.m_table,
    m_version,
    m_options.m_wait,
    m_options.m_wait + kFollowSlack,
    [this, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      if (!aPage) {
        RetryLater(aPage.error());
        return;
      }
      if (m_isLost) {
        m_isLost = false;
        Log(LogCategory::Platform, LogLevel::Info, "store-reachable", "table", m_options.m_table);
      }
      const platform::RowPage& page = aPage.value();
      if (page.m_isHistoryGone) {
        m_isCurrent = false;
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
      m_callback(page.m_rows, false);
      if (alive.expired()) {
        return;
      }
      if (m_options.m_pause.count() > 0) {
        m_retry = m_context.m_timers.After(m_options.m_pause, [this] { Follow(); });
      } else {
        Follow();
      }
    });
}

} // namespace mustardtray::node
