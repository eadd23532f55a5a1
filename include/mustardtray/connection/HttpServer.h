#pragma once

/// An HTTP/1.1 server on one address and one io_context. The server itself rejects malformed,
/// oversized and slow requests (400, 413, 414, 431, 408); they never reach the handler.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/connection/TrafficMeter.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Certificate and key of a TLS listener, as PEM files.
struct TlsFiles
{
  std::string m_certificateFile;
  std::string m_keyFile;
};

/// Limits of the memory and the time of a listener's callers; 0 sets no limit. Where they are set,
/// the connection that was silent for longest is closed when there are too many.
struct CallerLimits
{
  std::string m_listener; ///< Name for log lines.
  /// Of requests and responses in progress. When it is exceeded, the connection that has held most
  /// for longest without progress is closed, with status 503 where a request is incomplete.
  std::size_t m_maxHeldBytes = 0;
  Millis m_progressTimeout{ 0 }; ///< Without a byte, within a request or a response.
  Millis m_headerTimeout{ 0 };   ///< From the first byte to the end of a request's header.
};

struct HttpServerOptions
{
  std::string m_address = "127.0.0.1"; ///< IP address to bind to.
  std::uint16_t m_port = 0;            ///< 0 selects a free port; see HttpServer::Port().
  std::uint64_t m_maxBodyBytes = 8u << 20;
  std::size_t m_maxHeaderBytes = 16u << 10; ///< Limit for a field name, a field value and the URL.
  std::size_t m_maxHeaderCount = 100;
  std::size_t m_maxConnections = 10'000;
  Millis m_readTimeout{ 10'000 }; ///< For receiving a whole request; also closes idle connections.
  Millis m_handlerTimeout{ 120'000 };         ///< For the handler to send its response.
  std::optional<CallerLimits> m_callerLimits; ///< Not for TLS listeners.
  TlsFiles m_tls;                             ///< An empty certificate file selects plain TCP.
  /// Counts requests and responses; nullptr: they are not counted. Must outlive all responders.
  TrafficMeter* m_traffic = nullptr;
  std::string m_trafficName;           ///< Begins the kinds under which they are counted.
  bool m_isTrafficSplitByPath = false; ///< A kind for each path; only where these are few.
};

/// Sends the response to one request. Send() may be called from any thread; calls after the first
/// are ignored. A request whose responder is destroyed without a response gets status 500.
class HttpResponder
{
public:
  class Sink
  {
  public:
    virtual ~Sink() = default;
    virtual void Send(HttpResponse aResponse) = 0;
  };
  explicit HttpResponder(std::shared_ptr<Sink> aSink)
    : m_sink(std::move(aSink))
  {
  }
  void Send(HttpResponse aResponse) const { m_sink->Send(std::move(aResponse)); }

private:
  std::shared_ptr<Sink> m_sink;
};

/// Called on the io_context's thread for each complete request.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

class HttpServer
{
public:
  HttpServer(asio::io_context& aContext, HttpServerOptions aOptions, HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the address and starts accepting connections. Errors: Unavailable when the address
  /// cannot be bound, Invalid when the TLS files cannot be loaded.
  Result<void> Start();
  /// The bound port; valid after Start().
  std::uint16_t Port() const;
  /// Reloads the TLS files for new connections. Error: Invalid when they cannot be loaded.
  Result<void> ReloadTls();
  /// Changes the limit of a body, except at a TLS listener. Must be called on the io_context's
  /// thread.
  void SetMaxBodyBytes(std::uint64_t aBytes);
  /// Stops accepting connections. Open connections stay usable, and each is closed after its next
  /// response.
  void StopAccepting();
  /// Closes the listener and all connections. Must be called on the io_context's thread, or when no
  /// thread runs the io_context any more.
  void Stop();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

} // namespace mustardtray
