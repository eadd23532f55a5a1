#pragma once

/// Builds the snapshot that the traffic thread routes by. No I/O.

#include <functional>
#include <map>
#include <string>

#include "mustardtray/process/PeerTable.h"
#include "mustardtray/process/fleet/FleetView.h"
#include "mustardtray/request/RoutingSnapshot.h"

namespace mustardtray {

/// Returns this entry VM's part of aTotal slots or connections of a minion.
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

/// Compiles a configuration for the VMs that have rows.
CompiledConfigurationPointer CompileForFleet(const Configuration& aConfiguration,
                                             const FleetView& aFleet);

/// Whether the VM accepts new work according to its row and to the heartbeats of the peers. A peer
/// that reports the VM as out of service in a newer row takes precedence over this node's row.
bool AcceptsWork(const VmRecord& aVm, const PeerTable& aPeers);

RoutingSnapshotPointer BuildRoutingSnapshot(const RoutingInputs& aInputs);

} // namespace mustardtray
