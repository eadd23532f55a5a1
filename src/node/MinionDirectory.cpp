#include "node/MinionDirectory.h"

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// Unreadable rows beyond this number are not logged.
constexpr std::size_t kMaxUnreadableKnown = 100;

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
    m_unreadable.clear();
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
    const std::string& id = row.m_rowId.m_key;
    if (row.m_isDeleted) {
      m_unreadable.erase(id);
      Remove(id);
      continue;
    }
    auto entry = platform::DecodeMinionEntry(id, row.m_value);
    if (!entry) {
      LogUnreadable(id, entry.error());
      Remove(id);
      continue;
    }
    m_unreadable.erase(id);
    entry.value().m_rowVersion = row.m_version;
    // Minions of other pools refuse what does not fit.
    const job::PoolSpec* pool = m_context.m_deployment.FindPool(entry.value().m_pool);
    if (pool && !pool->m_isGuarded) {
      entry.value().m_outdatedAt = LeaseClockNow() + RegistrationValidity();
    }
    Add(entry.value());
  }
}

void MinionDirectory::LogUnreadable(const std::string& aId, const Error& aError)
{
  // A writer may repeat its row with each heartbeat.
  if (m_unreadable.size() >= kMaxUnreadableKnown || !m_unreadable.insert(aId).second) {
    return;
  }
  Log(LogCategory::Fleet,
      LogLevel::Warning,
      "minion-unreadable",
      "minion",
      aId,
      "error",
      aError.Text());
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
