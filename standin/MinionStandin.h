#pragma once

/// Hosts many simulated minions in one process. One control address injects faults and returns
/// statistics.

#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "mustardtray/process/Error.h"
#include "standin/Minion.h"
#include "standin/RunCounter.h"
#include "standin/StandinServer.h"

namespace mustardtray {

struct MinionStandinSettings
{
  std::string m_controlAddress = "127.0.0.1";
  std::uint16_t m_controlPort = 0;
  std::vector<MinionSettings> m_minions;
};

/// Errors: Invalid; the message lists every error of the document.
Result<MinionStandinSettings> ParseMinionStandinSettings(std::string_view aText);

/// Not thread-safe: all members must be called on the io_context's thread. docs/STANDINS.md
/// describes the wire format.
class MinionStandin
{
public:
  MinionStandin(asio::io_context& aContext, MinionStandinSettings aSettings);

  /// Opens the control listener and starts the minions that are configured to run. Errors:
  /// Unavailable when an address cannot be bound.
  Result<void> Start();
  std::uint16_t ControlPort() const { return m_control.Port(); }
  const std::vector<std::unique_ptr<Minion>>& Minions() const { return m_minions; }
  const RunCounter& RunCounts() const { return m_runCounter; }
  Json Stats() const;

private:
  using Exchange = std::shared_ptr<StandinExchange>;

  /// Selects the minions that a control request applies to.
  struct MinionFilter
  {
    std::string m_vm;
    std::string m_service; ///< Empty selects all services of the VM.
    std::string m_pool;    ///< Empty selects all pools.
  };

  void OnControl(const Exchange& aExchange);
  void OnMinionControl(const Exchange& aExchange, const std::string& aPath);
  void OnFault(const Exchange& aExchange, const std::string& aVm);
  void OnCommand(const Exchange& aExchange, const std::string& aVm, std::string_view aCommand);
  void StartMinions(const Exchange& aExchange, const std::vector<Minion*>& aMinions);
  std::vector<Minion*> SelectMinions(const MinionFilter& aFilter) const;
  Json MinionList() const;

  RunCounter m_runCounter;
  std::vector<std::unique_ptr<Minion>> m_minions;
  StandinServer m_control;
};

} // namespace mustardtray
