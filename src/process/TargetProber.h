#pragma once

/// Connects to minions to check whether they accept connections. A probe sends no request, so that
/// it uses none of a minion's slots.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/process/Time.h"

namespace mustardtray {

struct ProbeTarget
{
  std::string m_name;
  std::string m_address; ///< IP address.
  std::uint16_t m_port = 0;
};

/// Used on the control thread only.
class TargetProber
{
public:
  explicit TargetProber(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  /// Starts a probe unless one with the same name is running. aCallback gets true when the
  /// connection was established within aTimeout.
  void Probe(const ProbeTarget& aTarget, Millis aTimeout, std::function<void(bool)> aCallback);

private:
  struct Connection;
  asio::io_context& m_context;
  std::map<std::string, std::weak_ptr<Connection>> m_activeProbes;
};

} // namespace mustardtray
