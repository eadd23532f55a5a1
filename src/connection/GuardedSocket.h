#pragma once

/// The TCP socket type of HttpServer's plain listener. RESTinio closes a connection without an
/// answer when a request is malformed, too large or too slow; this socket notices that a request
/// had begun to arrive and sends the fitting status before the connection ends.

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

/// Status to answer the request with that the parser has just given up on; 0 when it has not.
/// Set by the server's logger, which RESTinio calls on the same thread right before it closes.
inline thread_local int gRejectedStatus = 0;

/// Sends an answer on a socket whose request was not read to its end, then discards what still
/// arrives for a short time: closing at once would reset the connection and lose the answer.
class LingeringClose : public std::enable_shared_from_this<LingeringClose>
{
public:
  LingeringClose(asio::ip::tcp::socket aSocket, std::string aAnswer)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
    , m_answer(std::move(aAnswer))
  {
  }

  void Start()
  {
    m_timer.expires_after(kLingerTime);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code&) { self->End(); });
    asio::async_write(m_socket,
                      asio::buffer(m_answer),
                      [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
                        asio::error_code ignored;
                        self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                        self->Discard(aError);
                      });
  }

private:
  static constexpr std::chrono::seconds kLingerTime{ 2 };

  void Discard(const asio::error_code& aError)
  {
    if (aError) {
      End();
      return;
    }
    m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const asio::error_code& aReadError, std::size_t) {
        self->Discard(aReadError);
      });
  }

  void End()
  {
    asio::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::string m_answer;
  std::array<char, 16384> m_buffer{};
};

class GuardedSocket
{
public:
  using executor_type = asio::ip::tcp::socket::executor_type;
  using lowest_layer_type = asio::ip::tcp::socket;

  explicit GuardedSocket(asio::io_context& aContext)
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
                            m_inRequest = m_inRequest || aLength > 0;
                            handler(aError, aLength);
                          }));
  }

  template<typename Buffers, typename Handler>
  auto async_write_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    m_inRequest = false;
    return m_socket.async_write_some(aBuffers, std::forward<Handler>(aHandler));
  }

  /// RESTinio shuts a connection down right before it closes it.
  template<typename How>
  void shutdown(How aHow, asio::error_code& aError)
  {
    const int status = std::exchange(gRejectedStatus, 0);
    if (m_inRequest && m_socket.is_open()) {
      Reject(status != 0 ? status : kRequestTimeoutStatus);
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

  static const char* Reason(int aStatus)
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

  void Reject(int aStatus)
  {
    m_inRequest = false;
    const std::string body = std::string("{\"error\":\"") + Reason(aStatus) + "\"}";
    std::string answer = "HTTP/1.1 " + std::to_string(aStatus) + " " + Reason(aStatus) +
                         "\r\nConnection: close\r\nMustardtray-Outcome: not-run\r\n"
                         "Content-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body;
    std::make_shared<LingeringClose>(std::move(m_socket), std::move(answer))->Start();
  }

  asio::ip::tcp::socket m_socket;
  bool m_inRequest = false; ///< Bytes of a request came in and no answer was begun.
};

/// RESTinio finds these two by argument-dependent lookup.
template<typename Connection, typename StartRead, typename Failed>
void prepare_connection_and_start_read(GuardedSocket&, Connection&, StartRead aStartRead, Failed)
{
  aStartRead();
}

inline restinio::impl::tls_socket_t* make_tls_socket_pointer_for_state_listener(
  GuardedSocket&) noexcept
{
  return nullptr;
}

} // namespace mustardtray
