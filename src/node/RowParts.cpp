#include "node/RowParts.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// Precedes the number of parts. Values of one part never begin with it: they are JSON documents,
/// numbers or empty.
constexpr std::string_view kPartsMark = "parts=";
constexpr char kPartsEnd = ';';
/// Between the key of a value and the number of a further part.
constexpr std::string_view kPartSeparator = "/part-";
constexpr std::size_t kPartDigits = 3;
/// Room for the mark and the number of parts.
constexpr std::size_t kMarkBytes = 16;

/// Returns the number of parts, and removes it from the value; 1 when the value has a single part.
std::size_t TakePartCount(std::string& aValue)
{
  const std::size_t end =
    aValue.starts_with(kPartsMark) ? aValue.find(kPartsEnd) : std::string::npos;
  std::size_t parts = 1;
  if (end == std::string::npos) {
    return parts;
  }
  std::from_chars(aValue.data() + kPartsMark.size(), aValue.data() + end, parts);
  aValue.erase(0, end + 1);
  return parts;
}

} // namespace

std::size_t MaxPartBytes(std::size_t aMaxRowBytes)
{
  // The limit may hold for the value as sent, which base64 makes a third longer.
  const std::size_t bytes = aMaxRowBytes / 4 * 3;
  return bytes > 2 * kMarkBytes ? bytes - kMarkBytes : kMarkBytes;
}

std::size_t MaxValueBytes(std::size_t aMaxRowBytes)
{
  return std::min(kMaxRowsPerTransaction * MaxPartBytes(aMaxRowBytes), kMaxBytesPerTransaction);
}

std::size_t CountParts(std::size_t aValueBytes, std::size_t aMaxPartBytes)
{
  return std::max<std::size_t>(1, (aValueBytes + aMaxPartBytes - 1) / aMaxPartBytes);
}

std::vector<platform::RowWrite> SplitValue(const platform::RowId& aRowId,
                                           const std::string& aValue,
                                           std::size_t aMaxPartBytes)
{
  const std::size_t parts = CountParts(aValue.size(), aMaxPartBytes);
  if (parts == 1) {
    return { { aRowId, aValue } };
  }
  std::vector<platform::RowWrite> rows;
  for (std::size_t part = 0; part < parts; ++part) {
    std::string text = aValue.substr(part * aMaxPartBytes, aMaxPartBytes);
    if (part == 0) {
      rows.push_back({ aRowId, fmt::format("{}{}{}{}", kPartsMark, parts, kPartsEnd, text) });
    } else {
      rows.push_back({ PartRowId(aRowId, part), std::move(text) });
    }
  }
  return rows;
}

platform::RowId PartRowId(const platform::RowId& aRowId, std::size_t aPart)
{
  return { aRowId.m_table,
           aRowId.m_partition,
           fmt::format("{}{}{:0{}}", aRowId.m_key, kPartSeparator, aPart, kPartDigits) };
}

std::string EndOfParts(const std::string& aKey)
{
  return fmt::format("{}{}~", aKey, kPartSeparator);
}

std::optional<PartKey> ParsePartKey(const std::string& aKey)
{
  const std::size_t suffix = kPartSeparator.size() + kPartDigits;
  if (aKey.size() <= suffix ||
      aKey.compare(aKey.size() - suffix, kPartSeparator.size(), kPartSeparator) != 0) {
    return std::nullopt;
  }
  PartKey key{ aKey.substr(0, aKey.size() - suffix), 0 };
  const char* end = aKey.data() + aKey.size();
  const auto number = std::from_chars(end - kPartDigits, end, key.m_part);
  return number.ec == std::errc{} && number.ptr == end ? std::optional(std::move(key))
                                                       : std::nullopt;
}

bool HasFurtherParts(const platform::Row& aRow)
{
  return aRow.m_value.starts_with(kPartsMark);
}

std::vector<platform::Row> RowJoiner::Add(std::vector<platform::Row> aRows)
{
  std::vector<platform::Row> complete;
  complete.reserve(aRows.size());
  for (platform::Row& row : aRows) {
    const std::optional<PartKey> part = ParsePartKey(row.m_rowId.m_key);
    if (!part) {
      const std::size_t parts = TakePartCount(row.m_value);
      if (parts <= 1) {
        complete.push_back(std::move(row));
      } else {
        const std::string key = row.m_rowId.m_key;
        m_incomplete[key] = { std::move(row), parts, 1 };
      }
      continue;
    }
    const auto found = m_incomplete.find(part->m_key);
    if (found == m_incomplete.end() || found->second.m_joinedParts != part->m_part) {
      Log(LogCategory::Platform,
          LogLevel::Warning,
          "row-part-unexpected",
          "table",
          row.m_rowId.m_table,
          "key",
          row.m_rowId.m_key);
      continue;
    }
    IncompleteRow& incomplete = found->second;
    incomplete.m_row.m_value += row.m_value;
    if (++incomplete.m_joinedParts == incomplete.m_parts) {
      complete.push_back(std::move(incomplete.m_row));
      m_incomplete.erase(found);
    }
  }
  return complete;
}

void RowJoiner::Finish()
{
  for (const auto& [key, incomplete] : m_incomplete) {
    Log(LogCategory::Platform,
        LogLevel::Error,
        "row-incomplete",
        "table",
        incomplete.m_row.m_rowId.m_table,
        "key",
        key,
        "parts",
        incomplete.m_parts,
        "found",
        incomplete.m_joinedParts);
  }
  m_incomplete.clear();
}

} // namespace mustardtray::node
