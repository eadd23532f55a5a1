#pragma once

/// Tracks the registered minions and passes them to the owners, on this node, of their shards.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "node/JobGateway.h"
#include "node/NodeContext.h"

namespace mustardtray::node {

class MinionDirectory
{
public:
  using IncarnationCallback = std::function<void(const job::MachineIncarnation&)>;
  /// aOnIncarnation: called when a minion that was not known, or that has restarted, is registered.
  MinionDirectory(const NodeContext& aContext,
                  LocalOwner aLocalOwner,
                  IncarnationCallback aOnIncarnation);

  /// Applies rows of the minion table. aIsComplete: the rows are the whole table, not just changes.
  void OnRows(const std::vector<platform::Row>& aRows, bool aIsComplete);
  /// Passes an owner the minions of its shard, and the incarnations of all minions.
  void NotifyOwner(PoolOwner& aOwner) const;
  /// Passes each owner on this node the minions of its shard.
  void NotifyAllOwners() const;
  void Clear()
  {
    m_minions.clear();
    m_unreadable.clear();
  }

private:
  void Add(const job::MinionEntry& aEntry);
  void Remove(const std::string& aId);
  void LogUnreadable(const std::string& aId, const Error& aError);
  /// How long a registration that has been read is taken for what the minion has.
  Millis RegistrationValidity() const;
  std::string ShardOf(const job::MinionEntry& aEntry) const;

  const NodeContext& m_context;
  LocalOwner m_localOwner;
  IncarnationCallback m_onIncarnation;
  std::map<std::string, job::MinionEntry> m_minions;
  std::set<std::string> m_unreadable; ///< Ids of rows that have been logged as unreadable.
};

} // namespace mustardtray::node
