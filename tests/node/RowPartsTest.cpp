#include "node/RowParts.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

const platform::RowId kRow{ "job", "pool", "0123456789abcdef" };

std::vector<platform::Row> Stored(const std::vector<platform::RowWrite>& aWrites)
{
  std::vector<platform::Row> rows;
  for (const platform::RowWrite& write : aWrites) {
    rows.push_back({ write.m_rowId, write.m_value });
  }
  return rows;
}

} // namespace

TEST_CASE("a value of any length is the same after it has been split and joined")
{
  for (const std::size_t length : { 0, 1, 63, 64, 65, 127, 128, 129, 640, 1'000 }) {
    const std::string value = std::string(length, 'x') + "end";
    const std::vector<platform::RowWrite> writes = SplitValue(kRow, value, 64);
    const std::vector<platform::Row> rows = RowJoiner().Add(Stored(writes));
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].m_rowId == kRow);
    CHECK(rows[0].m_value == value);
  }
}

TEST_CASE("no row of a value is longer than the store allows, also as base64")
{
  constexpr std::size_t kMaxRowBytes = 65'536;
  const std::string value(MaxValueBytes(kMaxRowBytes), 'x');
  const auto writes = SplitValue(kRow, value, MaxPartBytes(kMaxRowBytes));
  CHECK(writes.size() <= kMaxRowsPerTransaction);
  CHECK(std::all_of(writes.begin(), writes.end(), [](const platform::RowWrite& aWrite) {
    return (aWrite.m_value.size() + 2) / 3 * 4 <= kMaxRowBytes;
  }));
}

TEST_CASE("the parts of a value are joined across pages and between other rows")
{
  const std::string value(200, 'x');
  const std::vector<platform::Row> parts = Stored(SplitValue(kRow, value, 64));
  REQUIRE(parts.size() == 4);
  RowJoiner joiner;
  CHECK(joiner.Add({ parts[0], { { "job", "pool", "0123456789abcdef-" }, "other" } }).size() == 1);
  CHECK(joiner.Add({ parts[1], parts[2] }).empty());
  const std::vector<platform::Row> rows = joiner.Add({ parts[3] });
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].m_value == value);
}

TEST_CASE("a value with a missing part is left out")
{
  std::vector<platform::Row> parts = Stored(SplitValue(kRow, std::string(200, 'x'), 64));
  parts.erase(parts.begin() + 1);
  RowJoiner joiner;
  CHECK(joiner.Add(parts).empty());
  joiner.Finish();
}

TEST_CASE("keys of parts sort between the key of their value and the end of its parts")
{
  for (const std::size_t part : { 1, 9, 10, 99, 100 }) {
    const std::string key = PartRowId(kRow, part).m_key;
    CHECK(key > kRow.m_key);
    CHECK(key < EndOfParts(kRow.m_key));
    const auto parsed = ParsePartKey(key);
    REQUIRE(parsed);
    CHECK(parsed->m_key == kRow.m_key);
    CHECK(parsed->m_part == part);
  }
  CHECK_FALSE(ParsePartKey(kRow.m_key));
  CHECK_FALSE(ParsePartKey("cancel.0123456789abcdef"));
}
