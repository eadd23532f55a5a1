#include "client/Table.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr std::size_t kColumnGap = 2;

void AppendLine(std::string& aText, const TableRow& aRow, const std::vector<std::size_t>& aWidths)
{
  std::string line;
  for (std::size_t i = 0; i < aRow.size(); ++i) {
    line += fmt::format("{:<{}}", aRow[i], aWidths[i] + kColumnGap);
  }
  line.erase(line.find_last_not_of(' ') + 1);
  aText += line + "\n";
}

} // namespace

std::string FormatTable(const TableRow& aHeader, const std::vector<TableRow>& aRows)
{
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < aHeader.size(); ++i) {
    std::size_t width = aHeader[i].size();
    for (const TableRow& row : aRows) {
      width = std::max(width, row[i].size());
    }
    widths.push_back(width);
  }
  std::string text;
  AppendLine(text, aHeader, widths);
  for (const TableRow& row : aRows) {
    AppendLine(text, row, widths);
  }
  return text;
}

} // namespace mustardtray
