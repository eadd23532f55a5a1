#include "standin/PlatformTable.h"

#include <doctest/doctest.h>

#include "tests/support/FakePlatform.h"

using namespace mustardtray;

namespace {

Transaction WriteOf(const std::string& aKey, std::uint64_t aVersion, std::optional<Json> aValue)
{
  return { { { aKey, aVersion } }, { { aKey, std::move(aValue) } } };
}

} // namespace

TEST_CASE("PlatformTable applies all writes or none")
{
  PlatformTable table;
  REQUIRE(table.Transact(WriteOf("a", 0, 1)).m_isCommitted);
  const Transaction mixed{ { { "a", 1 }, { "b", 3 }, { "c", 4 } },
                           { { "a", Json(2) }, { "d", Json(2) } } };
  const Commit refused = table.Transact(mixed);
  CHECK(!refused.m_isCommitted);
  CHECK(refused.m_conflicts == std::vector<std::string>{ "b", "c" });
  CHECK(refused.m_revision == 1);
  CHECK(table.Read({ "d" }).empty());
  CHECK(table.Read({ "a" }).at(0).m_value == 1);
  CHECK(table.Transact(WriteOf("a", 1, 2)).m_revision == 2);
  CHECK(table.Read({ "a" }).at(0).m_version == 2);
  CHECK(!table.Transact(WriteOf("a", 0, 5)).m_isCommitted);
}

TEST_CASE("PlatformTable continues the versions of a row after its deletion")
{
  PlatformTable table;
  table.Transact(WriteOf("a", 0, 1));
  table.Transact(WriteOf("a", 1, std::nullopt));
  CHECK(table.Read({ "a" }).empty());
  REQUIRE(table.Transact(WriteOf("a", 0, 2)).m_isCommitted);
  CHECK(!table.Transact(WriteOf("a", 1, 3)).m_isCommitted);
  CHECK(table.Read({ "a" }).at(0).m_version == 3);
}

TEST_CASE("PlatformTable scan returns changes and deletions under a prefix")
{
  PlatformTable table;
  table.Transact(WriteOf("vm/a", 0, 1));
  table.Transact(WriteOf("vm/b", 0, 1));
  table.Transact(WriteOf("vn", 0, 1));
  const ScanPage all = table.Scan("vm/", 0);
  CHECK(all.m_rows.size() == 2);
  CHECK(all.m_revision == 3);
  table.Transact(WriteOf("vm/a", 1, std::nullopt));
  table.Transact(WriteOf("vm/b", 1, 7));
  const ScanPage changes = table.Scan("vm/", all.m_revision);
  REQUIRE(changes.m_rows.size() == 1);
  CHECK(changes.m_rows[0].m_value == 7);
  CHECK(changes.m_deleted == std::vector<std::string>{ "vm/a" });
  CHECK(table.Scan("vm/", changes.m_revision).m_rows.empty());
  CHECK(table.Scan("vm/", 0).m_deleted.empty());
}

TEST_CASE("PlatformTable reads and scans at an earlier revision")
{
  PlatformTable table;
  table.Transact(WriteOf("a", 0, 1));
  table.KeepHistoryFrom(table.Revision());
  table.Transact(WriteOf("a", 1, 2));
  table.Transact(WriteOf("b", 0, 1));
  table.Transact(WriteOf("a", 2, 3));
  CHECK(table.Read({ "a", "b" }, 1).size() == 1);
  CHECK(table.Read({ "a" }, 1).at(0).m_value == 1);
  CHECK(table.Read({ "a" }, 3).at(0).m_value == 2);
  const ScanPage early = table.Scan("", 1, 3);
  CHECK(early.m_revision == 3);
  CHECK(early.m_rows.size() == 2);
  CHECK(table.Scan("", early.m_revision).m_rows.size() == 1);
  CHECK(table.Scan("", 4, 2).m_revision == 4);
}

TEST_CASE("FakePlatform loses responses and requests as configured")
{
  FakePlatformState state;
  FakePlatform platform(state);
  std::vector<ErrorKind> errors;
  const auto record = [&](Result<Commit> aResult) {
    if (!aResult) {
      errors.push_back(aResult.error().m_kind);
    }
  };
  platform.m_isDown = true;
  platform.Transact(WriteOf("a", 0, 1), record);
  platform.m_isDown = false;
  platform.m_requestsToLose = 1;
  platform.Transact(WriteOf("a", 0, 1), record);
  CHECK(state.m_table.Revision() == 0);
  platform.m_responsesToLose = 1;
  platform.Transact(WriteOf("a", 0, 1), record);
  CHECK(state.m_table.Revision() == 1);
  CHECK(errors == std::vector{ ErrorKind::Unavailable, ErrorKind::Unknown, ErrorKind::Unknown });
}

TEST_CASE("FakePlatform runs delayed calls on request and serves stale reads")
{
  FakePlatformState state;
  FakePlatform platform(state);
  std::vector<std::uint64_t> revisions;
  const auto record = [&](Result<Commit> aResult) {
    revisions.push_back(aResult.value().m_revision);
  };
  platform.SetStaleReads(true);
  platform.m_delay = FakeDelay::Responses;
  platform.Transact(WriteOf("a", 0, 1), record);
  CHECK(state.m_table.Revision() == 1);
  platform.m_delay = FakeDelay::Requests;
  platform.Transact(WriteOf("b", 0, 1), record);
  CHECK(state.m_table.Revision() == 1);
  CHECK(revisions.empty());
  CHECK(platform.RunPending() == 2);
  CHECK(revisions == std::vector<std::uint64_t>{ 1, 2 });
  platform.m_delay = FakeDelay::None;
  std::size_t seen = 9;
  platform.Read({ "a", "b" }, [&](Result<std::vector<Row>> aRows) { seen = aRows.value().size(); });
  CHECK(seen == 0);
  platform.SetStaleReads(false);
  platform.Read({ "a", "b" }, [&](Result<std::vector<Row>> aRows) { seen = aRows.value().size(); });
  CHECK(seen == 2);
}
