#include "mustardtray/process/KeyOwnership.h"

#include <charconv>

#include <fmt/format.h>

namespace mustardtray {

Json ToJson(const KeyPartitionRecord& aRecord)
{
  return Json{ { "owner", aRecord.m_owner.m_node },
               { "incarnation", aRecord.m_owner.m_incarnation },
               { "epoch", aRecord.m_epoch },
               { "mint_floor_ms", aRecord.m_mintFloor.time_since_epoch().count() } };
}

Result<KeyPartitionRecord> ParseKeyPartitionRecord(const Json& aValue)
{
  FieldErrors errors;
  KeyPartitionRecord record;
  JsonReader reader(aValue, "", errors);
  record.m_owner.m_node = reader.RequiredString("owner");
  record.m_owner.m_incarnation =
    static_cast<std::uint64_t>(reader.RequiredInteger("incarnation", 0, INT64_MAX));
  record.m_epoch = static_cast<std::uint64_t>(reader.RequiredInteger("epoch", 1, INT64_MAX));
  record.m_mintFloor = WallTime(Millis(reader.RequiredInteger("mint_floor_ms", 0, INT64_MAX)));
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "parse key partition", "", errors.front().Text() };
  }
  return record;
}

std::string KeyPartitionRowKey(std::size_t aPartition)
{
  return fmt::format("{}{:02}", kKeyRowPrefix, aPartition);
}

std::size_t PartitionOfRowKey(std::string_view aRowKey)
{
  if (!aRowKey.starts_with(kKeyRowPrefix)) {
    return kKeyPartitions;
  }
  const std::string_view digits = aRowKey.substr(kKeyRowPrefix.size());
  std::size_t partition = kKeyPartitions;
  std::from_chars(digits.data(), digits.data() + digits.size(), partition);
  const bool isExact = partition < kKeyPartitions && KeyPartitionRowKey(partition) == aRowKey;
  return isExact ? partition : kKeyPartitions;
}

std::size_t PartitionOfHash(std::uint64_t aKeyHash)
{
  return aKeyHash % kKeyPartitions;
}

} // namespace mustardtray
