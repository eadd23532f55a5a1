#include "mustardtray/connection/HttpServer.h"

#include <doctest/doctest.h>

#include "mustardtray/connection/HttpClient.h"
#include "tests/support/ContextThread.h"
#include "tests/support/RawSocket.h"

using namespace mustardtray;
using namespace mustardtray::test;

namespace {

constexpr std::size_t kMaxBodyBytes = 100'000;

/// A server on its own thread that echoes each body. For /drop the handler destroys the responder
/// without a response.
class EchoServer
{
public:
  EchoServer()
    : m_server(m_thread.Context(),
               Options(),
               [this](HttpRequest aRequest, HttpResponder aResponder) {
                 ++m_handledCount;
                 if (aRequest.m_path == "/drop") {
                   return;
                 }
                 aResponder.Send(
                   { 200, { { "X-Method", aRequest.m_method } }, std::move(aRequest.m_body) });
               })
  {
    REQUIRE(m_thread.Run([this] { return m_server.Start().has_value(); }));
  }
  ~EchoServer()
  {
    m_thread.Run([this] {
      m_server.Stop();
      return 0;
    });
  }

  static HttpServerOptions Options()
  {
    HttpServerOptions options;
    options.m_maxBodyBytes = kMaxBodyBytes;
    options.m_readTimeout = Millis(300);
    return options;
  }

  std::uint16_t Port() const { return m_server.Port(); }
  std::string Url(std::string_view aPath) const
  {
    return "http://127.0.0.1:" + std::to_string(Port()) + std::string(aPath);
  }
  int HandledCount() const { return m_handledCount; }

private:
  ContextThread m_thread;
  std::atomic<int> m_handledCount{ 0 };
  HttpServer m_server;
};

HttpCall MakePost(std::string aUrl, std::string aBody)
{
  HttpCall call;
  call.m_method = "POST";
  call.m_url = std::move(aUrl);
  call.m_body = std::move(aBody);
  return call;
}

} // namespace

TEST_CASE("HttpServer passes a body of the maximum size and its response through unchanged")
{
  EchoServer server;
  const HttpCallResult result =
    CallAndWait(MakePost(server.Url("/x"), std::string(kMaxBodyBytes, 'b')));
  REQUIRE(result.has_value());
  CHECK(result.value().m_body == std::string(kMaxBodyBytes, 'b'));
  CHECK(*result.value().Header("x-method") == "POST");
}

TEST_CASE("HttpServer rejects a body over the limit with 413 without calling the handler")
{
  EchoServer server;
  const HttpCallResult result =
    CallAndWait(MakePost(server.Url("/x"), std::string(kMaxBodyBytes * 20, 'b')));
  REQUIRE(result.has_value());
  CHECK(result.value().m_status == 413);
  CHECK(server.HandledCount() == 0);
}

TEST_CASE("HttpServer rejects malformed and oversized requests with the matching status")
{
  EchoServer server;
  CHECK(SendRaw(server.Port(), "BREW /x HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(SendRaw(server.Port(), "GET /x HTTP/9.z\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(SendRaw(server.Port(), "\x16\x03\x01 not http\r\n\r\n").starts_with("HTTP/1.1 400"));
  const std::string longValue = "GET /x HTTP/1.1\r\nA: " + std::string(20'000, 'v') + "\r\n\r\n";
  CHECK(SendRaw(server.Port(), longValue).starts_with("HTTP/1.1 431"));
  const std::string longUrl = "GET /" + std::string(20'000, 'v') + " HTTP/1.1\r\n\r\n";
  CHECK(SendRaw(server.Port(), longUrl).starts_with("HTTP/1.1 414"));
  CHECK(server.HandledCount() == 0);
}

TEST_CASE("HttpServer answers a request that arrives only in part with 408 after the timeout")
{
  EchoServer server;
  const std::string response =
    SendRaw(server.Port(), "POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  CHECK(response.starts_with("HTTP/1.1 408"));
  CHECK(server.HandledCount() == 0);
}

TEST_CASE("HttpServer answers each of several requests that arrive at once on a connection")
{
  // A handler that responds at once made RESTinio read the third request before the second response
  // was sent, and close the connection.
  EchoServer server;
  const std::string request = "POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\na";
  const std::string last = "POST /x HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlast";
  const std::string response = SendRaw(server.Port(), request + request + request + last);
  CHECK(response.ends_with("last"));
  CHECK(server.HandledCount() == 4);
}

TEST_CASE("HttpServer closes an idle connection without a response")
{
  EchoServer server;
  CHECK(SendRaw(server.Port(), "").empty());
}

TEST_CASE("HttpServer answers with 500 when the handler destroys the responder")
{
  EchoServer server;
  const HttpCallResult result = CallAndWait(MakePost(server.Url("/drop"), ""));
  REQUIRE(result.has_value());
  CHECK(result.value().m_status == 500);
}

TEST_CASE("HttpServer::Start reports a port in use as an error with the address")
{
  EchoServer server;
  asio::io_context context;
  HttpServerOptions options;
  options.m_port = server.Port();
  HttpServer second(context, options, [](HttpRequest, HttpResponder) {});
  const Result<void> result = second.Start();
  REQUIRE(result.has_error());
  CHECK(result.error().m_kind == ErrorKind::Unavailable);
  CHECK(result.error().m_peer == "127.0.0.1:" + std::to_string(server.Port()));
}
