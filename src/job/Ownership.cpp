#include "mustardtray/job/Ownership.h"

#include <algorithm>
#include <tuple>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace mustardtray::job {

using nlohmann::json;

namespace {

/// Avoids a division by zero for a row that claims no cores.
constexpr double kMinCpuCores = 0.01;

std::uint64_t RendezvousHash(const std::string& aPool, const std::string& aNode)
{
  const std::string text = aPool + '\0' + aNode;
  return XXH64(text.data(), text.size(), 0);
}

/// Whether the owner's registration is still current, so that its lease may be valid.
bool HoldsLease(const OwnershipView& aView, const OwnerRow& aOwner)
{
  const auto node = aView.m_nodes.find(aOwner.m_node);
  return node != aView.m_nodes.end() && !node->second.m_isEvicted &&
         node->second.m_incarnation == aOwner.m_incarnation;
}

/// Whether the owner's claim is newer than the known row of its node. A node registers before it
/// claims, so in this case the registration in the claim has not been received yet.
bool IsNodeViewStale(const OwnershipView& aView, const OwnerRow& aOwner)
{
  const auto node = aView.m_nodes.find(aOwner.m_node);
  return node == aView.m_nodes.end() ||
         std::max(node->second.m_version, node->second.m_checkedVersion) < aOwner.m_version;
}

std::map<std::string, int> CountPools(const OwnershipView& aView)
{
  std::map<std::string, int> counts;
  for (const auto& [pool, owner] : aView.m_owners) {
    if (!owner.m_isReleased) {
      ++counts[owner.m_node];
    }
  }
  return counts;
}

/// Returns the live node with the fewest pools for its size, or an empty name when there is none.
/// Ties are resolved by a hash, with the same result on all nodes.
std::string ChooseCandidate(const OwnershipView& aView,
                            const std::string& aPool,
                            std::map<std::string, int>& aCounts,
                            TimePoint aNow,
                            const std::string& aExcludedNode)
{
  const NodeRow* best = nullptr;
  for (const auto& [name, node] : aView.m_nodes) {
    if (!IsLive(node, aNow) || node.m_isLeaving || name == aExcludedNode) {
      continue;
    }
    const auto rank = [&](const NodeRow& aNode) {
      return std::tuple((aCounts[aNode.m_name] + 1) / std::max(aNode.m_cpuCores, kMinCpuCores),
                        RendezvousHash(aPool, aNode.m_name));
    };
    if (!best || rank(node) < rank(*best)) {
      best = &node;
    }
  }
  return best ? best->m_name : std::string{};
}

} // namespace

bool IsLive(const NodeRow& aNode, TimePoint aNow)
{
  return !aNode.m_isEvicted && aNow - aNode.m_changedAt < kNodeTimeout;
}

OwnershipActions DecideOwnership(const OwnershipView& aView, TimePoint aNow)
{
  OwnershipActions actions;
  if (aView.m_selfIsLeaving) {
    return actions;
  }
  std::map<std::string, int> counts = CountPools(aView);
  for (const std::string& pool : aView.m_pools) {
    const auto found = aView.m_owners.find(pool);
    const OwnerRow* owner = found == aView.m_owners.end() ? nullptr : &found->second;
    std::string candidate;
    if (owner && !owner->m_isReleased) {
      const auto holder = aView.m_nodes.find(owner->m_node);
      const bool holderIsLive = holder != aView.m_nodes.end() && IsLive(holder->second, aNow);
      const bool holdsLease = HoldsLease(aView, *owner);
      if (holdsLease ? holderIsLive : IsNodeViewStale(aView, *owner)) {
        continue;
      }
      // A restarted node takes its pools back: it knows that its former process has ended.
      candidate = holderIsLive && !holder->second.m_isLeaving
                    ? owner->m_node
                    : ChooseCandidate(aView, pool, counts, aNow, owner->m_node);
      if (candidate == aView.m_self && holdsLease) {
        actions.m_evictions.push_back(owner->m_node);
      }
      --counts[owner->m_node];
    } else if (owner) {
      const auto next = aView.m_nodes.find(owner->m_successor);
      const bool isSuccessorUsable =
        next != aView.m_nodes.end() && IsLive(next->second, aNow) && !next->second.m_isLeaving;
      candidate =
        isSuccessorUsable ? owner->m_successor : ChooseCandidate(aView, pool, counts, aNow, {});
    } else {
      candidate = ChooseCandidate(aView, pool, counts, aNow, {});
    }
    ++counts[candidate];
    if (candidate == aView.m_self) {
      actions.m_claims.push_back(pool);
    }
  }
  std::sort(actions.m_evictions.begin(), actions.m_evictions.end());
  actions.m_evictions.erase(std::unique(actions.m_evictions.begin(), actions.m_evictions.end()),
                            actions.m_evictions.end());
  return actions;
}

std::string ChooseSuccessor(const OwnershipView& aView, const std::string& aPool, TimePoint aNow)
{
  std::map<std::string, int> counts = CountPools(aView);
  return ChooseCandidate(aView, aPool, counts, aNow, aView.m_self);
}

bool ShouldHandOver(const OwnershipView& aView, TimePoint aDeadline, TimePoint aNow)
{
  const bool hasSuccessor =
    std::any_of(aView.m_nodes.begin(), aView.m_nodes.end(), [&](const auto& aEntry) {
      const NodeRow& node = aEntry.second;
      return aEntry.first != aView.m_self && IsLive(node, aNow) && !node.m_isLeaving;
    });
  return hasSuccessor || aNow >= aDeadline;
}

std::string EncodeNodeRow(const NodeRow& aRow)
{
  json out{ { "inc", aRow.m_incarnation }, { "addr", aRow.m_address }, { "cpu", aRow.m_cpuCores } };
  if (aRow.m_isEvicted) {
    out["evicted"] = true;
  }
  if (aRow.m_isLeaving) {
    out["leaving"] = true;
  }
  return out.dump();
}

Result<NodeRow> DecodeNodeRow(const std::string& aName, const std::string& aValue)
{
  try {
    const json in = json::parse(aValue);
    NodeRow row;
    row.m_name = aName;
    row.m_incarnation = in.at("inc").get<std::string>();
    row.m_address = in.at("addr").get<std::string>();
    row.m_cpuCores = in.value("cpu", 1.0);
    row.m_isEvicted = in.value("evicted", false);
    row.m_isLeaving = in.value("leaving", false);
    return row;
  } catch (const json::exception& fault) {
    return Error{ ErrorKind::Invalid, "decode node row", aName, fault.what() };
  }
}

std::string EncodeOwnerRow(const OwnerRow& aRow)
{
  json out{ { "node", aRow.m_node }, { "inc", aRow.m_incarnation }, { "epoch", aRow.m_epoch } };
  if (aRow.m_isReleased) {
    out["released"] = true;
    out["next"] = aRow.m_successor;
  }
  return out.dump();
}

Result<OwnerRow> DecodeOwnerRow(const std::string& aPool, const std::string& aValue)
{
  try {
    const json in = json::parse(aValue);
    OwnerRow row;
    row.m_pool = aPool;
    row.m_node = in.at("node").get<std::string>();
    row.m_incarnation = in.at("inc").get<std::string>();
    row.m_epoch = in.at("epoch").get<std::uint32_t>();
    row.m_isReleased = in.value("released", false);
    row.m_successor = in.value("next", std::string{});
    return row;
  } catch (const json::exception& fault) {
    return Error{ ErrorKind::Invalid, "decode owner row", aPool, fault.what() };
  }
}

} // namespace mustardtray::job
