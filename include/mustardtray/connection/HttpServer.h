#pragma once

/// An HTTP/1.1 server on one address, on one io_context. Malformed, oversized and slow requests
/// are answered here (400, 413, 431, 408) and never reach the handler.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Certificate and key of a TLS listener, as PEM files.
struct TlsFiles
{
  std::string m_certificateFile;
  std::string m_keyFile;
};

struct HttpServerOptions
{
  std::string m_address = "127.0.0.1"; ///< IP number.
  std::uint16_t m_port = 0;            ///< 0 lets the system choose; see HttpServer::Port().
  std::uint64_t m_maxBodyBytes = 8u << 20;
  std::size_t m_maxHeaderBytes = 16u << 10; ///< For one header field and for the URL.
  std::size_t m_maxHeaderCount = 100;
  std::size_t m_maxConnections = 10'000;
  Millis m_readTimeout{ 10'000 };    ///< For the whole request to arrive, and for idle connections.
  Millis m_handleTimeout{ 120'000 }; ///< For the handler to answer.
  TlsFiles m_tls;                    ///< Plain TCP when the certificate file is empty.
};

/// Sends the one answer to a request. May be called from any thread, at most once; a request whose
/// responder is dropped is answered with 500.
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

/// Called on the io_context's thread for each whole request.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

class HttpServer
{
public:
  HttpServer(asio::io_context& aContext, HttpServerOptions aOptions, HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts to accept. Errors: Unavailable when the address cannot be bound, Invalid
  /// for unusable TLS files.
  Result<void> Start();
  /// The bound port, after Start().
  std::uint16_t Port() const;
  /// Reads the TLS files again for connections that come from now on.
  Result<void> ReloadTls();
  /// Stops accepting; open connections go on, and each is closed after its next answer.
  void StopAccepting();
  /// Closes everything. Call on the io_context's thread, or when nothing runs it any more.
  void Stop();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

} // namespace mustardtray
