#pragma once

/// What the traffic thread routes by: one immutable snapshot, made by the control thread whenever
/// the configuration, the VMs, the shares, the peers or the ownership of keys change.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mustardtray/process/KeyOwnership.h"
#include "mustardtray/request/Routing.h"
#include "mustardtray/version/CompiledConfiguration.h"

namespace mustardtray {

/// A minion of this availability zone and this entry VM's share of it.
struct MinionEndpoint
{
  std::string m_vm;
  std::string m_address; ///< IP number.
  std::uint16_t m_port = 0;
  int m_slots = 0; ///< 0 while the VM is leaving or the share is not granted yet.
  int m_connections = 0;
};

/// Another entry VM.
struct PeerEndpoint
{
  NodeIncarnation m_node;
  std::string m_forwardUrl;
  bool m_sameZone = false;
};

struct RoutingSnapshot
{
  NodeIncarnation m_self; ///< Incarnation 0 until this node has registered.
  CompiledConfigurationPointer m_configuration;
  std::uint64_t m_shareGeneration = 0;
  std::map<std::string, std::vector<MinionEndpoint>> m_minions; ///< By service.
  std::map<std::string, PeerEndpoint> m_peers;                  ///< By node.
  std::map<std::string, std::vector<PeerRoom>> m_rooms;         ///< By service.
  std::shared_ptr<const KeyOwnership> m_ownership;
  /// Generations of the VM rows that m_minions was made from, for VMs that get no work.
  std::map<std::string, std::uint64_t> m_outGenerations;
};

using RoutingPointer = std::shared_ptr<const RoutingSnapshot>;

/// What the traffic thread tells the control thread about itself.
struct TrafficReport
{
  RoutingPointer m_applied;                   ///< The last snapshot taken over.
  bool m_withinShares = false;                ///< Nothing runs beyond the shares of that snapshot.
  std::map<std::string, ServiceLoad> m_loads; ///< By service.
  /// By service, since the start: requests that came here first, refused ones included.
  std::map<std::string, std::uint64_t> m_arrivals;
  std::map<std::string, int> m_runningByVm; ///< Attempts in flight at each minion's VM.
  std::vector<StoppedPartition> m_stoppedPartitions;
  std::size_t m_active = 0; ///< Requests that are not answered yet.
};

} // namespace mustardtray
