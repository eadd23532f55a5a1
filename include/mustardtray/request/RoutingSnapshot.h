#pragma once

/// Immutable input of the traffic thread's routing decisions. The control thread creates a new
/// snapshot whenever the configuration, the VMs, the shares, the peers or the ownership of key
/// partitions change.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mustardtray/process/KeyOwnership.h"
#include "mustardtray/request/Routing.h"
#include "mustardtray/version/CompiledConfiguration.h"

namespace mustardtray {

/// A minion in this availability zone, with this entry VM's share of its slots and connections.
struct MinionEndpoint
{
  std::string m_vm;
  std::string m_address; ///< IP address.
  std::uint16_t m_port = 0;
  int m_slots = 0; ///< 0 while the VM is being removed or the share is not granted yet.
  int m_connections = 0;
};

/// Endpoint of another entry VM.
struct PeerEndpoint
{
  NodeIncarnation m_node;
  std::string m_forwardUrl;
  bool m_isSameZone = false;
};

struct RoutingSnapshot
{
  NodeIncarnation m_self; ///< Incarnation 0 until this node has registered.
  CompiledConfigurationPointer m_configuration;
  std::uint64_t m_shareGeneration = 0;
  std::map<std::string, std::vector<MinionEndpoint>> m_minions;      ///< By service.
  std::map<std::string, PeerEndpoint> m_peers;                       ///< By node.
  std::map<std::string, std::vector<PeerCapacity>> m_peerCapacities; ///< By service.
  std::shared_ptr<const KeyOwnership> m_ownership;
  /// Generations of the VM rows that m_minions was built from, for VMs that receive no requests.
  std::map<std::string, std::uint64_t> m_excludedVmGenerations;
};

using RoutingSnapshotPointer = std::shared_ptr<const RoutingSnapshot>;

/// Periodic report of the traffic thread to the control thread.
struct TrafficReport
{
  RoutingSnapshotPointer m_appliedSnapshot; ///< The last snapshot applied.
  bool m_isWithinShares = false; ///< No minion has more slots in use than that snapshot grants.
  std::map<std::string, ServiceLoad> m_loads; ///< By service.
  /// Requests by service since the start that were not forwarded by another entry VM for its lack
  /// of capacity. Includes refused requests.
  std::map<std::string, std::uint64_t> m_arrivals;
  std::map<std::string, int> m_slotsInUseByVm; ///< Includes slots held by timed-out attempts.
  std::vector<StoppedPartition> m_stoppedPartitions;
  std::size_t m_activeRequestCount = 0; ///< Requests without a response so far.
};

} // namespace mustardtray
