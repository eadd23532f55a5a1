#pragma once

/// Plain-text tables whose columns are as wide as their longest cell.

#include <string>
#include <vector>

namespace mustardtray {

using TableRow = std::vector<std::string>;

/// Formats the header and the rows as one line each. Every row has as many cells as the header.
std::string FormatTable(const TableRow& aHeader, const std::vector<TableRow>& aRows);

} // namespace mustardtray
