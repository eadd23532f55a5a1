#pragma once

/// Large pools are divided into shards with one owner each, so that the work of an owner does not
/// grow with the fleet. Jobs and machines are assigned to shards by a hash of their names.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace mustardtray::job {

/// Minimum number of machines in a shard. A long-running step may have to be spread over as many
/// minions as it has units, so shards must not be smaller.
inline constexpr std::size_t kMachinesPerShard = 30;

/// Returns the number of shards for a pool with this number of machines.
std::size_t ShardsFor(std::size_t aMachines);

/// Number of shards of each pool. It is fixed when the pool is first seen, and stored.
class ShardMap
{
public:
  void Set(const std::string& aPool, std::size_t aShards) { m_shards[aPool] = aShards; }
  bool Knows(const std::string& aPool) const { return m_shards.contains(aPool); }
  /// Returns the number of a pool's shards; 0 for an unknown pool.
  std::size_t Count(const std::string& aPool) const
  {
    const auto found = m_shards.find(aPool);
    return found == m_shards.end() ? 0 : found->second;
  }
  /// Returns the names of a pool's shards: the pool's own name for a single shard, none for an
  /// unknown pool.
  std::vector<std::string> Names(const std::string& aPool) const;
  /// Returns the shard of a pool to which a job or a machine belongs.
  std::string Of(const std::string& aPool, const std::string& aName) const;
  /// Returns the pool of a shard.
  static std::string PoolOf(const std::string& aShard);

private:
  std::map<std::string, std::size_t> m_shards;
};

} // namespace mustardtray::job
