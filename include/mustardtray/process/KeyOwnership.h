#pragma once

/// Ownership of the partitions of the idempotency keys. Only the owner of a partition starts
/// requests with its keys, so that two entry VMs never run the same key.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Number of partitions of one region's keys. It must not change while a fleet runs.
inline constexpr std::size_t kKeyPartitions = 64;

/// Rows of partitions are stored under this prefix followed by the partition's number.
inline constexpr std::string_view kKeyRowPrefix = "key-partition/";

/// Bounds on wall clock errors that at-most-once execution depends on.
struct KeyTimeBounds
{
  Millis m_clockError{ 500 };        ///< Largest error of an entry VM's wall clock.
  Millis m_futureAllowance{ 2'000 }; ///< How far ahead of the owner's clock a mint time may be.

  /// Every key that any owner has accepted until aNow was minted before the returned time.
  WallTime FloorAt(WallTime aNow) const
  {
    return aNow + 2 * m_clockError + m_futureAllowance + Millis(1);
  }
};

/// One run of a daemon on a node; a restarted daemon has a new incarnation.
struct NodeIncarnation
{
  std::string m_node;
  std::uint64_t m_incarnation = 0;

  bool operator==(const NodeIncarnation&) const = default;
};

/// The table's row of one partition.
struct KeyPartitionRecord
{
  NodeIncarnation m_owner;   ///< The node is empty when no node owns the partition.
  std::uint64_t m_epoch = 0; ///< Increases with every change of owner.
  WallTime m_mintFloor{};    ///< The owner rejects keys that were minted earlier.
};

Json ToJson(const KeyPartitionRecord& aRecord);
/// Errors: Invalid with the JSON pointer of the first fault.
Result<KeyPartitionRecord> ParseKeyPartitionRecord(const Json& aValue);

std::string KeyPartitionRowKey(std::size_t aPartition);
/// The partition whose row has the key aRowKey; kKeyPartitions when there is none.
std::size_t PartitionOfRowKey(std::string_view aRowKey);
std::size_t PartitionOfHash(std::uint64_t aKeyHash);

enum class KeyPartitionRole
{
  Foreign,   ///< Another node owns the partition, or no node does.
  Accepting, ///< This node owns the partition and may start keys.
  Stopping,  ///< This node owns the partition but hands it over: it starts no more keys.
};

/// One partition as the traffic thread sees it.
struct KeyPartitionView
{
  KeyPartitionRecord m_record; ///< Epoch 0 when no row is known.
  KeyPartitionRole m_role = KeyPartitionRole::Foreign;
};

/// Immutable snapshot for the traffic thread.
struct KeyOwnership
{
  std::uint64_t m_sequence = 0; ///< Increases with every snapshot of a process.
  std::vector<KeyPartitionView> m_partitions = std::vector<KeyPartitionView>(kKeyPartitions);
};

/// Report of the traffic thread: the partition starts no more keys and none of its keys is running.
struct StoppedPartition
{
  std::size_t m_partition = 0;
  std::uint64_t m_epoch = 0;
  WallTime m_newestMint{}; ///< Newest mint time of the keys that this node started.
};

} // namespace mustardtray
