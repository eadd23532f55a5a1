#pragma once

/// HTTP/1.1 server of the stand-ins. It uses plain Asio and http_parser so that a handler can fail
/// on purpose: truncate a response, close without a response or reset the connection. It has no
/// protection against malicious peers.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Error.h"

namespace mustardtray {

/// A request and the connection that awaits its response. All members must be called on the
/// io_context's thread; calls after the first response or close have no effect.
class StandinExchange
{
public:
  virtual ~StandinExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// IP address of the client.
  virtual const std::string& PeerAddress() const = 0;
  virtual void SendResponse(const HttpResponse& aResponse) = 0;
  /// Announces the length of the whole body but sends only half of it, then closes the connection,
  /// with a reset when aReset is set.
  virtual void SendTruncatedResponse(const HttpResponse& aResponse, bool aReset) = 0;
  /// Closes the connection without a response.
  virtual void Close() = 0;
  /// Resets the connection without a response.
  virtual void Reset() = 0;
};

using StandinHandler = std::function<void(std::shared_ptr<StandinExchange>)>;

/// Traffic of a server since it was created.
struct StandinTraffic
{
  std::size_t m_connections = 0; ///< Currently open.
  std::size_t m_peakConnections = 0;
  std::uint64_t m_accepted = 0;
  std::uint64_t m_bytesIn = 0;
  std::uint64_t m_bytesOut = 0;
};

class StandinServer
{
public:
  StandinServer(asio::io_context& aContext,
                std::string aAddress,
                std::uint16_t aPort,
                StandinHandler aHandler);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  /// Binds the address and starts to accept connections. With port 0 the system chooses a port,
  /// which later calls reuse. Errors: Unavailable when the address cannot be bound.
  Result<void> Listen();
  void StopListening();
  bool IsListening() const;
  std::uint16_t Port() const;
  /// Closes every connection, with a reset when aReset is set.
  void CloseConnections(bool aReset);
  /// Closes the connections that do not await a response, with a reset when aReset is set.
  void CloseIdleConnections(bool aReset);
  const StandinTraffic& Traffic() const;

private:
  class Connection;
  struct SharedState;
  void AcceptNext();

  std::shared_ptr<SharedState> m_shared;
};

} // namespace mustardtray
