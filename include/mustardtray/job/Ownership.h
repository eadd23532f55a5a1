#pragma once

/// Which node owns which pool. Owner rows change only by claim and release; a silent node is
/// evicted first, by a conditional write on its own row, so that its next renewal fails. Load that
/// it answers: nodes that are killed, frozen, cut off or replaced, several at a time.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// A node's row, as it last looked.
struct NodeRow
{
  std::string m_name;
  std::string m_incarnation; ///< Differs for each registration.
  std::string m_address;     ///< For peers: IP and port.
  double m_cpuShare = 1.0;   ///< Cores that it has: larger nodes own more.
  bool m_isEvicted = false;
  bool m_isLeaving = false;
  std::uint64_t m_version = 0;
  TimePoint m_changedAt{}; ///< When this process last saw the row change, by its own clock.
};

/// The row that says who owns a pool.
struct OwnerRow
{
  std::string m_pool;
  std::string m_node;
  std::string m_incarnation;
  std::uint32_t m_epoch = 0; ///< Number of claims before this one.
  bool m_isReleased = false;
  std::string m_successor;     ///< Named by a node that released the pool.
  std::uint64_t m_version = 0; ///< Also the owner's fencing token.
};

struct OwnershipView
{
  std::string m_self;
  std::string m_incarnation;
  bool m_selfIsLeaving = false;
  std::map<std::string, NodeRow> m_nodes;
  std::map<std::string, OwnerRow> m_owners;
  std::vector<std::string> m_pools; ///< That need an owner.
};

struct OwnershipActions
{
  std::vector<std::string> m_evictions; ///< Nodes.
  std::vector<std::string> m_claims;    ///< Pools.
};

/// How long a node may act after it sent its latest successful renewal.
inline constexpr Millis kNodeLease{ 1'900 };
/// How long others wait after they last saw its row change: the lease, and a margin for clocks that
/// run at different speeds.
inline constexpr Millis kSilenceLimit{ 2'300 };

bool IsLive(const NodeRow& aNode, TimePoint aNow);
OwnershipActions DecideOwnership(const OwnershipView& aView, TimePoint aNow);
/// To whom a leaving node hands a pool: the live node with the fewest pools; empty when there is
/// none.
std::string ChooseSuccessor(const OwnershipView& aView, const std::string& aPool, TimePoint aNow);

std::string EncodeNodeRow(const NodeRow& aRow);
Result<NodeRow> DecodeNodeRow(const std::string& aName, const std::string& aValue);
std::string EncodeOwnerRow(const OwnerRow& aRow);
Result<OwnerRow> DecodeOwnerRow(const std::string& aPool, const std::string& aValue);

} // namespace mustardtray::job
