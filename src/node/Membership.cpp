#include "node/Membership.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// Three renewals fit into the lease, so that one lost response has no effect.
constexpr Millis kRenewPeriod{ 500 };
constexpr double kRenewJitter = 0.1;
/// A node that owns nothing needs no lease. All nodes read all renewals, so their number grows with
/// the square of the nodes.
constexpr Millis kIdleRenewPeriod{ 1'000 };
/// Batches the renewals of all nodes into one response.
constexpr Millis kNodePollInterval{ 350 };
constexpr Millis kIdleNodePollInterval{ 500 };
constexpr Millis kNodePollWait{ 800 };
constexpr Millis kFirstRetryDelay{ 150 };
constexpr Millis kLongestRetryDelay{ 600 };

} // namespace

Membership::Membership(NodeContext& aContext,
                       std::string aPeerAddress,
                       MembershipCallbacks aCallbacks)
  : m_context(aContext)
  , m_callbacks(std::move(aCallbacks))
  , m_address(std::move(aPeerAddress))
  , m_backoff(kFirstRetryDelay, kLongestRetryDelay)
{
  m_view.m_self = aContext.m_settings.m_nodeName;
  Register();
  m_nodeFollower = std::make_unique<TableFollower>(
    aContext,
    TableFollowerOptions{ kNodeTable, false, kNodePollWait, kIdleNodePollInterval, true },
    [this](const std::vector<platform::Row>& aRows, bool) { OnNodes(aRows); });
  m_ownerFollower = std::make_unique<TableFollower>(
    aContext,
    TableFollowerOptions{ kOwnerTable, false, Millis{ 1'500 }, Millis{ 0 } },
    [this](const std::vector<platform::Row>& aRows, bool aIsComplete) {
      OnOwners(aRows, aIsComplete);
    });
  m_renewTimer = aContext.m_timers.Every(kRenewPeriod, kRenewJitter, [this] {
    const bool isIdle = IsIdle();
    m_nodeFollower->SetPollInterval(isIdle ? kIdleNodePollInterval : kNodePollInterval);
    if (!isIdle || LeaseClockNow() - m_renewedAt > kIdleRenewPeriod - kRenewPeriod / 2) {
      Renew();
    }
    // A node that stops responding changes no row, so ownership is also checked periodically.
    UpdateOwnership();
    ReadSilentOwners();
  });
}

Membership::~Membership() = default;

// Registration.

void Membership::Register()
{
  m_isOwnRowCallPending = true;
  m_context.m_store.Read(
    { kNodeTable, m_view.m_self, kSingleRowKey },
    "",
    kCallTimeout,
    [this, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      m_isOwnRowCallPending = false;
      if (!aPage) {
        m_retryTimer = m_context.m_timers.After(m_backoff.Next(), [this] { Register(); });
        return;
      }
      m_view.m_incarnation = fmt::format("{}-{}", m_context.m_incarnation, ++m_registrationCount);
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
  const platform::RowId rowId{ kNodeTable, m_view.m_self, kSingleRowKey };
  platform::Transaction transaction;
  transaction.m_preconditions.push_back({ rowId, aExpected });
  transaction.m_writes.push_back({ rowId, job::EncodeNodeRow(row) });
  const TimePoint sentAt = LeaseClockNow();
  m_renewedAt = sentAt;
  m_isOwnRowCallPending = true;
  m_context.m_store.Commit(
    transaction,
    kCallTimeout,
    [this, sentAt, alive = std::weak_ptr<int>(m_alive)](
      Result<platform::TransactionResult> aResult) {
      if (alive.expired()) {
        return;
      }
      m_isOwnRowCallPending = false;
      if (!aResult) {
        if (!m_isRegistered) {
          m_retryTimer = m_context.m_timers.After(m_backoff.Next(), [this] { Register(); });
        } else {
          m_retryTimer = m_context.m_timers.After(m_backoff.Next(), [this] { Renew(); });
        }
        return;
      }
      m_storeAnsweredAt = LeaseClockNow();
      m_backoff.Reset();
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
      OnOwnRowChanged(result.m_conflictingRows);
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
    // An earlier renewal whose response was lost was applied.
    m_ownVersion = row.m_version;
    WriteOwnRow(m_ownVersion);
  } else {
    OnEvicted(row.m_version);
  }
}

void Membership::Renew()
{
  if (m_isRegistered && !m_isOwnRowCallPending) {
    WriteOwnRow(m_ownVersion);
  }
}

bool Membership::IsIdle() const
{
  return m_ownedPools.empty() && m_pendingOwnershipWrites.empty();
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
  m_context.m_lease.Revoke();
  m_isRegistered = false;
  m_ownedPools.clear();
  m_callbacks.m_onEvicted();
  Register();
}

void Membership::StartLeaving()
{
  m_view.m_selfIsLeaving = true;
  Renew();
}

// View of the other nodes.

void Membership::OnNodes(const std::vector<platform::Row>& aRows)
{
  const TimePoint now = LeaseClockNow();
  m_storeAnsweredAt = now;
  if (now - m_nodesPolledAt > kMaxViewAge) {
    // The view was stale, so the other nodes' silence is measured from now on.
    for (auto& [name, node] : m_view.m_nodes) {
      node.m_changedAt = now;
    }
  }
  m_nodesPolledAt = now;
  if (m_nodesFollowedSince == TimePoint{}) {
    m_nodesFollowedSince = now;
  }
  ApplyNodeRows(aRows);
}

void Membership::ApplyNodeRows(const std::vector<platform::Row>& aRows)
{
  const TimePoint now = LeaseClockNow();
  for (const platform::Row& row : aRows) {
    const std::string& name = row.m_rowId.m_partition;
    if (row.m_isDeleted) {
      m_view.m_nodes.erase(name);
      continue;
    }
    const auto known = m_view.m_nodes.find(name);
    if (known != m_view.m_nodes.end() && known->second.m_version >= row.m_version) {
      continue;
    }
    if (known != m_view.m_nodes.end() && known->second.m_encoded == row.m_value) {
      // A renewal writes the same value again.
      known->second.m_version = row.m_version;
      known->second.m_changedAt = now;
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
    node.m_encoded = row.m_value;
    m_view.m_nodes[name] = std::move(node);
  }
  RequestDecision();
}

void Membership::ReadSilentOwners()
{
  const TimePoint now = LeaseClockNow();
  if (m_nodesFollowedSince == TimePoint{} || now - m_nodesFollowedSince < job::kNodeTimeout) {
    return;
  }
  for (const auto& [pool, owner] : m_view.m_owners) {
    const std::string& name = owner.m_node;
    const auto known = m_view.m_nodes.find(name);
    // The feed may have lost the registration with which the owner made its claim.
    const bool isKnown =
      known != m_view.m_nodes.end() &&
      (known->second.m_incarnation == owner.m_incarnation ||
       std::max(known->second.m_version, known->second.m_checkedVersion) > owner.m_version ||
       job::IsLive(known->second, now));
    if (owner.m_isReleased || isKnown || !m_pendingNodeReads.insert(name).second) {
      continue;
    }
    m_context.m_store.Read(
      { kNodeTable, name, kSingleRowKey },
      "",
      kCallTimeout,
      [this, name, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
        if (alive.expired()) {
          return;
        }
        m_pendingNodeReads.erase(name);
        if (!aPage) {
          return;
        }
        ApplyNodeRows(aPage.value().m_rows);
        // A claim that is older than this read cannot belong to a registration that follows.
        const auto read = m_view.m_nodes.find(name);
        if (read != m_view.m_nodes.end()) {
          read->second.m_checkedVersion = aPage.value().m_version;
        }
      });
  }
}

void Membership::OnOwners(const std::vector<platform::Row>& aRows, bool aIsComplete)
{
  m_storeAnsweredAt = LeaseClockNow();
  if (aIsComplete) {
    m_view.m_owners.clear();
  }
  for (const platform::Row& row : aRows) {
    if (row.m_isDeleted) {
      m_view.m_owners.erase(row.m_rowId.m_partition);
      continue;
    }
    auto decoded = job::DecodeOwnerRow(row.m_rowId.m_partition, row.m_value);
    if (!decoded) {
      continue;
    }
    const auto known = m_view.m_owners.find(row.m_rowId.m_partition);
    if (known != m_view.m_owners.end() && known->second.m_version > row.m_version) {
      continue;
    }
    decoded.value().m_version = row.m_version;
    if (!IsOwnedByThisNode(decoded.value()) && m_ownedPools.contains(row.m_rowId.m_partition)) {
      m_callbacks.m_onOwnerChanged(row.m_rowId.m_partition);
    }
    m_view.m_owners[row.m_rowId.m_partition] = std::move(decoded.value());
  }
  RequestDecision();
}

bool Membership::IsOwnedByThisNode(const job::OwnerRow& aOwner) const
{
  return aOwner.m_node == m_view.m_self && aOwner.m_incarnation == m_view.m_incarnation;
}

std::vector<std::string> Membership::LivePeers() const
{
  // While the store does not answer, no row changes, so silence is measured up to the last answer.
  std::vector<std::string> after;
  std::vector<std::string> before;
  for (const auto& [name, node] : m_view.m_nodes) {
    if (name != m_view.m_self && job::IsLive(node, m_nodesPolledAt)) {
      (name > m_view.m_self ? after : before).push_back(node.m_address);
    }
  }
  after.insert(after.end(), before.begin(), before.end());
  return after;
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

} // namespace mustardtray::node
