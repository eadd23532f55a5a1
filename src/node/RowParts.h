#pragma once

/// Values that are longer than a row of the store. The row of the value's key holds the number of
/// parts and the first part; each further part has a row of its own, in the same transaction.

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/StoreClient.h"

namespace mustardtray::node {

/// Rows that one transaction writes or removes beside the head of its pool.
inline constexpr std::size_t kMaxRowsPerTransaction = 90;
/// Half of what the store accepts in one call, since base64 makes values a third longer.
inline constexpr std::size_t kMaxBytesPerTransaction = 500'000;

/// Longest part of a value, given the longest value that a row may have.
std::size_t MaxPartBytes(std::size_t aMaxRowBytes);
/// Longest value that one transaction can store.
std::size_t MaxValueBytes(std::size_t aMaxRowBytes);

std::size_t CountParts(std::size_t aValueBytes, std::size_t aMaxPartBytes);
/// Returns the rows that hold the value, first that of its own key.
std::vector<platform::RowWrite> SplitValue(const platform::RowId& aRowId,
                                           const std::string& aValue,
                                           std::size_t aMaxPartBytes);
/// Returns the row of a further part; these are numbered from 1.
platform::RowId PartRowId(const platform::RowId& aRowId, std::size_t aPart);
/// Returns a key that sorts after those of all parts of a value.
std::string EndOfParts(const std::string& aKey);

/// Key of a further part of a value.
struct PartKey
{
  std::string m_key; ///< Of the value.
  std::size_t m_part = 0;
};
/// Empty when the key is not that of a further part.
std::optional<PartKey> ParsePartKey(const std::string& aKey);
/// Whether the row holds the first of several parts.
bool HasFurtherParts(const platform::Row& aRow);

/// Joins the parts of values that are read in the order of their keys.
class RowJoiner
{
public:
  /// Returns the rows whose values are complete.
  std::vector<platform::Row> Add(std::vector<platform::Row> aRows);
  /// Logs the values that are still incomplete and forgets them.
  void Finish();

private:
  struct IncompleteRow
  {
    platform::Row m_row;
    std::size_t m_parts = 0; ///< Of the whole value.
    std::size_t m_joinedParts = 0;
  };
  std::map<std::string, IncompleteRow> m_incomplete; ///< By key of the value.
};

} // namespace mustardtray::node
