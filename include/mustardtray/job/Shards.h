#pragma once

/// Large pools are divided into shards with one owner each, so that the work of an owner does not
/// grow with the fleet. Jobs and machines are assigned to shards by a hash of their names, but for
/// machines of a kind that is rare in the pool: these are together in one shard, so that the units
/// of a step that must be spread over them find them there.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "mustardtray/job/Deployment.h"
#include "mustardtray/process/Error.h"

namespace mustardtray::job {

/// Minimum number of machines in a shard. A long-running step may have to be spread over as many
/// minions as it has units, so shards must not be smaller.
inline constexpr std::size_t kMachinesPerShard = 30;

/// Returns the number of shards for a pool with this number of machines.
std::size_t ShardsFor(std::size_t aMachines);

/// How a pool is divided. It is fixed when the pool is first seen, and stored.
struct PoolDivision
{
  std::size_t m_shards = 1;
  /// Number of the shard of each machine of a rare kind, by name.
  std::map<std::string, std::size_t> m_rareMachines;
};

/// Divides a pool that has these machines.
PoolDivision DividePool(const std::vector<const Machine*>& aMachines);
std::string EncodePoolDivision(const PoolDivision& aDivision);
/// Fails with ErrorKind::Invalid.
Result<PoolDivision> DecodePoolDivision(const std::string& aPool, const std::string& aValue);

/// The shards of each pool.
class ShardMap
{
public:
  void Set(const std::string& aPool, std::size_t aShards) { m_shards[aPool] = { aShards, {} }; }
  void Set(const std::string& aPool, PoolDivision aDivision)
  {
    m_shards[aPool] = std::move(aDivision);
  }
  bool Knows(const std::string& aPool) const { return m_shards.contains(aPool); }
  /// Returns the names of the known pools.
  std::vector<std::string> Pools() const;
  /// Returns the number of a pool's shards; 0 for an unknown pool.
  std::size_t Count(const std::string& aPool) const
  {
    const auto found = m_shards.find(aPool);
    return found == m_shards.end() ? 0 : found->second.m_shards;
  }
  /// Returns the names of a pool's shards: the pool's own name for a single shard, none for an
  /// unknown pool.
  std::vector<std::string> Names(const std::string& aPool) const;
  /// Returns the shard of a pool to which a job or a machine belongs.
  std::string Of(const std::string& aPool, const std::string& aName) const;
  /// Returns the pool of a shard.
  static std::string PoolOf(const std::string& aShard);

private:
  std::map<std::string, PoolDivision> m_shards;
};

} // namespace mustardtray::job
