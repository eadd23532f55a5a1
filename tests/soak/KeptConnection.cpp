#include "tests/soak/KeptConnection.h"

#include <algorithm>
#include <cctype>

#include <asio/buffers_iterator.hpp>
#include <asio/ip/address.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

namespace mustardtray::soak {

namespace {

constexpr Millis kReconnectDelay{ 100 };

TimePoint Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

} // namespace

KeptConnection::KeptConnection(asio::io_context& aContext,
                               TimerService& aTimers,
                               const std::string& aAddress,
                               Habits aHabits,
                               PathCallback aNextPath,
                               BrokenCallback aOnBroken)
  : m_timers(aTimers)
  , m_endpoint(asio::ip::make_address(aAddress.substr(0, aAddress.find(':'))),
               static_cast<std::uint16_t>(std::stoul(aAddress.substr(aAddress.find(':') + 1))))
  , m_habits(aHabits)
  , m_nextPath(std::move(aNextPath))
  , m_onBroken(std::move(aOnBroken))
  , m_socket(aContext)
{
}

template<typename Function>
auto KeptConnection::OnCurrent(Function aFunction)
{
  return [this, number = m_connectionCount, function = std::move(aFunction)](
           const asio::error_code& aError, std::size_t = 0) {
    if (number == m_connectionCount) {
      function(aError);
    }
  };
}

void KeptConnection::Connect()
{
  ++m_connectionCount;
  asio::error_code ignored;
  m_socket.close(ignored);
  m_buffer.consume(m_buffer.size());
  m_mustReconnect = false;
  const auto onConnected = OnCurrent([this](const asio::error_code& aError) {
    if (aError) {
      OnEnded(false);
    } else {
      SendRequest();
    }
  });
  m_socket.async_connect(m_endpoint,
                         [onConnected](const asio::error_code& aError) { onConnected(aError); });
}

void KeptConnection::SendRequest()
{
  const std::string path = m_nextPath();
  if (path.empty()) {
    m_timer = m_timers.After(m_habits.m_pause, [this] { SendRequest(); });
    return;
  }
  m_request =
    fmt::format("GET {} HTTP/1.1\r\nHost: soak.example\r\nDeadline-Ms: 3000\r\n\r\n", path);
  asio::async_write(
    m_socket, asio::buffer(m_request), OnCurrent([this](const asio::error_code& aError) {
      m_sentAt = Now();
      if (aError) {
        OnEnded(false);
      } else {
        ReadHeader();
      }
    }));
}

void KeptConnection::ReadHeader()
{
  asio::async_read_until(
    m_socket, m_buffer, "\r\n\r\n", OnCurrent([this](const asio::error_code& aError) {
      if (aError) {
        OnEnded(true);
        return;
      }
      std::string header(asio::buffers_begin(m_buffer.data()), asio::buffers_end(m_buffer.data()));
      const std::size_t headerBytes = header.find("\r\n\r\n") + 4;
      header.resize(headerBytes);
      std::transform(header.begin(), header.end(), header.begin(), [](unsigned char aCharacter) {
        return static_cast<char>(std::tolower(aCharacter));
      });
      m_buffer.consume(headerBytes);
      m_mustReconnect = header.find("connection: close") != std::string::npos;
      constexpr std::string_view kLength = "content-length:";
      const std::size_t length = header.find(kLength);
      ReadBody(length == std::string::npos ? 0
                                           : std::stoul(header.substr(length + kLength.size())));
    }));
}

void KeptConnection::ReadBody(std::size_t aBytes)
{
  const std::size_t missing = aBytes - std::min(aBytes, m_buffer.size());
  asio::async_read(m_socket,
                   m_buffer,
                   asio::transfer_exactly(missing),
                   OnCurrent([this, aBytes](const asio::error_code& aError) {
                     if (aError) {
                       OnEnded(true);
                       return;
                     }
                     m_buffer.consume(aBytes);
                     if (m_mustReconnect && !m_habits.m_usesUntilEnded) {
                       OnEnded(false);
                       return;
                     }
                     m_timer = m_timers.After(m_habits.m_pause, [this] { SendRequest(); });
                   }));
}

void KeptConnection::OnEnded(bool aIsUnanswered)
{
  if (aIsUnanswered) {
    m_onBroken(m_sentAt);
  }
  m_timer = m_timers.After(kReconnectDelay, [this] { Connect(); });
}

} // namespace mustardtray::soak
