#pragma once

/// Puts together what the traffic thread routes by. Pure.

#include <functional>
#include <map>
#include <string>

#include "mustardtray/process/PeerTable.h"
#include "mustardtray/process/fleet/FleetView.h"
#include "mustardtray/request/RoutingSnapshot.h"

namespace mustardtray {

/// This entry VM's part of aTotal slots or connections of a minion.
using ShareFunction =
  std::function<int(const std::string& aMinion, int aTotal, Micros aLongestRun)>;

struct RoutingInputs
{
  NodeIncarnation m_self;
  std::string m_zone;
  CompiledConfigurationPointer m_configuration;
  const FleetView& m_fleet;
  const PeerTable& m_peers;
  ShareFunction m_share;
  std::uint64_t m_shareGeneration = 0;
  std::shared_ptr<const KeyOwnership> m_ownership;
  TimePoint m_now;
};

/// Resolves a configuration against the VM rows.
CompiledConfigurationPointer CompileForFleet(const Configuration& aConfiguration,
                                             const FleetView& aFleet);

/// Whether the VM takes new work, by its row and by what the peers of its zone know: a peer that
/// saw a newer row, in which the VM is out, is believed.
bool TakesWork(const VmRecord& aVm, const PeerTable& aPeers);

RoutingSnapshotPointer BuildRoutingSnapshot(const RoutingInputs& aInputs);

} // namespace mustardtray
