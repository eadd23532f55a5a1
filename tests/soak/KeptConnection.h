#pragma once

/// A caller that sends one request after the other on the same connection for as long as the node
/// keeps it open.

#include <functional>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/streambuf.hpp>

#include "mustardtray/process/TimerService.h"

namespace mustardtray::soak {

class KeptConnection
{
public:
  /// Returns the path of the next request; empty when there is nothing to ask for.
  using PathCallback = std::function<std::string()>;
  /// Called when the connection ended before a request had its complete response. aSentAt: when the
  /// request was written.
  using BrokenCallback = std::function<void(TimePoint aSentAt)>;
  struct Habits
  {
    Millis m_pause{ 0 };           ///< Between a response and the next request.
    bool m_usesUntilEnded = false; ///< Goes on after a response that announces the end.
  };
  /// aAddress: IP address and port of the node.
  KeptConnection(asio::io_context& aContext,
                 TimerService& aTimers,
                 const std::string& aAddress,
                 Habits aHabits,
                 PathCallback aNextPath,
                 BrokenCallback aOnBroken);

  void Connect();

private:
  void SendRequest();
  void ReadHeader();
  void ReadBody(std::size_t aBytes);
  void OnEnded(bool aIsUnanswered);
  /// Ignores the results of operations on former connections.
  template<typename Function>
  auto OnCurrent(Function aFunction);

  TimerService& m_timers;
  asio::ip::tcp::endpoint m_endpoint;
  Habits m_habits;
  PathCallback m_nextPath;
  BrokenCallback m_onBroken;
  asio::ip::tcp::socket m_socket;
  asio::streambuf m_buffer;
  std::string m_request;
  TimePoint m_sentAt{};
  bool m_mustReconnect = false;
  std::uint64_t m_connectionCount = 0;
  TimerHandle m_timer;
};

} // namespace mustardtray::soak
