#pragma once

/// The TCP socket type of HttpServer's plain listener. RESTinio closes a connection without a
/// response when a request is malformed, too large or too slow. This socket detects that a request
/// was partly received and sends a response with the matching status before the connection closes.
/// It also reports to ListenerConnections what the connection holds, and closes it on request.

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

#include "connection/ListenerConnections.h"
#include "connection/RequestMeter.h"

namespace restinio::impl {
class tls_socket_t;
}

namespace mustardtray {

/// HTTP status for the request that the parser has just rejected; 0 when there is none. The
/// server's logger sets it: RESTinio calls the logger on the same thread right before it closes the
/// connection.
inline thread_local int gParserErrorStatus = 0;

/// The connections of the listener that is being opened. RESTinio constructs a listener's sockets
/// with an io_context alone.
inline thread_local std::shared_ptr<ListenerConnections> gOpeningListener;

/// Sends a response on a socket whose request was not read completely, then reads and discards the
/// remaining input for up to kLingerTime. Closing immediately would reset the connection, and the
/// client could lose the response.
class LingeringClose : public std::enable_shared_from_this<LingeringClose>
{
public:
  /// BeginLingering() was called.
  LingeringClose(asio::ip::tcp::socket aSocket,
                 std::string aResponse,
                 std::shared_ptr<ListenerConnections> aConnections)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
    , m_response(std::move(aResponse))
    , m_connections(std::move(aConnections))
  {
  }
  ~LingeringClose() { m_connections->EndLingering(); }
  LingeringClose(const LingeringClose&) = delete;
  LingeringClose& operator=(const LingeringClose&) = delete;

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
    // The discarded bytes of all connections share a buffer.
    static thread_local std::array<char, 16'384> sDiscarded;
    m_socket.async_read_some(
      asio::buffer(sDiscarded),
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
  std::shared_ptr<ListenerConnections> m_connections;
};

class ErrorResponseSocket
{
public:
  using executor_type = asio::ip::tcp::socket::executor_type;
  using lowest_layer_type = asio::ip::tcp::socket;

  explicit ErrorResponseSocket(asio::io_context& aContext)
    : m_connections(gOpeningListener)
    , m_socket(aContext)
  {
  }
  /// RESTinio moves an accepted socket into its connection before Register() and goes on using the
  /// other one for the next connection.
  ErrorResponseSocket(ErrorResponseSocket&& aOther)
    : m_connections(aOther.m_connections)
    , m_socket(std::move(aOther.m_socket))
  {
  }
  ErrorResponseSocket& operator=(ErrorResponseSocket&&) = delete;
  ~ErrorResponseSocket()
  {
    if (m_id != 0) {
      m_connections->Close(m_id);
    }
  }

  /// Called when the connection is established; the socket is not moved any more.
  void Register()
  {
    m_id = m_connections->Open([this](CloseReason aReason) { Abort(aReason); });
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
    m_isReading = true;
    Report();
    const asio::mutable_buffer buffer = *asio::buffer_sequence_begin(aBuffers);
    auto executor = asio::get_associated_executor(aHandler, m_socket.get_executor());
    return m_socket.async_read_some(
      aBuffers,
      asio::bind_executor(executor,
                          [this, buffer, handler = std::forward<Handler>(aHandler)](
                            const asio::error_code& aError, std::size_t aLength) mutable {
                            m_isReading = false;
                            OnReceived(static_cast<const char*>(buffer.data()), aLength);
                            if (m_closeStatus != 0) {
                              // RESTinio closes the connection; the parser gets no more bytes.
                              handler(asio::error::eof, 0);
                              return;
                            }
                            handler(aError, aLength);
                          }));
  }

  template<typename Buffers, typename Handler>
  auto async_write_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    m_isReceivingRequest = false;
    m_meter.OnResponse();
    m_writingBytes = asio::buffer_size(aBuffers);
    Report();
    auto executor = asio::get_associated_executor(aHandler, m_socket.get_executor());
    return m_socket.async_write_some(
      aBuffers,
      asio::bind_executor(executor,
                          [this, handler = std::forward<Handler>(aHandler)](
                            const asio::error_code& aError, std::size_t aLength) mutable {
                            m_writingBytes = 0;
                            if (m_closeStatus != 0) {
                              // RESTinio takes an aborted operation for one that it aborted.
                              handler(asio::error::broken_pipe, aLength);
                              return;
                            }
                            Report();
                            handler(aError, aLength);
                          }));
  }

