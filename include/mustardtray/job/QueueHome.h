#pragma once

/// The home of a queue: the pool whose shards accept the queue's jobs, whatever pool runs them. It
/// is stored when the queue is first seen and never changes, so all nodes look for a job in the
/// same shard, under each version of the configuration. A queue is identified by its address, since
/// a configuration may give the same address to a route of another name.

#include <map>
#include <string>

#include "mustardtray/job/Deployment.h"
#include "mustardtray/process/Error.h"

namespace mustardtray::job {

struct QueueHome
{
  std::string m_pool;
  std::string m_queue; ///< Name by which jobs refer to the queue: that of its first route.
};

/// Returns the key of a queue's home in the store: a hash of its host and prefix.
std::string QueueKeyOf(const QueueSpec& aQueue);

/// The known homes, by QueueKeyOf().
class QueueHomes
{
public:
  void Set(const std::string& aKey, QueueHome aHome) { m_homes[aKey] = std::move(aHome); }
  /// Returns nullptr when the home is not known.
  const QueueHome* Find(const std::string& aKey) const
  {
    const auto found = m_homes.find(aKey);
    return found == m_homes.end() ? nullptr : &found->second;
  }
  /// Returns the home of a queue that is seen for the first time: its present pool, and a name that
  /// no known queue has.
  QueueHome MakeHome(const QueueSpec& aQueue) const;
  const std::map<std::string, QueueHome>& All() const { return m_homes; }

private:
  std::map<std::string, QueueHome> m_homes;
};

std::string EncodeQueueHome(const QueueHome& aHome);
/// Fails with ErrorKind::Invalid.
Result<QueueHome> DecodeQueueHome(const std::string& aKey, const std::string& aValue);

} // namespace mustardtray::job
