#include "mustardtray/connection/HttpClient.h"

#include <optional>

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

#include "connection/ConnectionNumbers.h"
#include "standin/StandinServer.h"

using namespace mustardtray;

/// Calls that may only be sent on certain connections.

namespace {

struct AllowedConnectionsFixture
{
  AllowedConnectionsFixture()
    : m_server(m_context,
               "127.0.0.1",
               0,
               [this](const std::shared_ptr<StandinExchange>& aExchange) {
                 ++m_requests;
                 aExchange->SendResponse(JsonResponse(200, "{}"));
               })
  {
    REQUIRE(m_server.Listen().has_value());
  }

  HttpCallResult Send(std::shared_ptr<const ConnectionSet> aAllowed, bool aIsFresh = false)
  {
    HttpCall call;
    call.m_url = "http://127.0.0.1:" + std::to_string(m_server.Port()) + "/x";
    call.m_isRepeatable = false;
    call.m_freshConnection = aIsFresh;
    call.m_allowedConnections = std::move(aAllowed);
    std::optional<HttpCallResult> result;
    m_client.Start(std::move(call), [&](HttpCallResult aResult) { result = std::move(aResult); });
    while (!result && m_context.run_one() > 0) {
    }
    return std::move(*result);
  }

  asio::io_context m_context;
  int m_requests = 0;
  StandinServer m_server;
  HttpClient m_client{ m_context };
  std::shared_ptr<ConnectionSet> m_allowed = std::make_shared<ConnectionSet>();
};

} // namespace

TEST_CASE_FIXTURE(AllowedConnectionsFixture,
                  "HttpClient sends a limited call on an allowed connection only")
{
  const HttpCallResult first = Send(nullptr);
  REQUIRE(first.has_value());
  CHECK(first.value().m_connection != 0);
  m_allowed->Add(first.value().m_connection);
  const HttpCallResult second = Send(m_allowed);
  REQUIRE(second.has_value());
  CHECK(second.value().m_connection == first.value().m_connection);

  bool isFresh = false;
  SUBCASE("a new one would be opened")
  {
    isFresh = true;
  }
  SUBCASE("the idle connection is another one")
  {
    m_allowed->Clear();
  }
  const int requests = m_requests;
  const HttpCallResult third = Send(m_allowed, isFresh);
  REQUIRE(third.has_error());
  CHECK(third.error().m_isNotSent);
  CHECK(third.error().m_lacksConnection);
  CHECK(m_requests == requests);
}

TEST_CASE("a new connection has another number than a former one with the same ports")
{
  ConnectionNumbers numbers;
  const ConnectionEnds ends{ "10.0.0.1", 80, 40'000 };
  const std::uint64_t first = numbers.NumberOf(ends, true);
  CHECK(numbers.NumberOf(ends, false) == first);
  CHECK(numbers.NumberOf({ "10.0.0.2", 80, 40'000 }, true) != first);
  CHECK(numbers.NumberOf(ends, true) != first);
}
