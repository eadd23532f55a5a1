#pragma once

/// Looks up the homes of queues, and stores those of queues that have none yet. The holder of the
/// machine orders stores them for the first configuration (see ShardDirectory); a queue that is
/// added later gets its home when the first request for it comes.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node/NodeContext.h"

namespace mustardtray::node {

/// Returns where a queue's home is stored.
platform::RowId QueueHomeRow(const std::string& aKey);
/// Takes over the home in a row, unless it is known.
void LearnQueueHome(NodeContext& aContext, const platform::Row& aRow);

class QueueDirectory
{
public:
  explicit QueueDirectory(NodeContext& aContext)
    : m_context(aContext)
  {
  }
  QueueDirectory(const QueueDirectory&) = delete;
  QueueDirectory& operator=(const QueueDirectory&) = delete;

  /// Makes the home of a queue known, and the number of shards of its pool. aDone runs when the
  /// store has answered, or has not in time, or at once when it has just been asked.
  void Resolve(const job::QueueSpec& aQueue, std::function<void()> aDone);

private:
  void ReadHome(const std::string& aKey, const job::QueueSpec& aQueue);
  void StoreHome(const std::string& aKey, const job::QueueSpec& aQueue);
  /// Reads the number of shards of the home's pool, which the configuration may not have any more.
  void ReadShards(const std::string& aKey);
  void Finish(const std::string& aKey);

  NodeContext& m_context;
  std::map<std::string, std::vector<std::function<void()>>> m_waiting; ///< By key of the queue.
  std::map<std::string, TimePoint> m_attemptedAt; ///< By key: start of the latest attempt.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mustardtray::node
