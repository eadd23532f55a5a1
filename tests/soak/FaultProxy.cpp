#include "tests/soak/FaultProxy.h"

#include <array>

#include <asio/write.hpp>

namespace mustardtray::soak {

namespace {

constexpr Micros kForwardDelay{ 120'000 };
/// Interval at which a stalled connection checks whether the fault has ended.
constexpr Micros kStallPollPeriod{ 50'000 };
constexpr std::size_t kBufferBytes = 16'384;

} // namespace

/// Both sockets of a proxied connection, with a buffer for each direction.
struct FaultProxy::Connection
{
  explicit Connection(asio::io_context& aContext)
    : m_downstream(aContext)
    , m_upstream(aContext)
  {
  }

  void Reset()
  {
    asio::error_code ignored;
    m_downstream.set_option(asio::socket_base::linger(true, 0), ignored);
    m_downstream.close(ignored);
    m_upstream.close(ignored);
  }

  asio::ip::tcp::socket m_downstream;
  asio::ip::tcp::socket m_upstream;
  std::array<char, kBufferBytes> m_requestBuffer{};
  std::array<char, kBufferBytes> m_responseBuffer{};
  TimerHandle m_requestTimer;
  TimerHandle m_responseTimer;
};

FaultProxy::FaultProxy(asio::io_context& aContext, TimerService& aTimers, std::uint16_t aTargetPort)
  : m_context(aContext)
  , m_timers(aTimers)
  , m_targetPort(aTargetPort)
  , m_acceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
{
  Accept();
}

void FaultProxy::ResetConnections()
{
  for (const std::weak_ptr<Connection>& weak : m_connections) {
    if (const auto connection = weak.lock()) {
      connection->Reset();
    }
  }
  m_connections.clear();
}

void FaultProxy::Accept()
{
  auto connection = std::make_shared<Connection>(m_context);
  m_acceptor.async_accept(connection->m_downstream,
                          [this, connection](const asio::error_code& aError) {
                            if (aError) {
                              return;
                            }
                            connection->m_upstream.async_connect(
                              { asio::ip::address_v4::loopback(), m_targetPort },
                              [this, connection](const asio::error_code& aConnectError) {
                                if (aConnectError) {
                                  connection->Reset();
                                  return;
                                }
                                ReadChunk(connection, false);
                                ReadChunk(connection, true);
                              });
                            m_connections.push_back(connection);
                            Accept();
                          });
}

void FaultProxy::ReadChunk(const std::shared_ptr<Connection>& aConnection, bool aIsResponse)
{
  auto& from = aIsResponse ? aConnection->m_upstream : aConnection->m_downstream;
  auto& buffer = aIsResponse ? aConnection->m_responseBuffer : aConnection->m_requestBuffer;
  from.async_read_some(
    asio::buffer(buffer),
    [this, aConnection, aIsResponse](const asio::error_code& aError, std::size_t aBytes) {
      if (aError) {
        asio::error_code ignored;
        aConnection->m_downstream.close(ignored);
        aConnection->m_upstream.close(ignored);
        return;
      }
      ForwardChunk(aConnection, aIsResponse, aBytes);
    });
}

void FaultProxy::ForwardChunk(const std::shared_ptr<Connection>& aConnection,
                              bool aIsResponse,
                              std::size_t aBytes)
{
  const bool isStalled =
    m_fault == LinkFault::Stalled || (m_fault == LinkFault::ResponsesStalled && aIsResponse);
  TimerHandle& timer = aIsResponse ? aConnection->m_responseTimer : aConnection->m_requestTimer;
  if (isStalled) {
    timer = m_timers.After(kStallPollPeriod, [this, aConnection, aIsResponse, aBytes] {
      ForwardChunk(aConnection, aIsResponse, aBytes);
    });
    return;
  }
  const auto write = [this, aConnection, aIsResponse, aBytes] {
    auto& to = aIsResponse ? aConnection->m_downstream : aConnection->m_upstream;
    auto& buffer = aIsResponse ? aConnection->m_responseBuffer : aConnection->m_requestBuffer;
    asio::async_write(
      to,
      asio::buffer(buffer.data(), aBytes),
      [this, aConnection, aIsResponse](const asio::error_code& aError, std::size_t) {
        if (!aError) {
          ReadChunk(aConnection, aIsResponse);
        }
      });
  };
  Micros delay = m_fault == LinkFault::Delayed ? kForwardDelay : Micros{ 0 };
  if (m_link) {
    delay += m_link->Reserve(aIsResponse, aBytes, MonotonicNow());
  }
  if (delay.count() > 0) {
    timer = m_timers.After(delay, write);
  } else {
    write();
  }
}

} // namespace mustardtray::soak
