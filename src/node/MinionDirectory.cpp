#include "node/MinionDirectory.h"

#include <set>

namespace mustardtray::node {

namespace {

job::MachineIncarnation LifeOf(const job::MinionEntry& aEntry)
{
  return { aEntry.m_machine, aEntry.m_id, aEntry.m_startedAtMs };
}

} // namespace

MinionDirectory::MinionDirectory(const NodeContext& aContext,
                                 LocalOwner aLocalOwner,
                                 LifeCallback aOnLife)
  : m_context(aContext)
  , m_localOwner(std::move(aLocalOwner))
  , m_onLife(std::move(aOnLife))
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
      absent.erase(row.m_at.m_key);
    }
    for (const std::string& id : absent) {
      Forget(id);
    }
  }
  for (const platform::Row& row : aRows) {
    const auto entry =
      row.m_isDeleted ? std::nullopt : platform::DecodeMinionEntry(row.m_at.m_key, row.m_value);
    if (entry) {
      Add(*entry);
    } else {
      Forget(row.m_at.m_key);
    }
  }
}

void MinionDirectory::Add(const job::MinionEntry& aEntry)
{
  const auto known = m_minions.find(aEntry.m_id);
  const bool isNewLife =
    known == m_minions.end() || known->second.m_startedAtMs != aEntry.m_startedAtMs;
  if (known != m_minions.end() && known->second.m_pool != aEntry.m_pool) {
    Forget(aEntry.m_id);
  }
  m_minions[aEntry.m_id] = aEntry;
  if (isNewLife) {
    m_onLife(LifeOf(aEntry));
  }
  if (PoolOwner* owner = m_localOwner(ShardOf(aEntry))) {
    owner->OnMinionEntry(aEntry);
  }
}

void MinionDirectory::Forget(const std::string& aId)
{
  const auto known = m_minions.find(aId);
  if (known == m_minions.end()) {
    return;
  }
  if (PoolOwner* owner = m_localOwner(ShardOf(known->second))) {
    owner->OnMinionGone(aId);
  }
  m_minions.erase(known);
}

void MinionDirectory::OfferTo(PoolOwner& aOwner) const
{
  for (const auto& [id, entry] : m_minions) {
    aOwner.OnMachineLife(LifeOf(entry));
    if (ShardOf(entry) == aOwner.Pool()) {
      aOwner.OnMinionEntry(entry);
    }
  }
}

void MinionDirectory::OfferAll() const
{
  for (const auto& [id, entry] : m_minions) {
    if (PoolOwner* owner = m_localOwner(ShardOf(entry))) {
      owner->OnMinionEntry(entry);
    }
  }
}

std::string MinionDirectory::ShardOf(const job::MinionEntry& aEntry) const
{
  return m_context.m_shards.Of(aEntry.m_pool,
                               aEntry.m_machine.empty() ? aEntry.m_id : aEntry.m_machine);
}

} // namespace mustardtray::node
