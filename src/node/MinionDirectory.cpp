#include "node/MinionDirectory.h"

#include <set>

namespace mustardtray::node {

namespace {

job::MachineIncarnation IncarnationOf(const job::MinionEntry& aEntry)
{
  return { aEntry.m_machine, aEntry.m_id, aEntry.m_startedAtMs, aEntry.m_rowVersion };
}

} // namespace

MinionDirectory::MinionDirectory(const NodeContext& aContext,
                                 LocalOwner aLocalOwner,
                                 IncarnationCallback aOnIncarnation)
  : m_context(aContext)
  , m_localOwner(std::move(aLocalOwner))
  , m_onIncarnation(std::move(aOnIncarnation))
{
}

void MinionDirectory::OnRows(const std::vector<platform::Row>& aRows, bool aIsComplete)
{
  if (aIsComplete) {
    std::set<std::string> absent;
    for (const auto& [id, entry] : m_minions) {
      absent.insert(id);
    }
    for (const platform::Row& row : aRows) {
      absent.erase(row.m_rowId.m_key);
    }
    for (const std::string& id : absent) {
      Remove(id);
    }
  }
  for (const platform::Row& row : aRows) {
    auto entry =
      row.m_isDeleted ? std::nullopt : platform::DecodeMinionEntry(row.m_rowId.m_key, row.m_value);
    if (entry) {
      entry->m_rowVersion = row.m_version;
      // Minions of other pools refuse what does not fit.
      const job::PoolSpec* pool = m_context.m_deployment.FindPool(entry->m_pool);
      if (pool && !pool->m_isGuarded) {
        entry->m_outdatedAt = LeaseClockNow() + RegistrationValidity();
      }
      Add(*entry);
    } else {
      Remove(row.m_rowId.m_key);
    }
  }
}

void MinionDirectory::Add(const job::MinionEntry& aEntry)
{
  const auto known = m_minions.find(aEntry.m_id);
  const bool isNewIncarnation =
    known == m_minions.end() || known->second.m_startedAtMs != aEntry.m_startedAtMs;
  if (known != m_minions.end() && ShardOf(known->second) != ShardOf(aEntry)) {
    Remove(aEntry.m_id);
  }
  m_minions[aEntry.m_id] = aEntry;
  if (isNewIncarnation) {
    m_onIncarnation(IncarnationOf(aEntry));
  }
  if (PoolOwner* owner = m_localOwner(ShardOf(aEntry))) {
    owner->OnMinionEntry(aEntry);
  }
}

void MinionDirectory::Remove(const std::string& aId)
{
  const auto known = m_minions.find(aId);
  if (known == m_minions.end()) {
    return;
  }
  if (PoolOwner* owner = m_localOwner(ShardOf(known->second))) {
    owner->OnMinionRemoved(aId);
  }
  m_minions.erase(known);
}

void MinionDirectory::NotifyOwner(PoolOwner& aOwner) const
{
  for (const auto& [id, entry] : m_minions) {
    aOwner.OnMachineIncarnation(IncarnationOf(entry));
    if (ShardOf(entry) == aOwner.Pool()) {
      aOwner.OnMinionEntry(entry);
    }
  }
}

void MinionDirectory::NotifyAllOwners() const
{
  for (const auto& [id, entry] : m_minions) {
    if (PoolOwner* owner = m_localOwner(ShardOf(entry))) {
      owner->OnMinionEntry(entry);
    }
  }
}

Millis MinionDirectory::RegistrationValidity() const
{
  // One heartbeat may be missed. An older registration may not show that the capacity has shrunk:
  // the store was down, or this node was cut off from it.
  constexpr Millis kReadDelay{ 500 };
  return 2 * m_context.m_settings.m_heartbeatPeriod + kReadDelay;
}

std::string MinionDirectory::ShardOf(const job::MinionEntry& aEntry) const
{
  return m_context.m_shards.Of(aEntry.m_pool,
                               aEntry.m_machine.empty() ? aEntry.m_id : aEntry.m_machine);
}

} // namespace mustardtray::node
