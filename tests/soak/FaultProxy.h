#pragma once

/// TCP proxy on the loopback interface between one node and one port. It injects network faults
/// without the cooperation of either side: delays, stalls in both or only one direction, resets,
/// and a link of limited speed.

#include <list>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "mustardtray/process/TimerService.h"
#include "tests/soak/PacedLink.h"

namespace mustardtray::soak {

enum class LinkFault
{
  None,
  Delayed,         ///< Each chunk is delayed.
  Stalled,         ///< Nothing is forwarded; received data is forwarded when the fault ends.
  ResponsesStalled ///< Requests are forwarded; responses are stalled.
};

class FaultProxy
{
public:
  FaultProxy(asio::io_context& aContext, TimerService& aTimers, std::uint16_t aTargetPort);

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  void SetFault(LinkFault aFault) { m_fault = aFault; }
  /// Bytes share this link with those of other proxies; nullptr: no limit. Must outlive this proxy.
  void SetLink(PacedLink* aLink) { m_link = aLink; }
  /// Resets every open connection.
  void ResetConnections();

private:
  struct Connection;
  void Accept();
  void ReadChunk(const std::shared_ptr<Connection>& aConnection, bool aIsResponse);
  void ForwardChunk(const std::shared_ptr<Connection>& aConnection,
                    bool aIsResponse,
                    std::size_t aBytes);

  asio::io_context& m_context;
  TimerService& m_timers;
  std::uint16_t m_targetPort;
  asio::ip::tcp::acceptor m_acceptor;
  LinkFault m_fault = LinkFault::None;
  PacedLink* m_link = nullptr;
  std::list<std::weak_ptr<Connection>> m_connections;
};

} // namespace mustardtray::soak
