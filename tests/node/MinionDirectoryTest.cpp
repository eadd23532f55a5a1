#include "node/MinionDirectory.h"

#include <map>
#include <memory>

#include <doctest/doctest.h>
#include <fmt/format.h>

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
    row.m_value = fmt::format(
      R"({{"service":"{}","address":"127.0.0.1:1","zone":"z","state":"ready","labels":[],)"
      R"("capacity":{{"cpu":1,"mem_mb":1}},"born":1,"machine":"{}"}})",
      kPool,
      aMachine);
    m_directory.OnRows({ row }, false);
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
