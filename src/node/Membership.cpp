#include "node/Membership.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// Three renewals fit into the lease, so that one lost answer costs nothing.
constexpr Millis kRenewPeriod{ 500 };
constexpr double kRenewJitter = 0.1;
/// Gathers the renewals of all nodes in one answer.
constexpr Millis kNodePause{ 350 };
/// A slow store answers in this time; a channel that fell silent shows by it.
constexpr Millis kCallTimeout{ 1'200 };
constexpr Micros kRetryDelay{ 150'000 };
/// After registration at a time without owners: lets the nodes that start together see each other.
constexpr Millis kFirstClaimDelay{ 1'500 };
/// When polls were further apart than this, the view is stale and silence is counted anew.
constexpr Millis kStaleView{ 1'600 };

} // namespace

Membership::Membership(NodeContext& aContext, std::string aPeerAddress, MembershipHooks aHooks)
  : m_context(aContext)
  , m_hooks(std::move(aHooks))
  , m_address(std::move(aPeerAddress))
{
  m_view.m_self = aContext.m_settings.m_nodeName;
  Register();
  m_nodeFollower = std::make_unique<TableFollower>(
    aContext,
    FollowerOptions{ kNodeTable, false, Millis{ 1'000 }, kNodePause },
    [this](const std::vector<platform::Row>& aRows, bool aIsComplete) {
      OnNodes(aRows, aIsComplete);
    });
  m_ownerFollower = std::make_unique<TableFollower>(
    aContext,
    FollowerOptions{ kOwnerTable, false, Millis{ 1'500 }, Millis{ 0 } },
    [this](const std::vector<platform::Row>& aRows, bool aIsComplete) {
      OnOwners(aRows, aIsComplete);
    });
  m_renewTimer = aContext.m_timers.Every(kRenewPeriod, kRenewJitter, [this] {
    Renew();
    // Silence shows by time alone.
    Decide();
  });
}

Membership::~Membership() = default;

// Registration.

void Membership::Register()
{
  m_isWriting = true;
  m_context.m_store.Read(
    { kNodeTable, m_view.m_self, kSingleKey },
    "",
    kCallTimeout,
    [this, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      m_isWriting = false;
      if (!aPage) {
        m_retryTimer = m_context.m_timers.After(kRetryDelay, [this] { Register(); });
        return;
      }
      m_view.m_incarnation = fmt::format("{}-{}", m_context.m_incarnation, ++m_registrations);
      WriteOwnRow(aPage.value().m_rows.empty() ? 0 : aPage.value().m_rows[0].m_version);
    });
}

void Membership::WriteOwnRow(std::uint64_t aExpected)
{
  job::NodeRow row;
  row.m_incarnation = m_view.m_incarnation;
  row.m_address = m_address;
  row.m_cpuCores = m_context.m_settings.m_cpuShare;
  row.m_isLeaving = m_view.m_selfIsLeaving;
  const platform::RowKey at{ kNodeTable, m_view.m_self, kSingleKey };
  platform::Transaction transaction;
  transaction.m_expect.push_back({ at, aExpected });
  transaction.m_writes.push_back({ at, job::EncodeNodeRow(row) });
  const TimePoint sentAt = LeaseClockNow();
  m_isWriting = true;
  m_context.m_store.Commit(transaction,
                           kCallTimeout,
                           [this, sentAt, alive = std::weak_ptr<int>(m_alive)](
                             Result<platform::TransactionResult> aResult) {
                             if (alive.expired()) {
                               return;
                             }
                             m_isWriting = false;
                             if (!aResult) {
                               if (!m_isRegistered) {
                                 m_retryTimer =
                                   m_context.m_timers.After(kRetryDelay, [this] { Register(); });
                               } else {
                                 m_retryTimer =
                                   m_context.m_timers.After(kRetryDelay, [this] { Renew(); });
                               }
                               return;
                             }
                             m_storeAnsweredAt = LeaseClockNow();
                             const platform::TransactionResult& result = aResult.value();
                             if (result.m_isApplied) {
                               m_ownVersion = result.m_version;
                               m_context.m_lease.Extend(sentAt + job::kNodeLease);
                               if (!m_isRegistered) {
                                 m_isRegistered = true;
                                 m_registeredAt = LeaseClockNow();
                                 Log(LogCategory::Membership,
                                     LogLevel::Info,
                                     "registered",
                                     "incarnation",
                                     m_view.m_incarnation,
                                     "version",
                                     m_ownVersion);
                               }
                               return;
                             }
                             OnOwnRowChanged(result.m_conflicting);
                           });
}

void Membership::OnOwnRowChanged(const std::vector<platform::Row>& aRows)
{
  if (!m_isRegistered) {
    Register();
    return;
  }
  if (aRows.empty()) {
    OnEvicted(0);
    return;
  }
  const platform::Row& row = aRows.front();
  const auto decoded = job::DecodeNodeRow(m_view.m_self, row.m_value);
  if (decoded && decoded.value().m_incarnation == m_view.m_incarnation &&
      !decoded.value().m_isEvicted) {
    // An earlier renewal without an answer took place.
    m_ownVersion = row.m_version;
    WriteOwnRow(m_ownVersion);
  } else {
    OnEvicted(row.m_version);
  }
}

void Membership::Renew()
{
  if (m_isRegistered && !m_isWriting) {
    WriteOwnRow(m_ownVersion);
  }
}

void Membership::OnEvicted(std::uint64_t aVersion)
{
  Log(LogCategory::Membership,
      LogLevel::Warning,
      "evicted",
      "incarnation",
      m_view.m_incarnation,
      "version",
      aVersion);
  m_context.m_lease.End();
  m_isRegistered = false;
  m_owned.clear();
  m_hooks.m_onEvicted();
  Register();
}

void Membership::BeginLeaving()
{
  m_view.m_selfIsLeaving = true;
  Renew();
}

// The view of others.

void Membership::OnNodes(const std::vector<platform::Row>& aRows, bool aIsComplete)
{
  const TimePoint now = LeaseClockNow();
  m_storeAnsweredAt = now;
  if (now - m_polledAt > kStaleView) {
    // Nothing was seen for a while: silence is counted from now.
    for (auto& [name, node] : m_view.m_nodes) {
      node.m_changedAt = now;
    }
  }
  m_polledAt = now;
  std::map<std::string, job::NodeRow> before;
  if (aIsComplete) {
    before.swap(m_view.m_nodes);
  }
  for (const platform::Row& row : aRows) {
    const std::string& name = row.m_at.m_part;
    if (row.m_isDeleted) {
      m_view.m_nodes.erase(name);
      continue;
    }
    auto decoded = job::DecodeNodeRow(name, row.m_value);
    if (!decoded) {
      Log(LogCategory::Membership,
          LogLevel::Error,
          "node-row-unreadable",
          "peer",
          name,
          "error",
          decoded.error().Text());
      continue;
    }
    job::NodeRow node = std::move(decoded.value());
    node.m_version = row.m_version;
    node.m_changedAt = now;
    const auto known = before.find(name);
    if (known != before.end() && known->second.m_version == node.m_version) {
      node.m_changedAt = known->second.m_changedAt;
    }
    const auto present = m_view.m_nodes.find(name);
    if (present == m_view.m_nodes.end() || present->second.m_version < node.m_version) {
      m_view.m_nodes[name] = std::move(node);
    }
  }
  Decide();
}

void Membership::OnOwners(const std::vector<platform::Row>& aRows, bool aIsComplete)
{
  m_storeAnsweredAt = LeaseClockNow();
  if (aIsComplete) {
    m_view.m_owners.clear();
  }
  for (const platform::Row& row : aRows) {
    if (row.m_isDeleted) {
      m_view.m_owners.erase(row.m_at.m_part);
      continue;
    }
    auto decoded = job::DecodeOwnerRow(row.m_at.m_part, row.m_value);
    if (!decoded) {
      continue;
    }
    const auto known = m_view.m_owners.find(row.m_at.m_part);
    if (known != m_view.m_owners.end() && known->second.m_version > row.m_version) {
      continue;
    }
    decoded.value().m_version = row.m_version;
    if (!NamesThisNode(decoded.value()) && m_owned.contains(row.m_at.m_part)) {
      m_hooks.m_onTaken(row.m_at.m_part);
    }
    m_view.m_owners[row.m_at.m_part] = std::move(decoded.value());
  }
  Decide();
}

bool Membership::NamesThisNode(const job::OwnerRow& aOwner) const
{
  return aOwner.m_node == m_view.m_self && aOwner.m_incarnation == m_view.m_incarnation;
}

std::string Membership::OwnerAddress(const std::string& aPool) const
{
  const auto owner = m_view.m_owners.find(aPool);
  if (owner == m_view.m_owners.end()) {
    return {};
  }
  const std::string& name =
    owner->second.m_isReleased ? owner->second.m_successor : owner->second.m_node;
  const auto node = m_view.m_nodes.find(name);
  return node == m_view.m_nodes.end() ? std::string{} : node->second.m_address;
}

// Claims.

std::vector<std::string> Membership::PoolsThatNeedOwners() const
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
  // Pools that were owned before may still have jobs.
  for (const auto& [pool, owner] : m_view.m_owners) {
    pools.insert(pool);
  }
  pools.insert(kFleetPart);
  return { pools.begin(), pools.end() };
}

void Membership::Hasten()
{
  m_soon = m_context.m_timers.After(Micros{ 0 }, [this] { Decide(); });
}

void Membership::Forget(const std::string& aPool)
{
  m_owned.erase(aPool);
}

void Membership::Decide()
{
  const TimePoint now = LeaseClockNow();
  const bool isStale = now - m_polledAt > kStaleView;
  if (!m_isRegistered || !KnowsOwners() || isStale || !m_context.m_lease.IsValid()) {
    return;
  }
  if (m_view.m_owners.empty() && now - m_registeredAt < kFirstClaimDelay) {
    return;
  }
  m_view.m_pools = PoolsThatNeedOwners();
  const job::OwnershipActions actions = job::DecideOwnership(m_view, now);
  for (const auto& [pool, owner] : m_view.m_owners) {
    // A claim that took place although its answer was lost: a new one gives a token that is known.
    if (NamesThisNode(owner) && !owner.m_isReleased && !m_view.m_selfIsLeaving &&
        !m_owned.contains(pool) && !m_claiming.contains(pool)) {
      Claim(pool);
    }
  }
  for (const std::string& node : actions.m_evictions) {
    Evict(node);
  }
  for (const std::string& pool : actions.m_claims) {
    const auto owner = m_view.m_owners.find(pool);
    const bool isBlocked =
      owner != m_view.m_owners.end() && !owner->second.m_isReleased &&
      std::find(actions.m_evictions.begin(), actions.m_evictions.end(), owner->second.m_node) !=
        actions.m_evictions.end();
    if (!isBlocked && !m_claiming.contains(pool) && !m_owned.contains(pool)) {
      Claim(pool);
    }
  }
}

void Membership::Evict(const std::string& aNode)
{
  if (!m_claiming.insert("evict " + aNode).second) {
    return;
  }
  job::NodeRow row = m_view.m_nodes.at(aNode);
  row.m_isEvicted = true;
  const platform::RowKey at{ kNodeTable, aNode, kSingleKey };
  platform::Transaction transaction;
  transaction.m_expect.push_back({ at, row.m_version });
  transaction.m_writes.push_back({ at, job::EncodeNodeRow(row) });
  Log(LogCategory::Membership, LogLevel::Warning, "evict", "peer", aNode, "version", row.m_version);
  m_context.m_store.Commit(transaction,
                           kCallTimeout,
                           [this, aNode, alive = std::weak_ptr<int>(m_alive)](
                             Result<platform::TransactionResult> aResult) {
                             if (alive.expired()) {
                               return;
                             }
                             m_claiming.erase("evict " + aNode);
                             if (aResult && aResult.value().m_isApplied) {
                               m_view.m_nodes[aNode].m_isEvicted = true;
                               Decide();
                             }
                           });
}

void Membership::Claim(const std::string& aPool)
{
  m_claiming.insert(aPool);
  const auto known = m_view.m_owners.find(aPool);
  job::OwnerRow claim;
  claim.m_pool = aPool;
  claim.m_node = m_view.m_self;
  claim.m_incarnation = m_view.m_incarnation;
  const bool isFirst = known == m_view.m_owners.end();
  claim.m_epoch = isFirst ? 0 : known->second.m_epoch + 1;
  const platform::RowKey at{ kOwnerTable, aPool, kSingleKey };
  platform::Transaction transaction;
  transaction.m_expect.push_back({ at, isFirst ? 0 : known->second.m_version });
  transaction.m_writes.push_back({ at, job::EncodeOwnerRow(claim) });
  m_context.m_store.Commit(
    transaction,
    kCallTimeout,
    [this, claim, at, alive = std::weak_ptr<int>(m_alive)](
      Result<platform::TransactionResult> aResult) mutable {
      if (alive.expired()) {
        return;
      }
      if (!aResult) {
        m_claiming.erase(claim.m_pool);
        return; // The row shows whether it took place; a claim of ours is claimed anew.
      }
      // The version of the row itself, not of the store: it is the fencing token.
      m_context.m_store.Read(at,
                             at.m_key + '\0',
                             kCallTimeout,
                             [this, claim, alive](Result<platform::RowPage> aPage) mutable {
                               if (alive.expired()) {
                                 return;
                               }
                               m_claiming.erase(claim.m_pool);
                               if (!aPage || aPage.value().m_rows.empty()) {
                                 return;
                               }
                               const platform::Row& row = aPage.value().m_rows[0];
                               const auto written = job::DecodeOwnerRow(claim.m_pool, row.m_value);
                               const bool isOurs = written && NamesThisNode(written.value()) &&
                                                   !written.value().m_isReleased;
                               if (!isOurs || !m_isRegistered ||
                                   claim.m_incarnation != m_view.m_incarnation ||
                                   m_view.m_selfIsLeaving || m_owned.contains(claim.m_pool)) {
                                 return;
                               }
                               claim = written.value();
                               claim.m_version = row.m_version;
                               m_view.m_owners[claim.m_pool] = claim;
                               m_owned.insert(claim.m_pool);
                               Log(LogCategory::Membership,
                                   LogLevel::Info,
                                   "pool-claimed",
                                   "pool",
                                   claim.m_pool,
                                   "token",
                                   claim.m_version,
                                   "epoch",
                                   claim.m_epoch);
                               m_hooks.m_onClaimed(claim);
                             });
    });
}

void Membership::Release(const job::OwnerRow& aClaim,
                         std::function<void(std::string aSuccessor)> aDone)
{
  job::OwnerRow row = aClaim;
  row.m_isReleased = true;
  row.m_successor = job::ChooseSuccessor(m_view, aClaim.m_pool, LeaseClockNow());
  const platform::RowKey at{ kOwnerTable, aClaim.m_pool, kSingleKey };
  platform::Transaction transaction;
  transaction.m_expect.push_back({ at, aClaim.m_version });
  transaction.m_writes.push_back({ at, job::EncodeOwnerRow(row) });
  // Counts the pool to its successor, so that the next one goes to another node.
  m_view.m_owners[aClaim.m_pool].m_node = row.m_successor;
  m_context.m_store.Commit(transaction,
                           kCallTimeout,
                           [successor = row.m_successor, done = std::move(aDone)](
                             Result<platform::TransactionResult>) { done(successor); });
}

} // namespace mustardtray::node
