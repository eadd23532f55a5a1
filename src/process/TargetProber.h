#pragma once

/// Connects to minions to see whether anything listens there. Connections only: a probe takes none
/// of a minion's slots.

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
  std::string m_address; ///< IP number.
  std::uint16_t m_port = 0;
};

/// Lives on the control thread.
class TargetProber
{
public:
  explicit TargetProber(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  /// Starts a probe unless one of the same name is under way. The result is true when a
  /// connection was made within the time allowed.
  void Probe(const ProbeTarget& aTarget, Millis aTimeout, std::function<void(bool)> aCallback);

private:
  struct Connection;
  asio::io_context& m_context;
  std::map<std::string, std::weak_ptr<Connection>> m_running;
};

} // namespace mustardtray
