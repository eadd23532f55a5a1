#pragma once

/// Tables for people: columns as wide as their longest cell.

#include <string>
#include <vector>

namespace mustardtray {

using TableRow = std::vector<std::string>;

/// The header and the rows, one a line.
std::string FormatTable(const TableRow& aHeader, const std::vector<TableRow>& aRows);

} // namespace mustardtray
