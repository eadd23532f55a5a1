#include "mustardtray/job/Shards.h"

#include <algorithm>
#include <charconv>
#include <tuple>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace mustardtray::job {

namespace {

/// Separates the pool's name from the shard's number.
constexpr char kSeparator = '#';
/// Limits the length of a stored division.
constexpr std::size_t kMaxRareMachines = 500;

std::string ShardName(const std::string& aPool, std::size_t aNumber)
{
  return aPool + kSeparator + std::to_string(aNumber);
}

std::size_t HashToShard(const std::string& aName, std::size_t aShards)
{
  return XXH64(aName.data(), aName.size(), 0) % aShards;
}

/// Machines of one kind have the same labels beside their rack, and the same capacity.
using MachineKind = std::tuple<std::vector<std::string>, std::int64_t, std::int64_t, std::int64_t>;

MachineKind KindOf(const Machine& aMachine)
{
  std::vector<std::string> labels = aMachine.m_labels;
  if (!labels.empty()) {
    labels.pop_back(); // The rack.
  }
  const Resources& capacity = aMachine.m_capacity;
  return { std::move(labels), capacity.m_cpu, capacity.m_memoryMb, capacity.m_gpu };
}

} // namespace

PoolDivision DividePool(const std::vector<const Machine*>& aMachines)
{
  PoolDivision division;
  division.m_shards = ShardsFor(aMachines.size());
  if (division.m_shards == 1) {
    return division;
  }
  std::map<MachineKind, std::vector<std::string>> machinesByKind;
  for (const Machine* machine : aMachines) {
    machinesByKind[KindOf(*machine)].push_back(machine->m_name);
  }
  // Kinds with more machines are divided like the pool: a shard that had all of them would have
  // most of the pool's work.
  const std::size_t maxRare =
    std::min(kMachinesPerShard, aMachines.size() / (2 * division.m_shards));
  std::vector<std::size_t> sizes(division.m_shards, 0);
  for (const auto& [kind, names] : machinesByKind) {
    for (const std::string& name : names) {
      sizes[HashToShard(name, division.m_shards)] += names.size() > maxRare ? 1 : 0;
    }
  }
  for (const auto& [kind, names] : machinesByKind) {
    if (names.size() <= maxRare &&
        division.m_rareMachines.size() + names.size() <= kMaxRareMachines) {
      const auto smallest = std::min_element(sizes.begin(), sizes.end());
      *smallest += names.size();
      for (const std::string& name : names) {
        division.m_rareMachines[name] = static_cast<std::size_t>(smallest - sizes.begin());
      }
    }
  }
  return division;
}

std::string EncodePoolDivision(const PoolDivision& aDivision)
{
  // The number comes first and by itself, as nodes of earlier releases read it.
  std::string text = std::to_string(aDivision.m_shards);
  if (!aDivision.m_rareMachines.empty()) {
    text += ' ' + nlohmann::json(aDivision.m_rareMachines)
                    .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  return text;
}

Result<PoolDivision> DecodePoolDivision(const std::string& aPool, const std::string& aValue)
{
  PoolDivision division;
  division.m_shards = 0;
  const char* end = aValue.data() + aValue.size();
  const char* rest = std::from_chars(aValue.data(), end, division.m_shards).ptr;
  if (division.m_shards == 0) {
    return Error{ ErrorKind::Invalid, "decode pool division", aPool, "no number of shards" };
  }
  try {
    if (rest != end) {
      division.m_rareMachines =
        nlohmann::json::parse(rest, end).get<std::map<std::string, std::size_t>>();
    }
  } catch (const nlohmann::json::exception& fault) {
    return Error{ ErrorKind::Invalid, "decode pool division", aPool, fault.what() };
  }
  for (const auto& [name, shard] : division.m_rareMachines) {
    if (shard >= division.m_shards) {
      return Error{ ErrorKind::Invalid, "decode pool division", aPool, "no such shard" };
    }
  }
  return division;
}

std::size_t ShardsFor(std::size_t aMachines)
{
  return std::max<std::size_t>(1, aMachines / kMachinesPerShard);
}

std::vector<std::string> ShardMap::Pools() const
{
  std::vector<std::string> pools;
  for (const auto& [pool, division] : m_shards) {
    pools.push_back(pool);
  }
  return pools;
}

std::vector<std::string> ShardMap::Names(const std::string& aPool) const
{
  const auto found = m_shards.find(aPool);
  if (found == m_shards.end()) {
    return {};
  }
  if (found->second.m_shards == 1) {
    return { aPool };
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < found->second.m_shards; ++i) {
    names.push_back(ShardName(aPool, i));
  }
  return names;
}

std::string ShardMap::Of(const std::string& aPool, const std::string& aName) const
{
  const auto found = m_shards.find(aPool);
  if (found == m_shards.end() || found->second.m_shards == 1) {
    return aPool;
  }
  const PoolDivision& division = found->second;
  const auto rare = division.m_rareMachines.find(aName);
  return ShardName(aPool,
                   rare == division.m_rareMachines.end() ? HashToShard(aName, division.m_shards)
                                                         : rare->second);
}

std::string ShardMap::PoolOf(const std::string& aShard)
{
  return aShard.substr(0, aShard.find(kSeparator));
}

} // namespace mustardtray::job
