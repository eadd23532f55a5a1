#include "mustardtray/job/Shards.h"

#include <algorithm>

#include <xxhash.h>

namespace mustardtray::job {

namespace {

/// Separates the pool's name from the shard's number.
constexpr char kSeparator = '#';

std::string ShardName(const std::string& aPool, std::size_t aNumber)
{
  return aPool + kSeparator + std::to_string(aNumber);
}

} // namespace

std::size_t ShardsFor(std::size_t aMachines)
{
  return std::max<std::size_t>(1, aMachines / kMachinesPerShard);
}

std::vector<std::string> ShardMap::Names(const std::string& aPool) const
{
  const auto found = m_shards.find(aPool);
  if (found == m_shards.end()) {
    return {};
  }
  if (found->second == 1) {
    return { aPool };
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < found->second; ++i) {
    names.push_back(ShardName(aPool, i));
  }
  return names;
}

std::string ShardMap::Of(const std::string& aPool, const std::string& aName) const
{
  const auto found = m_shards.find(aPool);
  if (found == m_shards.end() || found->second == 1) {
    return aPool;
  }
  return ShardName(aPool, XXH64(aName.data(), aName.size(), 0) % found->second);
}

std::string ShardMap::PoolOf(const std::string& aShard)
{
  return aShard.substr(0, aShard.find(kSeparator));
}

} // namespace mustardtray::job
