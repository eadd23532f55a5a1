#pragma once

/// Blocking TCP client and server for tests that need malformed HTTP messages.

#include <cstdint>
#include <string>
#include <string_view>
#include <thread>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace mustardtray::test {

inline asio::ip::tcp::endpoint Loopback(std::uint16_t aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

enum class SendEnd
{
  KeepOpen,
  ShutDownSending, ///< Shuts down the sending side, so that the peer sees the end of the stream.
};

/// Sends bytes and returns all received bytes until the peer closes the connection.
inline std::string SendRaw(std::uint16_t aPort,
                           std::string_view aBytes,
                           SendEnd aEnd = SendEnd::KeepOpen)
{
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(Loopback(aPort));
  asio::error_code error;
  asio::write(socket, asio::buffer(aBytes), error);
  if (aEnd == SendEnd::ShutDownSending) {
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  }
  std::string response;
  asio::read(socket, asio::dynamic_buffer(response), error);
  return response;
}

/// Reads one request head per connection, responds with fixed bytes and closes the connection. The
/// destructor waits until aConnections connections have been served.
class RawServer
{
public:
  RawServer(std::string aResponse, int aConnections)
    : m_acceptor(m_context, Loopback(0))
    , m_thread(
        [this, response = std::move(aResponse), aConnections] { Serve(response, aConnections); })
  {
  }

  ~RawServer() { m_thread.join(); }

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  int Requests() const { return m_requests; }

private:
  void Serve(const std::string& aResponse, int aConnections)
  {
    for (int i = 0; i < aConnections; ++i) {
      asio::ip::tcp::socket socket(m_context);
      m_acceptor.accept(socket);
      asio::error_code error;
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
      m_requests += error ? 0 : 1;
      asio::write(socket, asio::buffer(aResponse), error);
    }
  }

  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  int m_requests = 0;
  std::thread m_thread;
};

} // namespace mustardtray::test
