#pragma once

/// The registered minions, handed to the owners on this node whose shards they belong to.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "node/JobGateway.h"
#include "node/NodeContext.h"

namespace mustardtray::node {

class MinionDirectory
{
public:
  using LifeCallback = std::function<void(const job::MachineIncarnation&)>;
  /// aOnLife: a minion that was not known, or that has started anew, is registered.
  MinionDirectory(const NodeContext& aContext, LocalOwner aLocalOwner, LifeCallback aOnLife);

  /// Rows of the minions' table. aIsComplete: all that there are; else changes.
  void OnRows(const std::vector<platform::Row>& aRows, bool aIsComplete);
  /// Tells an owner its minions, or all owners theirs.
  void OfferTo(PoolOwner& aOwner) const;
  void OfferAll() const;
  void Clear() { m_minions.clear(); }

private:
  void Add(const job::MinionEntry& aEntry);
  void Forget(const std::string& aId);
  std::string ShardOf(const job::MinionEntry& aEntry) const;

  const NodeContext& m_context;
  LocalOwner m_localOwner;
  LifeCallback m_onLife;
  std::map<std::string, job::MinionEntry> m_minions;
};

} // namespace mustardtray::node
