#pragma once

/// Which entry VM owns which partition of the idempotency keys. Only a partition's owner lets its
/// keys run, so that two entry VMs never run one key.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Number of partitions of one region's keys. Never changes while a fleet runs.
inline constexpr std::size_t kKeyPartitions = 64;

/// Rows of partitions are stored under this prefix followed by the partition's number.
inline constexpr std::string_view kKeyRowPrefix = "key-partition/";

/// Bounds on clocks that at-most-once rests on.
struct KeyTimeBounds
{
  Millis m_clockError{ 500 };        ///< Largest error of an entry VM's wall clock.
  Millis m_futureAllowance{ 2'000 }; ///< How far ahead of the owner's clock a key may be minted.

  /// A key that any owner accepted up to now was minted before this time.
  WallTime FloorAt(WallTime aNow) const
  {
    return aNow + 2 * m_clockError + m_futureAllowance + Millis(1);
  }
};

/// One run of a daemon on a node: a restarted daemon has a new incarnation.
struct NodeIncarnation
{
  std::string m_node;
  std::uint64_t m_incarnation = 0;

  bool operator==(const NodeIncarnation&) const = default;
};

/// The table's row of one partition.
struct KeyPartitionRecord
{
  NodeIncarnation m_owner;   ///< An empty node when nobody owns the partition.
  std::uint64_t m_epoch = 0; ///< Grows with every change of owner.
  WallTime m_mintFloor{};    ///< The owner runs no key that was minted before.
};

Json ToJson(const KeyPartitionRecord& aRecord);
/// Errors: Invalid with the pointer of the first fault.
Result<KeyPartitionRecord> ParseKeyPartitionRecord(const Json& aValue);

std::string KeyPartitionRowKey(std::size_t aPartition);
/// The partition whose row has that key; kKeyPartitions when there is none.
std::size_t PartitionOfRowKey(std::string_view aRowKey);
std::size_t PartitionOfHash(std::uint64_t aKeyHash);

enum class KeyPartitionRole
{
  Foreign,   ///< Another node owns the partition, or nobody does.
  Accepting, ///< This node owns the partition and may start keys.
  Stopping,  ///< This node owns the partition, but is handing it over: it starts no more keys.
};

/// What the traffic thread knows of one partition.
struct KeyPartitionView
{
  KeyPartitionRecord m_record; ///< Epoch 0 when no row is known.
  KeyPartitionRole m_role = KeyPartitionRole::Foreign;
};

/// Immutable copy for the traffic thread.
struct KeyOwnership
{
  std::uint64_t m_sequence = 0; ///< Grows with every snapshot of one process.
  std::vector<KeyPartitionView> m_partitions = std::vector<KeyPartitionView>(kKeyPartitions);
};

/// What the traffic thread reports: a partition that no longer starts keys and has none running.
struct StoppedPartition
{
  std::size_t m_partition = 0;
  std::uint64_t m_epoch = 0;
  WallTime m_newestMint{}; ///< Newest mint time among the keys that this node started in it.
};

} // namespace mustardtray
