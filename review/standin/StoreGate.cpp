#include "review/standin/StoreGate.h"

#include <fmt/format.h>

#include "platform/Base64.h"
#include "standin/StandinJson.h"

namespace mustardtray::review {

namespace {

/// The usual time of an answer.
constexpr Micros kAnswerTime{ 4'000 };
/// Longer than any wait that a feed may ask for.
constexpr Millis kForwardTimeout{ 40'000 };

} // namespace

StoreGate::StoreGate(asio::io_context& aContext,
                     TimerService& aTimers,
                     HttpClient& aHttp,
                     Record& aRecord,
                     std::uint16_t aStorePort,
                     std::size_t aMaxRowBytes)
  : m_timers(aTimers)
  , m_http(aHttp)
  , m_record(aRecord)
  , m_storePort(aStorePort)
  , m_maxRowBytes(aMaxRowBytes)
  , m_server(aContext, "127.0.0.1", 0, [this](const std::shared_ptr<StandinExchange>& aExchange) {
    Handle(aExchange);
  })
{
  static_cast<void>(m_server.Listen());
}

void StoreGate::Handle(const std::shared_ptr<StandinExchange>& aExchange)
{
  if (m_isDown) {
    SendError(*aExchange, 503, "the store is down");
    return;
  }
  const HttpRequest& request = aExchange->Request();
  if (request.m_path == "/-/rows-tx" && HasRowBeyondLimit(request.m_body)) {
    SendError(*aExchange, 400, "a value is longer than row_bytes");
    return;
  }
  const auto delay = m_delays.emplace(m_delays.end());
  const Micros answerTime = m_maxAnswerTime.count() == 0
                              ? kAnswerTime
                              : Micros(std::uniform_int_distribution<Micros::rep>(
                                  m_minAnswerTime.count(), m_maxAnswerTime.count())(m_random));
  *delay = m_timers.After(answerTime, [this, aExchange, delay] {
    const TimerHandle timer = std::move(*delay);
    m_delays.erase(delay);
    Forward(aExchange);
  });
}

bool StoreGate::HasRowBeyondLimit(const std::string& aBody)
{
  const Json transaction = Json::parse(aBody, nullptr, false);
  if (!transaction.is_object()) {
    return false;
  }
  for (const Json& row : transaction.value("writes", Json::array())) {
    const std::size_t bytes = platform::DecodeBase64(row.at("value").get<std::string>()).size();
    if (bytes > m_maxRowBytes) {
      ++m_refusedRows;
      m_record.Write("the store refuses a transaction: row {}/{}/{} has {} bytes",
                     row.value("table", ""),
                     row.value("part", ""),
                     row.value("key", ""),
                     bytes);
      return true;
    }
  }
  return false;
}

void StoreGate::Forward(const std::shared_ptr<StandinExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  HttpCall call;
  call.m_method = request.m_method;
  call.m_url = fmt::format("http://127.0.0.1:{}{}", m_storePort, request.m_path);
  call.m_url += request.m_query.empty() ? "" : "?" + request.m_query;
  call.m_body = request.m_body;
  call.m_timeout = kForwardTimeout;
  call.m_isRepeatable = false;
  m_http.Start(std::move(call), [aExchange](const HttpCallResult& aResult) {
    if (aResult) {
      aExchange->SendResponse(JsonResponse(aResult.value().m_status, aResult.value().m_body));
    } else {
      aExchange->Close();
    }
  });
}

} // namespace mustardtray::review
