#pragma once

/// Callers that exceed the limits of a node: each connection sends a first part, then repeats a
/// block up to a number of bytes, and stays open without reading the responses.

#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "mustardtray/process/Time.h"

namespace mustardtray::test {

struct HostileScript
{
  std::string m_name;
  std::string m_first;
  std::string m_repeated;       ///< Empty: only m_first is sent.
  std::size_t m_totalBytes = 0; ///< Of the repeated blocks.
  Millis m_pause{ 0 };          ///< Between the repeated blocks.
  /// Receive buffer of the caller's socket; 0: the system's default.
  int m_receiveBufferBytes = 0;
};

/// The hostile callers that are tested.
std::vector<HostileScript> HostileScripts();

class HostileCrowd
{
public:
  ~HostileCrowd();
  /// Opens connections, distributed over the scripts.
  void Open(const asio::ip::tcp::endpoint& aServer,
            const std::vector<HostileScript>& aScripts,
            std::size_t aConnections);
  /// Sends for a part of a second. Returns whether bytes were sent meanwhile.
  bool SendSome();

private:
  class Caller;

  asio::io_context m_context;
  std::size_t m_sentBytes = 0;
  std::vector<std::shared_ptr<Caller>> m_callers;
};

} // namespace mustardtray::test
