#pragma once

/// Leases of controllers on scopes of work. They rely on table rows and monotonic time only.

#include <map>
#include <optional>
#include <string>

#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/process/fleet/FleetPolicy.h"
#include "mustardtray/process/fleet/FleetView.h"

namespace mustardtray {

/// The holder measures its lease from the time before it sent the renewal. An observer measures
/// from when it last saw the row change, and adds a margin.
class LeaseManager
{
public:
  explicit LeaseManager(std::string aNode)
    : m_node(std::move(aNode))
  {
  }

  /// Returns the transaction that acquires or renews the lease, or nothing when none is due.
  std::optional<Transaction> PlanRenewal(const FleetView& aView,
                                         const FleetPolicy& aPolicy,
                                         const std::string& aScope,
                                         TimePoint aNow);
  /// Records that the transaction sent at aSentAt was committed.
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
