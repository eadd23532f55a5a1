#pragma once

/// Draws the faults of the requests that minions receive: requests that get no response and are
/// carried out late, and requests that are refused.

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "mustardtray/process/Time.h"

namespace mustardtray::soak {

enum class OrderKinds
{
  Orders, ///< Starts, stops and paces.
  Grants, ///< Extensions of leases.
  All,
};

struct OrderFault
{
  enum class Response
  {
    None,    ///< The connection stays open.
    Reset,   ///< The connection is reset.
    Refusal, ///< With m_status.
  };

  Response m_response = Response::None;
  int m_status = 0;
  std::optional<Millis> m_delay; ///< Until the request is carried out; empty if it never is.
};

class OrderFaults
{
public:
  explicit OrderFaults(std::uint64_t aSeed);

  /// From now on each of these machines has a share of its requests of these kinds carried out
  /// late, and a share of the others refused. Replaces the previous faults.
  void Begin(std::set<std::string> aMachines,
             OrderKinds aKinds,
             int aLatePercent,
             int aRefusedPercent);
  void End() { m_machines.clear(); }
  /// Returns the fault of a request to the machine, if it has one.
  std::optional<OrderFault> Draw(const std::string& aMachine, const std::string& aPath);

private:
  int DrawNumber(int aMin, int aMax);
  OrderFault DrawLate();
  OrderFault DrawRefusal();

  std::mt19937_64 m_random;
  std::set<std::string> m_machines;
  OrderKinds m_kinds = OrderKinds::All;
  int m_latePercent = 0;
  int m_refusedPercent = 0;
};

} // namespace mustardtray::soak