  /// RESTinio calls shutdown() right before it closes a connection.
  template<typename How>
  void shutdown(How aHow, asio::error_code& aError)
  {
    const int parserStatus = std::exchange(gParserErrorStatus, 0);
    const int status = m_closeStatus != 0 ? m_closeStatus : parserStatus;
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
  static constexpr int kUnavailableStatus = 503;

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
      case 503:
        return "Service Unavailable";
      default:
        return "Bad Request";
    }
  }

  void OnReceived(const char* aBytes, std::size_t aLength)
  {
    if (aLength == 0 || m_closeStatus != 0) {
      return;
    }
    m_isReceivingRequest = true;
    m_closeStatus = m_meter.Consume(aBytes, aLength, m_connections->MaxBodyBytes());
    if (m_closeStatus != 0) {
      m_connections->CountRefusedBody(m_meter.HeldBytes());
    } else {
      Report();
    }
  }

  ConnectionPhase Phase() const
  {
    if (m_writingBytes > 0) {
      return ConnectionPhase::Writing;
    }
    // RESTinio does not read while it handles a request.
    if (!m_isReading) {
      return ConnectionPhase::Handling;
    }
    switch (m_meter.CurrentPart()) {
      case RequestMeter::Part::Header:
        return ConnectionPhase::Header;
      case RequestMeter::Part::Body:
        return ConnectionPhase::Body;
      case RequestMeter::Part::None:
        break;
    }
    return ConnectionPhase::Idle;
  }

  void Report()
  {
    if (m_id != 0) {
      m_connections->Update(m_id, Phase(), m_meter.HeldBytes() + m_writingBytes);
    }
  }

  /// Ends the operation in progress, after which RESTinio closes the connection.
  void Abort(CloseReason aReason)
  {
    const bool isSlow = aReason == CloseReason::Progress || aReason == CloseReason::HeaderTime;
    m_closeStatus = isSlow ? kRequestTimeoutStatus : kUnavailableStatus;
    asio::error_code ignored;
    m_socket.cancel(ignored);
  }

  void SendErrorResponse(int aStatus)
  {
    m_isReceivingRequest = false;
    const std::string body = std::string("{\"error\":\"") + ReasonPhrase(aStatus) + "\"}";
    std::string response =
      "HTTP/1.1 " + std::to_string(aStatus) + " " + ReasonPhrase(aStatus) +
      "\r\nConnection: close\r\nMustardtray-Outcome: not-run\r\n" +
      (aStatus == kUnavailableStatus ? "Retry-After: 1\r\n" : "") +
      "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
    if (!m_connections->BeginLingering()) {
      // The caller may lose the response, but the descriptor is free at once.
      asio::error_code ignored;
      m_socket.non_blocking(true, ignored);
      m_socket.write_some(asio::buffer(response), ignored);
      return;
    }
    std::make_shared<LingeringClose>(std::move(m_socket), std::move(response), m_connections)
      ->Start();
  }

  std::shared_ptr<ListenerConnections> m_connections;
  ConnectionLedger::Id m_id = 0; ///< 0 before Register().
  asio::ip::tcp::socket m_socket;
  RequestMeter m_meter;
  bool m_isReading = false;
  std::size_t m_writingBytes = 0; ///< Of the response that is being sent.
  /// Status with which the incomplete request is refused; the connection is being closed.
  int m_closeStatus = 0;
  /// True when bytes of a request were received and no response was started.
  bool m_isReceivingRequest = false;
};

/// RESTinio finds this function and the next one by argument-dependent lookup.
template<typename Connection, typename StartRead, typename Failed>
void prepare_connection_and_start_read(ErrorResponseSocket& aSocket,
                                       Connection&,
                                       StartRead aStartRead,
                                       Failed)
{
  aSocket.Register();
  aStartRead();
}

inline restinio::impl::tls_socket_t* make_tls_socket_pointer_for_state_listener(
  ErrorResponseSocket&) noexcept
{
  return nullptr;
}

} // namespace mustardtray
