#include "mustardtray/connection/HttpServer.h"

#include <doctest/doctest.h>

#include "mustardtray/connection/HttpClient.h"
#include "tests/support/ContextThread.h"
#include "tests/support/RawSocket.h"

using namespace mustardtray;
using namespace mustardtray::test;

namespace {

constexpr std::size_t kBodyLimit = 100'000;

/// An echo server on a thread of its own.
class EchoServer
{
public:
  EchoServer()
    : m_server(m_thread.Context(),
               Options(),
               [this](HttpRequest aRequest, HttpResponder aResponder) {
                 ++m_handled;
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
    options.m_maxBodyBytes = kBodyLimit;
    options.m_readTimeout = Millis(300);
    return options;
  }

  std::uint16_t Port() const { return m_server.Port(); }
  std::string Url(std::string_view aPath) const
  {
    return "http://127.0.0.1:" + std::to_string(Port()) + std::string(aPath);
  }
  int Handled() const { return m_handled; }

private:
  ContextThread m_thread;
  std::atomic<int> m_handled{ 0 };
  HttpServer m_server;
};

HttpCall Post(std::string aUrl, std::string aBody)
{
  HttpCall call;
  call.m_method = "POST";
  call.m_url = std::move(aUrl);
  call.m_body = std::move(aBody);
  return call;
}

} // namespace

TEST_CASE("A request's body comes back whole")
{
  EchoServer server;
  const HttpCallResult result = CallAndWait(Post(server.Url("/x"), std::string(kBodyLimit, 'b')));
  REQUIRE(result.has_value());
  CHECK(result.value().m_body == std::string(kBodyLimit, 'b'));
  CHECK(*result.value().Header("x-method") == "POST");
}

TEST_CASE("A body over the limit is answered with 413, and the handler never sees it")
{
  EchoServer server;
  const HttpCallResult result =
    CallAndWait(Post(server.Url("/x"), std::string(kBodyLimit * 20, 'b')));
  REQUIRE(result.has_value());
  CHECK(result.value().m_status == 413);
  CHECK(server.Handled() == 0);
}

TEST_CASE("Requests that cannot be read are answered with the fitting status")
{
  EchoServer server;
  CHECK(SendRaw(server.Port(), "BREW /x HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(SendRaw(server.Port(), "GET /x HTTP/9.z\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(SendRaw(server.Port(), "\x16\x03\x01 not http\r\n\r\n").starts_with("HTTP/1.1 400"));
  const std::string longName = "GET /x HTTP/1.1\r\nA: " + std::string(20'000, 'v') + "\r\n\r\n";
  CHECK(SendRaw(server.Port(), longName).starts_with("HTTP/1.1 431"));
  const std::string longUrl = "GET /" + std::string(20'000, 'v') + " HTTP/1.1\r\n\r\n";
  CHECK(SendRaw(server.Port(), longUrl).starts_with("HTTP/1.1 414"));
  CHECK(server.Handled() == 0);
}

TEST_CASE("A caller that stops in the middle of a request is timed out with 408")
{
  EchoServer server;
  const std::string answer =
    SendRaw(server.Port(), "POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  CHECK(answer.starts_with("HTTP/1.1 408"));
  CHECK(server.Handled() == 0);
}

TEST_CASE("An idle connection is closed without a word")
{
  EchoServer server;
  CHECK(SendRaw(server.Port(), "").empty());
}

TEST_CASE("A request that the handler drops is answered with 500")
{
  EchoServer server;
  const HttpCallResult result = CallAndWait(Post(server.Url("/drop"), ""));
  REQUIRE(result.has_value());
  CHECK(result.value().m_status == 500);
}

TEST_CASE("A port in use is an error that names the address")
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
