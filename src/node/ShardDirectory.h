#pragma once

/// Looks up the number of shards of each pool in the store. The first node that sees a pool writes
/// the number, which does not change afterwards.

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "node/NodeContext.h"

namespace mustardtray::node {

class ShardDirectory
{
public:
  /// aOnChange: called when a pool's number of shards has become known.
  ShardDirectory(NodeContext& aContext, std::function<void()> aOnChange);
  ShardDirectory(const ShardDirectory&) = delete;
  ShardDirectory& operator=(const ShardDirectory&) = delete;

  /// Looks up the pools of the configuration whose number of shards is not known yet.
  void LookUpShardCounts();

private:
  void ReadShardCount(const std::string& aPool);
  void RetryLater(const std::string& aPool);
  void DeriveShardCount(const std::string& aPool);
  void WriteShardCount(const std::string& aPool, std::size_t aShards);
  void SetShardCount(const std::string& aPool, const std::string& aValue);

  NodeContext& m_context;
  std::function<void()> m_onChange;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::set<std::string> m_pendingLookUps;
  TimerHandle m_retryTimer;
};

} // namespace mustardtray::node
