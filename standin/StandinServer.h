#pragma once

/// HTTP/1.1 server of the stand-ins: raw Asio with http_parser, so that a handler can misbehave on
/// purpose (answer short, close without an answer, reset). Not meant for hostile peers.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Error.h"

namespace mustardtray {

/// A connection that waits for the answer to one request. All members run on the io_context's
/// thread; after the first answer or close the others do nothing.
class StandinExchange
{
public:
  virtual ~StandinExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// IP number of the other side.
  virtual const std::string& PeerAddress() const = 0;
  virtual void Answer(const HttpResponse& aResponse) = 0;
  /// Declares the whole body, sends half of it, and closes or resets the connection.
  virtual void AnswerHalf(const HttpResponse& aResponse, bool aReset) = 0;
  /// Closes the connection without an answer.
  virtual void Close() = 0;
};

using StandinHandler = std::function<void(std::shared_ptr<StandinExchange>)>;

/// What went through a server since its start.
struct StandinTraffic
{
  std::size_t m_connections = 0; ///< Open now.
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

  /// Binds and accepts; with port 0 the system chooses once and the port stays the same from then
  /// on. Errors: Unavailable when the address cannot be bound.
  Result<void> Listen();
  void StopListening();
  bool IsListening() const;
  std::uint16_t Port() const;
  /// Closes every connection, by a reset when aReset.
  void CloseConnections(bool aReset);
  const StandinTraffic& Traffic() const;

private:
  class Connection;
  struct Shared;
  void Accept();

  std::shared_ptr<Shared> m_shared;
};

} // namespace mustardtray
