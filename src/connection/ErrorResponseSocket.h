#pragma once

/// The TCP socket type of HttpServer's plain listener. RESTinio closes a connection without a
/// response when a request is malformed, too large or too slow. This socket detects that a request
/// was partly received and sends a response with the matching status before the connection closes.

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace restinio::impl {
class tls_socket_t;
}

namespace mustardtray {

/// HTTP status for the request that the parser has just rejected; 0 when there is none. The
/// server's logger sets it: RESTinio calls the logger on the same thread right before it closes the
/// connection.
inline thread_local int gParserErrorStatus = 0;

/// Sends a response on a socket whose request was not read completely, then reads and discards the
/// remaining input for up to kLingerTime. Closing immediately would reset the connection, and the
/// client could lose the response.
class LingeringClose : public std::enable_shared_from_this<LingeringClose>
{
public:
  LingeringClose(asio::ip::tcp::socket aSocket, std::string aResponse)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
    , m_response(std::move(aResponse))
  {
  }

  void Start()
  {
    m_timer.expires_after(kLingerTime);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code&) { self->Close(); });
    asio::async_write(m_socket,
                      asio::buffer(m_response),
                      [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
                        asio::error_code ignored;
                        self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                        self->DiscardInput(aError);
                      });
  }

private:
  static constexpr std::chrono::seconds kLingerTime{ 2 };

  void DiscardInput(const asio::error_code& aError)
  {
    if (aError) {
      Close();
      return;
    }
    m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const asio::error_code& aReadError, std::size_t) {
        self->DiscardInput(aReadError);
      });
  }

  void Close()
  {
    asio::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::string m_response;
  std::array<char, 16384> m_buffer{};
};

class ErrorResponseSocket
{
public:
  using executor_type = asio::ip::tcp::socket::executor_type;
  using lowest_layer_type = asio::ip::tcp::socket;

  explicit ErrorResponseSocket(asio::io_context& aContext)
    : m_socket(aContext)
  {
  }

  auto& lowest_layer() { return m_socket; }
  const auto& lowest_layer() const { return m_socket; }
  executor_type get_executor() { return m_socket.get_executor(); }
  auto remote_endpoint() const { return m_socket.remote_endpoint(); }
  bool is_open() const { return m_socket.is_open(); }

  template<typename... Args>
  void cancel(Args&&... aArgs)
  {
    m_socket.cancel(std::forward<Args>(aArgs)...);
  }

  template<typename Buffers, typename Handler>
  auto async_read_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    auto executor = asio::get_associated_executor(aHandler, m_socket.get_executor());
    return m_socket.async_read_some(
      aBuffers,
      asio::bind_executor(executor,
                          [this, handler = std::forward<Handler>(aHandler)](
                            const asio::error_code& aError, std::size_t aLength) mutable {
                            m_isReceivingRequest = m_isReceivingRequest || aLength > 0;
                            handler(aError, aLength);
                          }));
  }

  template<typename Buffers, typename Handler>
  auto async_write_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    m_isReceivingRequest = false;
    return m_socket.async_write_some(aBuffers, std::forward<Handler>(aHandler));
  }

  /// RESTinio calls shutdown() right before it closes a connection.
  template<typename How>
  void shutdown(How aHow, asio::error_code& aError)
  {
    const int status = std::exchange(gParserErrorStatus, 0);
    if (m_isReceivingRequest && m_socket.is_open()) {
      SendErrorResponse(status != 0 ? status : kRequestTimeoutStatus);
      return;
    }
    m_socket.shutdown(aHow, aError);
  }

  void close()
  {
    asio::error_code ignored;
    m_socket.close(ignored);
  }

private:
  static constexpr int kRequestTimeoutStatus = 408;

  static const char* ReasonPhrase(int aStatus)
  {
    switch (aStatus) {
      case 408:
        return "Request Timeout";
      case 413:
        return "Payload Too Large";
      case 414:
        return "URI Too Long";
      case 431:
        return "Request Header Fields Too Large";
      default:
        return "Bad Request";
    }
  }

  void SendErrorResponse(int aStatus)
  {
    m_isReceivingRequest = false;
    const std::string body = std::string("{\"error\":\"") + ReasonPhrase(aStatus) + "\"}";
    std::string response = "HTTP/1.1 " + std::to_string(aStatus) + " " + ReasonPhrase(aStatus) +
                           "\r\nConnection: close\r\nMustardtray-Outcome: not-run\r\n"
                           "Content-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
    std::make_shared<LingeringClose>(std::move(m_socket), std::move(response))->Start();
  }

  asio::ip::tcp::socket m_socket;
  /// True when bytes of a request were received and no response was started.
  bool m_isReceivingRequest = false;
};

/// RESTinio finds this function and the next one by argument-dependent lookup.
template<typename Connection, typename StartRead, typename Failed>
void prepare_connection_and_start_read(ErrorResponseSocket&,
                                       Connection&,
                                       StartRead aStartRead,
                                       Failed)
{
  aStartRead();
}

inline restinio::impl::tls_socket_t* make_tls_socket_pointer_for_state_listener(
  ErrorResponseSocket&) noexcept
{
  return nullptr;
}

} // namespace mustardtray
