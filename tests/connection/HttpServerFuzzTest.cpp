#include <random>

#include <doctest/doctest.h>

#include "mustardtray/connection/HttpServer.h"
#include "tests/support/ContextThread.h"
#include "tests/support/RawSocket.h"

using namespace mustardtray;
using namespace mustardtray::test;

namespace {

constexpr int kConnectionCount = 400;
const std::string kValidRequest =
  "POST /orders/place?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
  "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\n"
  "Connection: close\r\n\r\nwork";

/// Returns kValidRequest with one to four random mutations: a byte is overwritten, or bytes are
/// erased, duplicated or truncated.
std::string MutateValidRequest(std::mt19937& aRandom)
{
  std::string bytes = kValidRequest;
  const int mutationCount = 1 + static_cast<int>(aRandom() % 4);
  for (int i = 0; i < mutationCount && !bytes.empty(); ++i) {
    const std::size_t position = aRandom() % bytes.size();
    switch (aRandom() % 4) {
      case 0:
        bytes[position] = static_cast<char>(aRandom());
        break;
      case 1:
        bytes.erase(position, 1 + aRandom() % 8);
        break;
      case 2:
        bytes.insert(position, bytes.substr(position, 1 + aRandom() % 16));
        break;
      default:
        bytes.resize(position);
        break;
    }
  }
  return bytes;
}

} // namespace

TEST_CASE(
  "HttpServer answers malformed requests with a status or closes the connection, and keeps serving")
{
  ContextThread thread;
  HttpServerOptions options;
  options.m_readTimeout = Millis(2'000);
  HttpServer server(thread.Context(), options, [](HttpRequest aRequest, HttpResponder aResponder) {
    aResponder.Send({ 200, {}, std::move(aRequest.m_body) });
  });
  REQUIRE(thread.Run([&] { return server.Start().has_value(); }));
  std::mt19937 random(7);
  for (int i = 0; i < kConnectionCount; ++i) {
    const std::string response =
      SendRaw(server.Port(), MutateValidRequest(random), SendEnd::ShutDownSending);
    const bool isEmptyOrHttp = response.empty() || response.starts_with("HTTP/1.1 ");
    CHECK(isEmptyOrHttp);
  }
  CHECK(SendRaw(server.Port(), kValidRequest).ends_with("work"));
  thread.Run([&] {
    server.Stop();
    return 0;
  });
}
