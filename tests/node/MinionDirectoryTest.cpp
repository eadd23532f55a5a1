#include "node/MinionDirectory.h"

#include <map>
#include <memory>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "node/TableFollower.h"
#include "tests/node/NodeFixture.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

constexpr const char* kPool = "pool";
constexpr const char* kMinion = "minion";

/// A node that owns both shards of a pool.
struct MinionDirectoryFixture
{
  MinionDirectoryFixture()
    : m_store(m_io, m_timers)
    , m_node(m_io, m_timers, MakeSettings(m_store.Port()))
    , m_directory(
        m_node.m_context,
        [this](const std::string& aShard) {
          const auto found = m_owners.find(aShard);
          return found == m_owners.end() ? nullptr : found->second.get();
        },
        [](const job::MachineIncarnation&) {})
  {
    m_node.m_context.m_shards.Set(kPool, 2);
    m_node.m_context.m_lease.Extend(LeaseClockNow() + Millis(60'000));
    for (const std::string& shard : m_node.m_context.m_shards.Names(kPool)) {
      job::OwnerRow claim;
      claim.m_pool = shard;
      m_owners[shard] = std::make_unique<PoolOwner>(m_node.m_context, claim, [] {});
    }
    m_io.run_for(Millis(300));
    for (const auto& [shard, owner] : m_owners) {
      REQUIRE(owner->IsAuthoritative());
    }
  }

  static platform::NodeSettings MakeSettings(std::uint16_t aPort)
  {
    platform::NodeSettings settings;
    settings.m_nodeName = "self";
    settings.m_store = { "127.0.0.1", aPort };
    return settings;
  }

  /// The name of a machine whose minions belong to the shard.
  std::string MachineOf(const std::string& aShard) const
  {
    std::string machine;
    for (int i = 0; machine.empty() || m_node.m_context.m_shards.Of(kPool, machine) != aShard;
         ++i) {
      machine = fmt::format("machine-{}", i);
    }
    return machine;
  }

  void Register(const std::string& aMachine)
  {
    platform::Row row;
    row.m_rowId = { platform::kMinionTable, "", kMinion };
    row.m_value = MakeEntry(aMachine);
    m_directory.OnRows({ row }, false);
  }

  static std::string MakeEntry(const std::string& aMachine,
                               const std::string& aAddress = "127.0.0.1:1",
                               const std::string& aCpu = "1",
                               const std::string& aOther = "0")
  {
    return fmt::format(R"({{"service":"{}","address":"{}","zone":"z","state":"ready","labels":[],)"
                       R"("capacity":{{"cpu":{},"mem_mb":1}},"born":1,"machine":"{}","other":{}}})",
                       kPool,
                       aAddress,
                       aCpu,
                       aMachine,
                       aOther);
  }

  /// What the owners know of the pool's minions: cores by id.
  std::map<std::string, std::int64_t> KnownCpu() const
  {
    std::map<std::string, std::int64_t> cpu;
    for (const auto& [shard, owner] : m_owners) {
      for (const auto& [id, minion] : owner->Scheduler().Minions()) {
        cpu[id] = minion.m_entry.m_capacity.m_cpu;
      }
    }
    return cpu;
  }

  template<typename Condition>
  bool RunUntil(Condition aCondition, Millis aTime = Millis(3'000))
  {
    const TimePoint end = MonotonicNow() + aTime;
    while (MonotonicNow() < end && !aCondition()) {
      m_io.run_for(Millis(5));
    }
    return aCondition();
  }

  bool Knows(const std::string& aShard) const
  {
    return m_owners.at(aShard)->Scheduler().Minions().contains(kMinion);
  }

  asio::io_context m_io;
  TimerService m_timers{ m_io };
  soak::RowStoreStandin m_store;
  NodeFixture m_node;
  std::map<std::string, std::unique_ptr<PoolOwner>> m_owners;
  MinionDirectory m_directory;
};

} // namespace

TEST_CASE("a minion whose row names another machine leaves its former shard")
{
  MinionDirectoryFixture fixture;
  const std::vector<std::string> shards = fixture.m_node.m_context.m_shards.Names(kPool);
  REQUIRE(shards.size() == 2);
  fixture.Register(fixture.MachineOf(shards[0]));
  CHECK(fixture.Knows(shards[0]));
  CHECK_FALSE(fixture.Knows(shards[1]));
  fixture.Register(fixture.MachineOf(shards[1]));
  CHECK_FALSE(fixture.Knows(shards[0]));
  CHECK(fixture.Knows(shards[1]));
}

TEST_CASE("an odd entry among the minions neither hides the others nor stops the follower")
{
  MinionDirectoryFixture fixture;
  constexpr int kMinions = 5;
  const auto entry = &MinionDirectoryFixture::MakeEntry;
  const std::vector<std::string> oddEntries{
    entry("m", "127.0.0.1:1", "1", std::string(60'000, '[')),
    entry("m", "127.0.0.1:1", "1", std::string(30'000, '[') + std::string(30'000, ']')),
    entry("m", "127.0.0.1:1", "1", "1e999"),
    entry("m", "127.0.0.1:1", "1e300", "0"),
    entry("m", "127.0.0.1:1", "9223372036854775807", "0"),
    entry("m", "127.0.0.1:1", "18446744073709551615", "0"),
    entry("m", "127.0.0.1:1", "-1", "0"),
    entry("m", "127.0.0.1:99999", "1", "0"),
    entry("m", "127.0.0.1:0", "1", "0"),
    entry("m", "127.0.0.1:-1", "1", "0"),
    entry("m", "127.0.0.1:x", "1", "0"),
    entry("m", ":80", "1", "0"),
    entry("m", "nowhere.invalid:80", "1", "0"),
    entry("\xff", "127.0.0.1:1", "1", "0"),
    entry(std::string(60'000, 'm'), "127.0.0.1:1", "1", "0"),
    std::string("\0\0", 2),
    "",
    "null",
  };
  TableFollower follower(fixture.m_node.m_context,
                         { platform::kMinionTable, true, Millis{ 1'000 }, Millis{ 10 } },
                         [&](const std::vector<platform::Row>& aRows, bool aIsComplete) {
                           fixture.m_directory.OnRows(aRows, aIsComplete);
                         });
  std::map<std::string, std::int64_t> expected;
  for (std::size_t round = 0; round < oddEntries.size(); ++round) {
    CAPTURE(oddEntries[round].substr(0, 200));
    fixture.m_store.Put(platform::kMinionTable, fmt::format("a-odd-{}", round), oddEntries[round]);
    for (int i = 0; i < kMinions; ++i) {
      const std::string id = fmt::format("b-{}", i);
      expected[id] = static_cast<std::int64_t>(round) + 1;
      fixture.m_store.Put(platform::kMinionTable,
                          id,
                          entry("machine-" + id, "127.0.0.1:1", std::to_string(expected[id]), "0"));
    }
    CHECK(fixture.RunUntil([&] { return fixture.KnownCpu() == expected; }));
  }
  // The rows are read again as a whole.
  fixture.m_directory.Clear();
  TableFollower reader(fixture.m_node.m_context,
                       { platform::kMinionTable, true, Millis{ 1'000 }, Millis{ 10 } },
                       [&](const std::vector<platform::Row>& aRows, bool aIsComplete) {
                         fixture.m_directory.OnRows(aRows, aIsComplete);
                       });
  const auto isExpected = [&] { return fixture.KnownCpu() == expected; };
  CHECK(fixture.RunUntil([&] { return reader.IsUpToDate(); }));
  CHECK(fixture.RunUntil(isExpected));
  // A minion whose own entry becomes odd is used no more, until it is readable again.
  fixture.m_store.Put(platform::kMinionTable, "b-0", oddEntries[0]);
  expected.erase("b-0");
  CHECK(fixture.RunUntil(isExpected));
  fixture.m_store.Put(platform::kMinionTable, "b-0", entry("machine-b-0", "127.0.0.1:1", "7", "0"));
  expected["b-0"] = 7;
  CHECK(fixture.RunUntil(isExpected));
}
