#pragma once

/// Hosts many simulated minions in one process, with one control address for faults and accounts.

#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "mustardtray/process/Error.h"
#include "standin/Minion.h"
#include "standin/StandinServer.h"
#include "standin/WorkLedger.h"

namespace mustardtray {

struct MinionStandinSettings
{
  std::string m_controlAddress = "127.0.0.1";
  std::uint16_t m_controlPort = 0;
  std::vector<MinionSettings> m_minions;
};

/// Errors: Invalid with every fault of the document.
Result<MinionStandinSettings> ParseMinionStandinSettings(std::string_view aText);

/// All members run on the io_context's thread. The wire format stands in docs/STANDINS.md.
class MinionStandin
{
public:
  MinionStandin(asio::io_context& aContext, MinionStandinSettings aSettings);

  /// Starts the control address and the minions that are to run. Errors: Unavailable when an
  /// address cannot be bound.
  Result<void> Start();
  std::uint16_t ControlPort() const { return m_control.Port(); }
  const std::vector<std::unique_ptr<Minion>>& Minions() const { return m_minions; }
  const WorkLedger& Ledger() const { return m_ledger; }
  Json Stats() const;

private:
  using Exchange = std::shared_ptr<StandinExchange>;

  /// Part of a control request that names minions.
  struct Target
  {
    std::string m_vm;
    std::string m_service; ///< Empty for all services of the VM.
    std::string m_pool;    ///< Empty for all pools.
  };

  void OnControl(const Exchange& aExchange);
  void OnMinionControl(const Exchange& aExchange, const std::string& aPath);
  void OnFault(const Exchange& aExchange, const std::string& aVm);
  void OnVerb(const Exchange& aExchange, const std::string& aVm, std::string_view aVerb);
  void StartMinions(const Exchange& aExchange, const std::vector<Minion*>& aMinions);
  std::vector<Minion*> Select(const Target& aTarget) const;
  Json MinionList() const;

  WorkLedger m_ledger;
  std::vector<std::unique_ptr<Minion>> m_minions;
  StandinServer m_control;
};

} // namespace mustardtray
