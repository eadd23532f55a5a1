#pragma once

/// Knows into how many shards each pool is divided, and the homes of the queues. The holder of the
/// machine orders lists the machines and writes what is missing; it does not change afterwards. All
/// nodes follow the table.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "node/NodeContext.h"
#include "node/TableFollower.h"

namespace mustardtray::node {

class ShardDirectory
{
public:
  /// aOnChange: called when a pool's number of shards has become known.
  ShardDirectory(NodeContext& aContext, std::function<void()> aOnChange);
  ShardDirectory(const ShardDirectory&) = delete;
  ShardDirectory& operator=(const ShardDirectory&) = delete;

  /// Follows the table until the number of shards of each pool of the configuration is known. If
  /// it has to, it goes on until the homes of all queues are known as well.
  void FollowUntilComplete();
  /// Writes the numbers and homes that are not known yet, from the complete list of machines.
  void WriteMissing(const std::vector<job::Machine>& aMachines);

private:
  std::set<std::string> UnknownPools() const;
  /// Keys of the queues of the configuration whose homes are not known.
  std::map<std::string, const job::QueueSpec*> UnknownQueues() const;
  void WriteMissingShards(const std::vector<job::Machine>& aMachines);
  void WriteMissingHomes();
  void OnRows(const std::vector<platform::Row>& aRows);

  NodeContext& m_context;
  std::function<void()> m_onChange;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::set<std::string> m_pendingWrites; ///< Pools.
  bool m_isWritingHomes = false;
  std::unique_ptr<TableFollower> m_follower;
  TimerHandle m_stopTimer;
};

} // namespace mustardtray::node
