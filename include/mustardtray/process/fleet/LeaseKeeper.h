#pragma once

/// Leases of controllers on scopes of work, by rows of the table and monotonic time only.

#include <map>
#include <optional>
#include <string>

#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/process/fleet/FleetPolicy.h"
#include "mustardtray/process/fleet/FleetView.h"

namespace mustardtray {

/// The holder counts its lease from before it sent the renewal, an observer from when it last saw
/// the row change, plus a guard.
class LeaseKeeper
{
public:
  explicit LeaseKeeper(std::string aNode)
    : m_node(std::move(aNode))
  {
  }

  /// The write that takes or renews the lease, when one is due.
  std::optional<Transaction> Plan(const FleetView& aView,
                                  const FleetPolicy& aPolicy,
                                  const std::string& aScope,
                                  TimePoint aNow);
  /// Takes in that the write sent at that time was committed.
  void OnCommitted(const std::string& aScope, const FleetPolicy& aPolicy, TimePoint aSentAt);
  bool Holds(const std::string& aScope, TimePoint aNow) const;

private:
  struct Observation
  {
    std::uint64_t m_version = 0;
    TimePoint m_since{};
  };

  std::string m_node;
  std::map<std::string, Observation> m_observations;
  std::map<std::string, TimePoint> m_heldUntil;
};

} // namespace mustardtray
