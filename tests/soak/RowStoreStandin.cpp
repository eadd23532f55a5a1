#include "tests/soak/RowStoreStandin.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "platform/Base64.h"
#include "standin/StandinJson.h"

namespace mustardtray::soak {

namespace {

constexpr Micros kSlowResponseDelay{ 350'000 };
constexpr Micros kLateWriteDelay{ 2'500'000 };
constexpr std::size_t kMaxHistoryRows = 5'000;
constexpr int kPreconditionFailed = 412;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;

std::uint64_t ParseNumber(const std::optional<std::string>& aText)
{
  std::uint64_t value = 0;
  if (aText) {
    std::from_chars(aText->data(), aText->data() + aText->size(), value);
  }
  return value;
}

} // namespace

RowStoreStandin::RowStoreStandin(asio::io_context& aContext, TimerService& aTimers)
  : m_timers(aTimers)
  , m_server(aContext, "127.0.0.1", 0, [this](const std::shared_ptr<StandinExchange>& aExchange) {
    Handle(aExchange);
  })
{
  static_cast<void>(m_server.Listen());
}

void RowStoreStandin::Put(const std::string& aTable,
                          const std::string& aKey,
                          const std::string& aValue)
{
  ++m_version;
  Apply({ aTable, "", aKey, platform::EncodeBase64(aValue), m_version, false });
  ServeWaitingFeeds();
}

void RowStoreStandin::PutWithoutHistory(const std::string& aTable,
                                        const std::string& aPartition,
                                        const std::string& aKey,
                                        const std::string& aValue)
{
  ++m_version;
  Apply({ aTable, aPartition, aKey, platform::EncodeBase64(aValue), m_version, false });
  m_history.clear();
}

void RowStoreStandin::Remove(const std::string& aTable, const std::string& aKey)
{
  ++m_version;
  Apply({ aTable, "", aKey, "", m_version, true });
  ServeWaitingFeeds();
}

std::string RowStoreStandin::Value(const std::string& aTable,
                                   const std::string& aPartition,
                                   const std::string& aKey) const
{
  const auto row = m_rows.find({ aTable, aPartition, aKey });
  return row == m_rows.end() || row->second.m_isDeleted
           ? std::string{}
           : platform::DecodeBase64(row->second.m_value);
}

bool RowStoreStandin::CountRead()
{
  const TimePoint now = MonotonicNow();
  if (now - m_secondBeganAt >= Millis(1'000)) {
    m_secondBeganAt = now;
    m_readsInSecond = 0;
  }
  ++m_readsInSecond;
  const bool isAllowed = m_maxReadsPerSecond == 0 || m_readsInSecond <= m_maxReadsPerSecond;
  m_refusedReads += isAllowed ? 0 : 1;
  return isAllowed;
}

void RowStoreStandin::Handle(const std::shared_ptr<StandinExchange>& aExchange)
{
  const bool isWrite = aExchange->Request().m_method == "POST";
  if (!isWrite && !CountRead()) {
    SendError(*aExchange, kTooManyRequests, "too many reads");
    return;
  }
  switch (m_fault) {
    case StoreFault::Busy:
      SendError(*aExchange, 503, "busy");
      return;
    case StoreFault::Closing:
      aExchange->Close();
      return;
    case StoreFault::Unresponsive:
      m_delayTimers.push_back(m_timers.After(Micros{ 60'000'000 }, [aExchange] {}));
      return;
    case StoreFault::Slow:
      m_delayTimers.push_back(
        m_timers.After(kSlowResponseDelay, [this, aExchange] { Dispatch(aExchange); }));
      return;
    case StoreFault::ResponsesLost:
      if (isWrite && ++m_writeCount % 2 == 0) {
        Commit(aExchange->Request().m_body);
        aExchange->Close();
        return;
      }
      break;
    case StoreFault::WritesLate:
      if (isWrite && ++m_writeCount % 2 == 0) {
        m_delayTimers.push_back(m_timers.After(
          kLateWriteDelay, [this, body = aExchange->Request().m_body] { Commit(body); }));
        aExchange->Close();
        return;
      }
      break;
    case StoreFault::None:
      break;
  }
  Dispatch(aExchange);
}

void RowStoreStandin::Dispatch(const std::shared_ptr<StandinExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.m_path == "/-/rows-tx") {
    aExchange->SendResponse(Commit(request.m_body));
  } else if (request.m_path == "/-/rows-get") {
    m_onRead(request.QueryValue("table").value_or(""));
    SendAtReadSpeed(aExchange, Read(request));
  } else if (request.m_path == "/-/rows-parts") {
    aExchange->SendResponse(ListPartitions(request));
  } else if (request.m_path == "/-/rows-feed") {
    ReadFeed(aExchange);
  } else {
    SendError(*aExchange, 404, "no such call");
  }
}

bool RowStoreStandin::HasRefusedRow(const Json& aTransaction) const
{
  const Json writes = aTransaction.value("writes", Json::array());
  return std::any_of(writes.begin(), writes.end(), [&](const Json& aRow) {
    return (!m_refusedKey.empty() && aRow.at("key") == m_refusedKey) ||
           platform::DecodeBase64(aRow.at("value").get<std::string>()).size() > m_maxRowBytes;
  });
}

HttpResponse RowStoreStandin::Commit(const std::string& aBody)
{
  const Json transaction = Json::parse(aBody, nullptr, false);
  if (!transaction.is_object() || HasRefusedRow(transaction)) {
    ++m_refusedTransactions;
    return JsonResponse(400, "{}");
  }
  const auto name = [](const Json& aRow) {
    return RowName{ aRow.at("table"), aRow.value("part", std::string{}), aRow.at("key") };
  };
  bool isConflict = false;
  Json current = Json::array();
  for (const Json& row : transaction.at("expect")) {
    const auto found = m_rows.find(name(row));
    const std::uint64_t version = found == m_rows.end() ? 0 : found->second.m_version;
    isConflict = isConflict || version != row.at("ver").get<std::uint64_t>();
    if (found != m_rows.end()) {
      current.push_back(ToJson(found->second));
    }
  }
  if (isConflict) {
    return JsonResponse(kPreconditionFailed, MakeBody(std::move(current)).dump());
  }
  ++m_version;
  for (const Json& row : transaction.value("writes", Json::array())) {
    const auto [table, partition, key] = name(row);
    if (table == "op" || table == "servers") {
      return JsonResponse(403, "{}");
    }
    Apply({ table, partition, key, row.at("value"), m_version, false });
  }
  for (const Json& row : transaction.value("remove", Json::array())) {
    const auto [table, partition, key] = name(row);
    Apply({ table, partition, key, "", m_version, true });
  }
  ServeWaitingFeeds();
  return JsonResponse(200, MakeBody(Json::array()).dump());
}

HttpResponse RowStoreStandin::Read(const HttpRequest& aRequest) const
{
  const std::string table = aRequest.QueryValue("table").value_or("");
  const std::string partition = aRequest.QueryValue("part").value_or("");
  const std::string from = aRequest.QueryValue("from").value_or("");
  const std::string until = aRequest.QueryValue("target").value_or("");
  const std::uint64_t limit = ParseNumber(aRequest.QueryValue("limit"));
  Json rows = Json::array();
  bool hasMore = false;
  for (auto row = m_rows.lower_bound({ table, partition, from }); row != m_rows.end(); ++row) {
    const auto& [rowTable, rowPartition, rowKey] = row->first;
    if (rowTable != table || rowPartition != partition || (!until.empty() && rowKey >= until)) {
      break;
    }
    hasMore = limit > 0 && rows.size() >= limit;
    if (hasMore) {
      break;
    }
    rows.push_back(ToJson(row->second));
  }
  Json responseBody = MakeBody(std::move(rows));
  responseBody["has_more"] = hasMore;
  return JsonResponse(200, responseBody.dump());
}

void RowStoreStandin::SendAtReadSpeed(const std::shared_ptr<StandinExchange>& aExchange,
                                      HttpResponse aResponse)
{
  if (m_readSpeed == 0) {
    aExchange->SendResponse(std::move(aResponse));
    return;
  }
  const Millis transfer(aResponse.m_body.size() * 1'000 / m_readSpeed);
  m_delayTimers.push_back(
    m_timers.After(transfer, [aExchange, response = std::move(aResponse)]() mutable {
      aExchange->SendResponse(std::move(response));
    }));
}

HttpResponse RowStoreStandin::ListPartitions(const HttpRequest& aRequest) const
{
  const std::string table = aRequest.QueryValue("table").value_or("");
  const std::string after = aRequest.QueryValue("after").value_or("");
  std::set<std::string> partitions;
  for (const auto& [name, row] : m_rows) {
    const std::string& partition = std::get<1>(name);
    const bool isListed = std::get<0>(name) == table && (after.empty() || partition > after);
    if (isListed && partitions.size() < m_maxListedPartitions) {
      partitions.insert(partition); // The rows are in the order of their partitions.
    }
  }
  Json responseBody = MakeBody(Json::array());
  responseBody["parts"] = partitions;
  return JsonResponse(200, responseBody.dump());
}

void RowStoreStandin::ReadFeed(const std::shared_ptr<StandinExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  WaitingFeed feed;
  feed.m_exchange = aExchange;
  feed.m_table = request.QueryValue("table").value_or("");
  feed.m_afterVersion = ParseNumber(request.QueryValue("after"));
  const std::uint64_t oldest = m_history.empty() ? m_version : m_history.front().m_version - 1;
  if (feed.m_afterVersion < oldest) {
    SendError(*aExchange, kGone, "history is gone");
    return;
  }
  if (SendFeedResponse(feed, false)) {
    return;
  }
  const auto wait = Millis(static_cast<Millis::rep>(ParseNumber(request.QueryValue("wait_ms"))));
  const auto entry = m_waitingFeeds.insert(m_waitingFeeds.end(), std::move(feed));
  entry->m_timeout = m_timers.After(wait, [this, entry] {
    const WaitingFeed expiredFeed = std::move(*entry);
    m_waitingFeeds.erase(entry);
    SendFeedResponse(expiredFeed, true);
  });
}

bool RowStoreStandin::SendFeedResponse(const WaitingFeed& aFeed, bool aMustRespond) const
{
  Json rows = Json::array();
  std::uint64_t version = m_version; // From which the reader continues.
  std::uint64_t lastVersion = 0;
  for (const Row& row : m_history) {
    if (row.m_version <= aFeed.m_afterVersion || row.m_table != aFeed.m_table) {
      continue;
    }
    const bool isFull = m_maxRowsPerFeed > 0 && rows.size() >= m_maxRowsPerFeed;
    if (isFull && row.m_version > lastVersion) {
      version = lastVersion;
      break;
    }
    rows.push_back(ToJson(row));
    lastVersion = row.m_version;
  }
  if (rows.empty() && !aMustRespond) {
    return false;
  }
  Json body = MakeBody(std::move(rows));
  body["ver"] = version;
  SendJson(*aFeed.m_exchange, 200, body);
  return true;
}

void RowStoreStandin::Apply(Row aRow)
{
  const RowName name{ aRow.m_table, aRow.m_partition, aRow.m_key };
  if (aRow.m_isDeleted) {
    m_rows.erase(name);
  } else {
    m_rows[name] = aRow;
  }
  m_history.push_back(std::move(aRow));
  if (m_history.size() > kMaxHistoryRows) {
    m_history.pop_front();
  }
}

void RowStoreStandin::ServeWaitingFeeds()
{
  for (auto feed = m_waitingFeeds.begin(); feed != m_waitingFeeds.end();) {
    feed = SendFeedResponse(*feed, false) ? m_waitingFeeds.erase(feed) : std::next(feed);
  }
}

Json RowStoreStandin::MakeBody(Json aRows) const
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return Json{ { "rows", std::move(aRows) },
               { "ver", m_version },
               { "now_ms", std::chrono::duration_cast<Millis>(now).count() } };
}

Json RowStoreStandin::ToJson(const Row& aRow)
{
  Json rowJson{ { "table", aRow.m_table },
                { "part", aRow.m_partition },
                { "key", aRow.m_key },
                { "ver", aRow.m_version } };
  if (aRow.m_isDeleted) {
    rowJson["deleted"] = true;
  } else {
    rowJson["value"] = aRow.m_value;
  }
  return rowJson;
}

} // namespace mustardtray::soak
