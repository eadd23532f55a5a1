#include "node/Membership.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

/// Decisions on the ownership of pools, and the writes that claim, release and evict.

namespace mustardtray::node {

namespace {

/// Batches the changes that lead to a decision.
constexpr Micros kDecisionDelay{ 20'000 };
/// Delay after registration when no pool has an owner, so that nodes that start together see each
/// other before they claim pools.
constexpr Millis kFirstClaimDelay{ 1'500 };
/// All live nodes renew their rows within this time, so that a new view has all of them.
constexpr Millis kCompleteViewTime{ 1'600 };
constexpr Millis kReleaseRetryDelay{ 200 };

} // namespace

std::vector<std::string> Membership::PoolsToOwn() const
{
  std::set<std::string> pools;
  const auto add = [&](const std::string& aPool) {
    for (const std::string& shard : m_context.m_shards.Names(aPool)) {
      pools.insert(shard);
    }
  };
  if (m_context.m_deployment.m_version == 0) {
    return {};
  }
  for (const job::PoolSpec& pool : m_context.m_deployment.m_pools) {
    if (!pool.m_isSpare) {
      add(pool.m_name);
    }
  }
  for (const job::QueueSpec& queue : m_context.m_deployment.m_queues) {
    add(queue.m_pool);
  }
  // Pools that the configuration has dropped may have jobs that were accepted, and no owner yet.
  for (const std::string& pool : m_context.m_shards.Pools()) {
    if (!m_context.m_deployment.FindPool(pool)) {
      add(pool);
    }
  }
  // Pools that had an owner before may still have jobs.
  for (const auto& [pool, owner] : m_view.m_owners) {
    pools.insert(pool);
  }
  pools.insert(kFleetPartition);
  return { pools.begin(), pools.end() };
}

void Membership::RequestDecision()
{
  if (m_decisionTimer.IsActive()) {
    return;
  }
  m_decisionTimer = m_context.m_timers.After(kDecisionDelay, [this] {
    m_decisionTimer.Cancel();
    UpdateOwnership();
  });
}

void Membership::ForgetOwnership(const std::string& aPool)
{
  m_ownedPools.erase(aPool);
}

void Membership::UpdateOwnership()
{
  const TimePoint now = LeaseClockNow();
  const bool isStale = now - m_nodesPolledAt > kMaxViewAge;
  if (!m_isRegistered || !HasOwnerView() || isStale || !m_context.m_lease.IsValid()) {
    return;
  }
  if (m_view.m_selfIsLeaving) {
    ReleaseLateClaims();
  }
  if (m_nodesFollowedSince == TimePoint{} || now - m_nodesFollowedSince < kCompleteViewTime) {
    ClaimAssignedPools();
    return;
  }
  if (m_view.m_owners.empty() && now - m_registeredAt < kFirstClaimDelay) {
    return;
  }
  m_view.m_pools = PoolsToOwn();
  const job::OwnershipActions actions = job::DecideOwnership(m_view, now);
  for (const auto& [pool, owner] : m_view.m_owners) {
    // The response to a claim that was applied got lost. A new claim yields a known fencing token.
    if (IsOwnedByThisNode(owner) && !owner.m_isReleased && !m_view.m_selfIsLeaving &&
        !m_ownedPools.contains(pool) && !m_pendingOwnershipWrites.contains(pool)) {
      ClaimPool(pool);
    }
  }
  for (const std::string& node : actions.m_evictions) {
    EvictNode(node);
  }
  for (const std::string& pool : actions.m_claims) {
    const auto owner = m_view.m_owners.find(pool);
    const bool isBlocked =
      owner != m_view.m_owners.end() && !owner->second.m_isReleased &&
      std::find(actions.m_evictions.begin(), actions.m_evictions.end(), owner->second.m_node) !=
        actions.m_evictions.end();
    if (!isBlocked && !m_pendingOwnershipWrites.contains(pool) && !m_ownedPools.contains(pool)) {
      ClaimPool(pool);
    }
  }
}

void Membership::ClaimAssignedPools()
{
  std::vector<std::string> pools;
  if (m_view.m_selfIsLeaving) {
    return;
  }
  for (const auto& [pool, owner] : m_view.m_owners) {
    const bool isAssigned = owner.m_isReleased ? owner.m_successor == m_view.m_self &&
                                                   m_context.m_deployment.m_version > 0
                                               : owner.m_node == m_view.m_self;
    if (isAssigned && !m_ownedPools.contains(pool) && !m_pendingOwnershipWrites.contains(pool)) {
      pools.push_back(pool);
    }
  }
  for (const std::string& pool : pools) {
    ClaimPool(pool);
  }
}

void Membership::EvictNode(const std::string& aNode)
{
  if (!m_pendingOwnershipWrites.insert("evict " + aNode).second) {
    return;
  }
  job::NodeRow row = m_view.m_nodes.at(aNode);
  row.m_isEvicted = true;
  const platform::RowId rowId{ kNodeTable, aNode, kSingleRowKey };
  platform::Transaction transaction;
  transaction.m_preconditions.push_back({ rowId, row.m_version });
  transaction.m_writes.push_back({ rowId, job::EncodeNodeRow(row) });
  Log(LogCategory::Membership, LogLevel::Warning, "evict", "peer", aNode, "version", row.m_version);
  m_context.m_store.Commit(transaction,
                           kCallTimeout,
                           [this, aNode, alive = std::weak_ptr<int>(m_alive)](
                             Result<platform::TransactionResult> aResult) {
                             if (alive.expired()) {
                               return;
                             }
                             m_pendingOwnershipWrites.erase("evict " + aNode);
                             if (aResult && aResult.value().m_isApplied) {
                               m_view.m_nodes[aNode].m_isEvicted = true;
                               UpdateOwnership();
                             } else if (aResult) {
                               // The feed may have lost changes to the row, such as an eviction by
                               // another node, which is not written again.
                               ApplyNodeRows(aResult.value().m_conflictingRows);
                               RequestDecision();
                             }
                           });
}

void Membership::ClaimPool(const std::string& aPool)
{
  m_pendingOwnershipWrites.insert(aPool);
  const auto known = m_view.m_owners.find(aPool);
  job::OwnerRow claim;
  claim.m_pool = aPool;
  claim.m_node = m_view.m_self;
  claim.m_incarnation = m_view.m_incarnation;
  const bool isFirst = known == m_view.m_owners.end();
  claim.m_epoch = isFirst ? 0 : known->second.m_epoch + 1;
  const platform::RowId rowId{ kOwnerTable, aPool, kSingleRowKey };
  platform::Transaction transaction;
  transaction.m_preconditions.push_back({ rowId, isFirst ? 0 : known->second.m_version });
  transaction.m_writes.push_back({ rowId, job::EncodeOwnerRow(claim) });
  m_context.m_store.Commit(
    transaction,
    kCallTimeout,
    [this, claim, rowId, alive = std::weak_ptr<int>(m_alive)](
      Result<platform::TransactionResult> aResult) mutable {
      if (alive.expired()) {
        return;
      }
      if (!aResult) {
        m_pendingOwnershipWrites.erase(claim.m_pool);
        return; // The owner row shows whether the claim was applied; if so, it is repeated.
      }
      // The fencing token is the version of the row itself, not the store's version.
      m_context.m_store.Read(rowId,
                             rowId.m_key + '\0',
                             kCallTimeout,
                             [this, claim, alive](Result<platform::RowPage> aPage) mutable {
                               if (alive.expired()) {
                                 return;
                               }
                               m_pendingOwnershipWrites.erase(claim.m_pool);
                               if (!aPage || aPage.value().m_rows.empty()) {
                                 return;
                               }
                               const platform::Row& row = aPage.value().m_rows[0];
                               const auto written = job::DecodeOwnerRow(claim.m_pool, row.m_value);
                               const bool isOwnClaim = written &&
                                                       IsOwnedByThisNode(written.value()) &&
                                                       !written.value().m_isReleased;
                               if (!isOwnClaim || !m_isRegistered ||
                                   claim.m_incarnation != m_view.m_incarnation ||
                                   m_view.m_selfIsLeaving || m_ownedPools.contains(claim.m_pool)) {
                                 return;
                               }
                               claim = written.value();
                               claim.m_version = row.m_version;
                               m_view.m_owners[claim.m_pool] = claim;
                               m_ownedPools.insert(claim.m_pool);
                               Renew();
                               Log(LogCategory::Membership,
                                   LogLevel::Info,
                                   "pool-claimed",
                                   "pool",
                                   claim.m_pool,
                                   "token",
                                   claim.m_version,
                                   "epoch",
                                   claim.m_epoch);
                               m_callbacks.m_onClaimed(claim);
                             });
    });
}

void Membership::ReleasePool(const job::OwnerRow& aClaim,
                             std::function<void(std::string aSuccessor)> aDone)
{
  job::OwnerRow row = aClaim;
  row.m_isReleased = true;
  row.m_successor = job::ChooseSuccessor(m_view, aClaim.m_pool, LeaseClockNow());
  const platform::RowId rowId{ kOwnerTable, aClaim.m_pool, kSingleRowKey };
  platform::Transaction transaction;
  transaction.m_preconditions.push_back({ rowId, aClaim.m_version });
  transaction.m_writes.push_back({ rowId, job::EncodeOwnerRow(row) });
  // Assigns the pool to its successor in the view, so that the next pool goes to another node.
  m_view.m_owners[aClaim.m_pool].m_node = row.m_successor;
  m_context.m_store.Commit(
    transaction,
    kCallTimeout,
    [this,
     aClaim,
     successor = row.m_successor,
     done = std::move(aDone),
     alive = std::weak_ptr<int>(m_alive)](Result<platform::TransactionResult> aResult) {
      if (alive.expired()) {
        return;
      }
      if (!aResult) {
        RetryRelease(aClaim, aResult.error());
      }
      done(successor);
    });
}

void Membership::ReleaseLateClaims()
{
  std::vector<job::OwnerRow> claims;
  for (const auto& [pool, owner] : m_view.m_owners) {
    if (IsOwnedByThisNode(owner) && !owner.m_isReleased && !m_ownedPools.contains(pool) &&
        !m_pendingOwnershipWrites.contains(pool)) {
      claims.push_back(owner);
    }
  }
  for (const job::OwnerRow& claim : claims) {
    Log(LogCategory::Membership, LogLevel::Info, "late-claim-released", "pool", claim.m_pool);
    ReleasePool(claim, [](const std::string&) {});
  }
}

void Membership::RetryRelease(const job::OwnerRow& aClaim, const Error& aError)
{
  Log(LogCategory::Membership,
      LogLevel::Warning,
      "pool-release-retry",
      "pool",
      aClaim.m_pool,
      "error",
      aError.Text());
  m_releaseTimers[aClaim.m_pool] = m_context.m_timers.After(
    kReleaseRetryDelay, [this, aClaim] { ReleasePool(aClaim, [](const std::string&) {}); });
}

} // namespace mustardtray::node
