#pragma once

/// Registers this node and renews its lease, tracks the other nodes, and claims pools.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/job/Ownership.h"
#include "mustardtray/process/Backoff.h"
#include "node/NodeContext.h"
#include "node/TableFollower.h"

namespace mustardtray::node {

struct MembershipCallbacks
{
  /// This node owns the pool from now on.
  std::function<void(const job::OwnerRow&)> m_onClaimed;
  /// Another node has claimed a pool that this node owned.
  std::function<void(const std::string& aPool)> m_onOwnerChanged;
  /// Another node has evicted this one, which owns no pools any more.
  std::function<void()> m_onEvicted;
};

class Membership
{
public:
  Membership(NodeContext& aContext, std::string aPeerAddress, MembershipCallbacks aCallbacks);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Peer address of a pool's owner; empty when no owner is known.
  std::string OwnerAddress(const std::string& aPool) const;
  /// Peer addresses of the other nodes that were live when the node table was last read, beginning
  /// with the node whose name sorts after this one's, so that nodes do not all ask the same one.
  std::vector<std::string> LivePeers() const;
  bool HasOwnerView() const { return m_ownerFollower && m_ownerFollower->IsUpToDate(); }
  /// Time of the store's latest response to this node.
  TimePoint StoreAnsweredAt() const { return m_storeAnsweredAt; }

  /// Hands a pool over to another node. The callback runs when the write has ended, whether or not
  /// it succeeded. A write that failed is repeated while this node runs.
  void ReleasePool(const job::OwnerRow& aClaim, std::function<void(std::string aSuccessor)> aDone);
  /// Announces that this node is leaving; it claims no more pools.
  void StartLeaving();
  /// See job::ShouldHandOver().
  bool ShouldHandOver(TimePoint aDeadline) const
  {
    return job::ShouldHandOver(m_view, aDeadline, LeaseClockNow());
  }
  /// Checks ownership now instead of at the next period.
  void RequestDecision();
  /// Drops the record that this node owns the pool, so that it can be claimed again.
  void ForgetOwnership(const std::string& aPool);

private:
  /// Even a slow store answers within this time, so a longer silence means a broken connection.
  static constexpr Millis kCallTimeout{ 1'200 };
  /// When polls are further apart than this, the view is stale, and the silence of other nodes is
  /// measured from the next poll on.
  static constexpr Millis kMaxViewAge{ 1'600 };

  void Register();
  void WriteOwnRow(std::uint64_t aExpected);
  /// Handles a failed write of this node's row: it is not the one that this node wrote last.
  void OnOwnRowChanged(const std::vector<platform::Row>& aRows);
  void Renew();
  /// Whether this node neither owns a pool nor is about to.
  bool IsIdle() const;
  /// Called with each answer to a poll of the table.
  void OnNodes(const std::vector<platform::Row>& aRows);
  void ApplyNodeRows(const std::vector<platform::Row>& aRows);
  /// Reads the rows of owners that have not renewed them since this node follows the table, or
  /// since their claims.
  void ReadSilentOwners();
  void OnOwners(const std::vector<platform::Row>& aRows, bool aIsComplete);
  void UpdateOwnership();
  /// Claims the pools that this node's former process owned, since that process has ended, and
  /// those that were released to this node. The other nodes need not be known for it.
  void ClaimAssignedPools();
  void EvictNode(const std::string& aNode);
  void ClaimPool(const std::string& aPool);
  /// Releases pools whose claim by this node was written after it began to leave.
  void ReleaseLateClaims();
  void RetryRelease(const job::OwnerRow& aClaim, const Error& aError);
  void OnEvicted(std::uint64_t aVersion);
  std::vector<std::string> PoolsToOwn() const;
  /// Whether the owner row carries this node's name and current incarnation.
  bool IsOwnedByThisNode(const job::OwnerRow& aOwner) const;

  NodeContext& m_context;
  MembershipCallbacks m_callbacks;
  std::string m_address;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  job::OwnershipView m_view;
  std::uint64_t m_ownVersion = 0;
  bool m_isRegistered = false;
  bool m_isOwnRowCallPending = false;
  std::uint32_t m_registrationCount = 0;
  TimePoint m_registeredAt{};
  TimePoint m_renewedAt{}; ///< When the latest write of this node's row was sent.
  TimePoint m_nodesPolledAt{};
  TimePoint m_nodesFollowedSince{};
  TimePoint m_storeAnsweredAt{};
  std::set<std::string> m_pendingOwnershipWrites;
  std::set<std::string> m_pendingNodeReads;
  std::set<std::string> m_ownedPools;
  std::unique_ptr<TableFollower> m_nodeFollower;
  std::unique_ptr<TableFollower> m_ownerFollower;
  TimerHandle m_renewTimer;
  TimerHandle m_retryTimer;
  std::map<std::string, TimerHandle> m_releaseTimers; ///< By pool whose release is repeated.
  Backoff m_backoff;
  TimerHandle m_decisionTimer;
};

} // namespace mustardtray::node
