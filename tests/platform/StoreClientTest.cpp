#include "platform/StoreClient.h"

#include <vector>

#include <doctest/doctest.h>

#include "standin/StandinServer.h"

using namespace mustardtray;
using namespace mustardtray::platform;

TEST_CASE("a transaction whose response is lost does not count as refused")
{
  asio::io_context io;
  int requests = 0;
  // Applies two transactions, closes the connection in place of the second response, and is busy
  // then.
  StandinServer server(io, "127.0.0.1", 0, [&](const std::shared_ptr<StandinExchange>& aExchange) {
    ++requests;
    if (requests == 2) {
      aExchange->Close();
    } else {
      aExchange->SendResponse(JsonResponse(requests == 1 ? 200 : 503, R"({"ver":5,"now_ms":1})"));
    }
  });
  REQUIRE(server.Listen().has_value());
  HttpClient http(io);
  StoreClient store(http, { "127.0.0.1", server.Port() });
  Transaction transaction;
  transaction.m_writes.push_back({ { "table", "part", "key" }, "value" });
  std::vector<Result<TransactionResult>> results;
  for (int i = 0; i < 2; ++i) {
    store.Commit(transaction, Millis(1'000), [&](Result<TransactionResult> aResult) {
      results.push_back(std::move(aResult));
    });
    io.restart();
    io.run_for(Millis(200));
  }
  CHECK(requests == 2);
  REQUIRE(results.size() == 2);
  CHECK(results[0].has_value());
  REQUIRE(results[1].has_error());
  CHECK(results[1].error().m_kind == ErrorKind::Unknown);
}
