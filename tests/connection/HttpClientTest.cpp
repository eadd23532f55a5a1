#include "mustardtray/connection/HttpClient.h"

#include <atomic>
#include <future>
#include <optional>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "tests/support/RawSocket.h"

using namespace mustardtray;
using namespace mustardtray::test;

namespace {

HttpCall CallTo(std::uint16_t aPort)
{
  HttpCall call;
  call.m_method = "POST";
  call.m_url = "http://127.0.0.1:" + std::to_string(aPort) + "/x";
  call.m_body = "work";
  call.m_timeout = Millis(1000);
  return call;
}

} // namespace

TEST_CASE("HttpClient reports a truncated response as an error of kind Unknown")
{
  RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this", 1);
  const HttpCallResult result = CallAndWait(CallTo(server.Port()));
  REQUIRE(result.has_error());
  CHECK(result.error().m_error.m_kind == ErrorKind::Unknown);
  CHECK_FALSE(result.error().m_isNotSent);
}

TEST_CASE("HttpClient reports a truncated chunked response as an error")
{
  RawServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", 1);
  CHECK(CallAndWait(CallTo(server.Port())).has_error());
}

TEST_CASE("HttpClient rejects a response without a declared length")
{
  RawServer server("HTTP/1.1 200 OK\r\n\r\nperhaps all", 1);
  CHECK(CallAndWait(CallTo(server.Port())).has_error());
}

TEST_CASE("HttpClient reports a refused connection as Unavailable and the request as not sent")
{
  std::uint16_t port = 0;
  {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, Loopback(0));
    port = acceptor.local_endpoint().port();
  }
  const HttpCallResult result = CallAndWait(CallTo(port));
  REQUIRE(result.has_error());
  CHECK(result.error().m_isNotSent);
  CHECK(result.error().m_error.m_kind == ErrorKind::Unavailable);
}

TEST_CASE(
  "HttpClient sends a request on a fresh connection once when the peer closes after reading")
{
  RawServer server("", 1);
  HttpCall call = CallTo(server.Port());
  call.m_freshConnection = true;
  const HttpCallResult result = CallAndWait(call);
  REQUIRE(result.has_error());
  CHECK_FALSE(result.error().m_isNotSent);
  CHECK(server.Requests() == 1);
}

TEST_CASE("HttpClient sends no second copy of an order when a reused connection breaks")
{
  constexpr std::string_view kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  asio::io_context serverContext;
  asio::ip::tcp::acceptor acceptor(serverContext, Loopback(0));
  std::atomic<int> requests = 0;
  // Answers one request on each connection; closes the connection after having read the second one.
  std::thread server([&] {
    for (int connection = 0; connection < 2; ++connection) {
      asio::ip::tcp::socket socket = acceptor.accept();
      asio::error_code error;
      std::string request;
      for (int i = 0; i < 2 && !error; ++i) {
        std::size_t size =
          asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\nwork", error);
        request.erase(0, size);
        requests += error ? 0 : 1;
        if (!error && i == 0) {
          asio::write(socket, asio::buffer(kOk), error);
        }
      }
    }
  });
  asio::io_context context;
  std::optional<HttpClient> client(std::in_place, context);
  std::vector<HttpCallResult> results;
  for (const bool isRepeatable : { true, false }) {
    HttpCall call = CallTo(acceptor.local_endpoint().port());
    call.m_isRepeatable = isRepeatable;
    client->Start(std::move(call),
                  [&](HttpCallResult aResult) { results.push_back(std::move(aResult)); });
    context.restart();
    context.run_for(Millis(300));
  }
  const int requestsOfBoth = requests;
  client.reset();
  // Ends the server's second connection, or the wait for it.
  asio::ip::tcp::socket(serverContext).connect(acceptor.local_endpoint());
  server.join();
  CHECK(requestsOfBoth == 2);
  REQUIRE(results.size() == 2);
  CHECK(results[0].has_value());
  REQUIRE(results[1].has_error());
  CHECK(results[1].error().m_error.m_kind == ErrorKind::Unknown);
  CHECK_FALSE(results[1].error().m_isNotSent);
}

TEST_CASE("HttpClient delivers a response that arrived in time although its thread was blocked")
{
  constexpr int kCalls = 300; // More than the event loop takes up in one round.
  asio::io_context serverContext;
  asio::ip::tcp::acceptor acceptor(serverContext, Loopback(0));
  std::promise<void> isBlocked;
  std::thread server([&] {
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < kCalls; ++i) {
      sockets.push_back(acceptor.accept());
      std::string head;
      asio::read_until(sockets.back(), asio::dynamic_buffer(head), "\r\n\r\n");
    }
    isBlocked.get_future().wait();
    for (asio::ip::tcp::socket& socket : sockets) {
      asio::write(socket,
                  asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
    }
  });
  asio::io_context context;
  HttpClient client(context);
  int answered = 0;
  for (int i = 0; i < kCalls; ++i) {
    HttpCall call = CallTo(acceptor.local_endpoint().port());
    call.m_timeout = Millis(1'500);
    client.Start(std::move(call), [&](HttpCallResult aResult) { answered += aResult ? 1 : 0; });
  }
  context.run_for(Millis(500));
  CHECK(answered == 0);
  isBlocked.set_value();
  server.join();
  std::this_thread::sleep_for(Millis(1'500)); // Longer than the timeout of the calls.
  context.run_for(Millis(500));
  CHECK(client.Running() == 0);
  CHECK(answered == kCalls);
}

TEST_CASE("HttpClient ends a call that gets no response at its timeout")
{
  asio::io_context serverContext;
  asio::ip::tcp::acceptor silent(serverContext, Loopback(0));
  HttpCall call = CallTo(silent.local_endpoint().port());
  call.m_timeout = Millis(100);
  const HttpCallResult result = CallAndWait(std::move(call));
  REQUIRE(result.has_error());
  CHECK(result.error().m_error.m_kind == ErrorKind::Unknown);
}
