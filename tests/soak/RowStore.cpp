#include "tests/soak/RowStore.h"

#include <charconv>
#include <set>

#include "platform/Base64.h"
#include "standin/StandinJson.h"

namespace mustardtray::soak {

namespace {

constexpr Micros kSlowAnswer{ 350'000 };
constexpr Micros kLateWrite{ 2'500'000 };
constexpr std::size_t kHistory = 5'000;
constexpr int kConflict = 412;
constexpr int kGone = 410;

std::uint64_t ToNumber(const std::optional<std::string>& aText)
{
  std::uint64_t value = 0;
  if (aText) {
    std::from_chars(aText->data(), aText->data() + aText->size(), value);
  }
  return value;
}

} // namespace

RowStore::RowStore(asio::io_context& aContext, TimerService& aTimers)
  : m_timers(aTimers)
  , m_server(aContext, "127.0.0.1", 0, [this](const std::shared_ptr<StandinExchange>& aExchange) {
    Handle(aExchange);
  })
{
  static_cast<void>(m_server.Listen());
}

void RowStore::Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
{
  ++m_version;
  Apply({ aTable, "", aKey, platform::EncodeBase64(aValue), m_version, false });
  WakeFeeds();
}

void RowStore::Remove(const std::string& aTable, const std::string& aKey)
{
  ++m_version;
  Apply({ aTable, "", aKey, "", m_version, true });
  WakeFeeds();
}

void RowStore::Handle(const std::shared_ptr<StandinExchange>& aExchange)
{
  const bool isWrite = aExchange->Request().m_method == "POST";
  switch (m_fault) {
    case StoreFault::Busy:
      SendError(*aExchange, 503, "busy");
      return;
    case StoreFault::Silent:
      m_delayed.push_back(m_timers.After(Micros{ 60'000'000 }, [aExchange] {}));
      return;
    case StoreFault::Slow:
      m_delayed.push_back(m_timers.After(kSlowAnswer, [this, aExchange] { Dispatch(aExchange); }));
      return;
    case StoreFault::LoseAnswers:
      if (isWrite && ++m_writes % 2 == 0) {
        Commit(aExchange->Request().m_body);
        aExchange->Close();
        return;
      }
      break;
    case StoreFault::LateWrites:
      if (isWrite && ++m_writes % 2 == 0) {
        m_delayed.push_back(
          m_timers.After(kLateWrite, [this, body = aExchange->Request().m_body] { Commit(body); }));
        aExchange->Close();
        return;
      }
      break;
    case StoreFault::None:
      break;
  }
  Dispatch(aExchange);
}

void RowStore::Dispatch(const std::shared_ptr<StandinExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.m_path == "/-/rows-tx") {
    aExchange->SendResponse(Commit(request.m_body));
  } else if (request.m_path == "/-/rows-get") {
    aExchange->SendResponse(Read(request));
  } else if (request.m_path == "/-/rows-parts") {
    aExchange->SendResponse(Parts(request));
  } else if (request.m_path == "/-/rows-feed") {
    Follow(aExchange);
  } else {
    SendError(*aExchange, 404, "no such call");
  }
}

HttpResponse RowStore::Commit(const std::string& aBody)
{
  const Json in = Json::parse(aBody, nullptr, false);
  if (!in.is_object()) {
    return JsonResponse(400, "{}");
  }
  const auto name = [](const Json& aRow) {
    return RowName{ aRow.at("table"), aRow.value("part", std::string{}), aRow.at("key") };
  };
  bool isConflict = false;
  Json current = Json::array();
  for (const Json& row : in.at("expect")) {
    const auto found = m_rows.find(name(row));
    const std::uint64_t version = found == m_rows.end() ? 0 : found->second.m_version;
    isConflict = isConflict || version != row.at("ver").get<std::uint64_t>();
    if (found != m_rows.end()) {
      current.push_back(ToJson(found->second));
    }
  }
  if (isConflict) {
    return JsonResponse(kConflict, Envelope(std::move(current)).dump());
  }
  ++m_version;
  for (const Json& row : in.value("writes", Json::array())) {
    const auto [table, part, key] = name(row);
    if (table == "op" || table == "servers") {
      return JsonResponse(403, "{}");
    }
    Apply({ table, part, key, row.at("value"), m_version, false });
  }
  for (const Json& row : in.value("remove", Json::array())) {
    const auto [table, part, key] = name(row);
    Apply({ table, part, key, "", m_version, true });
  }
  WakeFeeds();
  return JsonResponse(200, Envelope(Json::array()).dump());
}

HttpResponse RowStore::Read(const HttpRequest& aRequest) const
{
  const std::string table = aRequest.QueryValue("table").value_or("");
  const std::string part = aRequest.QueryValue("part").value_or("");
  const std::string from = aRequest.QueryValue("from").value_or("");
  const std::string until = aRequest.QueryValue("target").value_or("");
  Json rows = Json::array();
  for (auto row = m_rows.lower_bound({ table, part, from }); row != m_rows.end(); ++row) {
    const auto& [rowTable, rowPart, rowKey] = row->first;
    if (rowTable != table || rowPart != part || (!until.empty() && rowKey >= until)) {
      break;
    }
    rows.push_back(ToJson(row->second));
  }
  Json out = Envelope(std::move(rows));
  out["has_more"] = false;
  return JsonResponse(200, out.dump());
}

HttpResponse RowStore::Parts(const HttpRequest& aRequest) const
{
  const std::string table = aRequest.QueryValue("table").value_or("");
  std::set<std::string> parts;
  for (const auto& [name, row] : m_rows) {
    if (std::get<0>(name) == table) {
      parts.insert(std::get<1>(name));
    }
  }
  Json out = Envelope(Json::array());
  out["parts"] = parts;
  return JsonResponse(200, out.dump());
}

void RowStore::Follow(const std::shared_ptr<StandinExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  WaitingFeed feed;
  feed.m_exchange = aExchange;
  feed.m_table = request.QueryValue("table").value_or("");
  feed.m_after = ToNumber(request.QueryValue("after"));
  const std::uint64_t oldest = m_history.empty() ? m_version : m_history.front().m_version - 1;
  if (feed.m_after < oldest) {
    SendError(*aExchange, kGone, "history is gone");
    return;
  }
  if (AnswerFeed(feed, false)) {
    return;
  }
  const auto wait = Millis(static_cast<Millis::rep>(ToNumber(request.QueryValue("wait_ms"))));
  const auto entry = m_feeds.insert(m_feeds.end(), std::move(feed));
  entry->m_timeout = m_timers.After(wait, [this, entry] {
    const WaitingFeed ended = std::move(*entry);
    m_feeds.erase(entry);
    AnswerFeed(ended, true);
  });
}

bool RowStore::AnswerFeed(const WaitingFeed& aFeed, bool aMustAnswer) const
{
  Json rows = Json::array();
  for (const Row& row : m_history) {
    if (row.m_version > aFeed.m_after && row.m_table == aFeed.m_table) {
      rows.push_back(ToJson(row));
    }
  }
  if (rows.empty() && !aMustAnswer) {
    return false;
  }
  SendJson(*aFeed.m_exchange, 200, Envelope(std::move(rows)));
  return true;
}

void RowStore::Apply(Row aRow)
{
  const RowName name{ aRow.m_table, aRow.m_part, aRow.m_key };
  if (aRow.m_isDeleted) {
    m_rows.erase(name);
  } else {
    m_rows[name] = aRow;
  }
  m_history.push_back(std::move(aRow));
  if (m_history.size() > kHistory) {
    m_history.pop_front();
  }
}

void RowStore::WakeFeeds()
{
  for (auto feed = m_feeds.begin(); feed != m_feeds.end();) {
    feed = AnswerFeed(*feed, false) ? m_feeds.erase(feed) : std::next(feed);
  }
}

Json RowStore::Envelope(Json aRows) const
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return Json{ { "rows", std::move(aRows) },
               { "ver", m_version },
               { "now_ms", std::chrono::duration_cast<Millis>(now).count() } };
}

Json RowStore::ToJson(const Row& aRow)
{
  Json out{ { "table", aRow.m_table },
            { "part", aRow.m_part },
            { "key", aRow.m_key },
            { "ver", aRow.m_version } };
  if (aRow.m_isDeleted) {
    out["deleted"] = true;
  } else {
    out["value"] = aRow.m_value;
  }
  return out;
}

} // namespace mustardtray::soak
