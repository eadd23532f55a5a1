#include <random>

#include <doctest/doctest.h>

#include "mustardtray/connection/HttpServer.h"
#include "tests/support/ContextThread.h"
#include "tests/support/RawSocket.h"

using namespace mustardtray;
using namespace mustardtray::test;

namespace {

constexpr int kConnections = 400;
const std::string kGoodRequest =
  "POST /orders/place?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
  "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\n"
  "Connection: close\r\n\r\nwork";

/// A few bytes of a good request changed, dropped, doubled or cut off.
std::string Mutated(std::mt19937& aRandom)
{
  std::string bytes = kGoodRequest;
  const int changes = 1 + static_cast<int>(aRandom() % 4);
  for (int i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = aRandom() % bytes.size();
    switch (aRandom() % 4) {
      case 0:
        bytes[at] = static_cast<char>(aRandom());
        break;
      case 1:
        bytes.erase(at, 1 + aRandom() % 8);
        break;
      case 2:
        bytes.insert(at, bytes.substr(at, 1 + aRandom() % 16));
        break;
      default:
        bytes.resize(at);
        break;
    }
  }
  return bytes;
}

} // namespace

TEST_CASE(
  "No bytes that a caller may send end the server or get it to answer with less than a status")
{
  ContextThread thread;
  HttpServerOptions options;
  options.m_readTimeout = Millis(2'000);
  HttpServer server(thread.Context(), options, [](HttpRequest aRequest, HttpResponder aResponder) {
    aResponder.Send({ 200, {}, std::move(aRequest.m_body) });
  });
  REQUIRE(thread.Run([&] { return server.Start().has_value(); }));
  std::mt19937 random(7);
  for (int i = 0; i < kConnections; ++i) {
    const std::string answer = SendRaw(server.Port(), Mutated(random), SendEnd::ShutDownSending);
    const bool isAnswer = answer.empty() || answer.starts_with("HTTP/1.1 ");
    CHECK(isAnswer);
  }
  CHECK(SendRaw(server.Port(), kGoodRequest).ends_with("work"));
  thread.Run([&] {
    server.Stop();
    return 0;
  });
}
