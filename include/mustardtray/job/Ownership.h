#pragma once

/// Decides which node owns which pool. An owner row changes only when a node claims or releases the
/// pool. An unresponsive node is evicted before its pools are claimed: a conditional write to its
/// row makes its next renewal fail. Handles nodes that are killed, frozen, disconnected or
/// replaced, several at a time.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// The latest known content of a node's row.
struct NodeRow
{
  std::string m_name;
  std::string m_incarnation; ///< Differs for each registration.
  std::string m_address;     ///< IP and port for peers.
  double m_cpuCores = 1.0;   ///< Cores of the node; nodes with more cores own more pools.
  bool m_isEvicted = false;
  bool m_isLeaving = false;
  std::uint64_t m_version = 0;
  /// Version of the store up to which the row is known to be the current one; 0 when only changes
  /// were followed.
  std::uint64_t m_checkedVersion = 0;
  std::string m_encoded;   ///< Stored value that this row was decoded from.
  TimePoint m_changedAt{}; ///< When this process last saw the row change, on its own clock.
};

/// Row with the owner of a pool.
struct OwnerRow
{
  std::string m_pool;
  std::string m_node;
  std::string m_incarnation;
  std::uint32_t m_epoch = 0; ///< Number of claims before this one.
  bool m_isReleased = false;
  std::string m_successor;     ///< Chosen by the node that released the pool.
  std::uint64_t m_version = 0; ///< Also the owner's fencing token.
};

struct OwnershipView
{
  std::string m_self;
  std::string m_incarnation;
  bool m_selfIsLeaving = false;
  std::map<std::string, NodeRow> m_nodes;
  std::map<std::string, OwnerRow> m_owners;
  std::vector<std::string> m_pools; ///< Pools that need an owner.
};

struct OwnershipActions
{
  std::vector<std::string> m_evictions; ///< Names of nodes.
  std::vector<std::string> m_claims;    ///< Names of pools.
};

/// How long a node may act as an owner after it sent its latest successful renewal.
inline constexpr Millis kNodeLease{ 1'900 };
/// Time without a change of a node's row after which others evict the node: its lease plus a margin
/// for clocks that run at different speeds.
inline constexpr Millis kNodeTimeout{ 2'300 };

bool IsLive(const NodeRow& aNode, TimePoint aNow);
OwnershipActions DecideOwnership(const OwnershipView& aView, TimePoint aNow);
/// Returns the node that takes over a pool from this leaving node: the live node with the fewest
/// pools for its size; empty when there is none.
std::string ChooseSuccessor(const OwnershipView& aView, const std::string& aPool, TimePoint aNow);

/// Whether a leaving node should hand its pools over now: a node can take them, or it is too late
/// to wait for one. Pools without an owner would lose their running work when its leases end.
bool ShouldHandOver(const OwnershipView& aView, TimePoint aDeadline, TimePoint aNow);

std::string EncodeNodeRow(const NodeRow& aRow);
Result<NodeRow> DecodeNodeRow(const std::string& aName, const std::string& aValue);
std::string EncodeOwnerRow(const OwnerRow& aRow);
Result<OwnerRow> DecodeOwnerRow(const std::string& aPool, const std::string& aValue);

} // namespace mustardtray::job
