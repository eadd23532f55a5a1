/// Many nodes in one process that start at the same moment against a store and a machine list with
/// limits.

#include <memory>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "node/FleetOrderController.h"
#include "node/Membership.h"
#include "node/ShardDirectory.h"
#include "tests/node/NodeFixture.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

constexpr std::size_t kNodes = 60;
constexpr std::size_t kPools = 5;
constexpr std::size_t kMachinesPerPool = 120;
/// Of all nodes together: 20 for each node.
constexpr std::size_t kMaxReadsPerSecond = 1'200;
constexpr std::size_t kMachinePages = 4;
constexpr std::size_t kMaxPagesPerSecond = 12;

std::string PoolName(std::size_t aNumber)
{
  return fmt::format("pool-{}", aNumber);
}

/// List of machines in pages. Refuses pages beyond the limit.
class MachineList
{
public:
  explicit MachineList(asio::io_context& aContext)
    : m_server(aContext, "127.0.0.1", 0, [this](const std::shared_ptr<StandinExchange>& aExchange) {
      Handle(*aExchange);
    })
  {
    REQUIRE(m_server.Listen().has_value());
  }

  std::uint16_t Port() const { return m_server.Port(); }
  std::size_t RefusedPages() const { return m_refusedPages; }

private:
  void Handle(StandinExchange& aExchange)
  {
    const TimePoint now = MonotonicNow();
    if (now - m_secondBeganAt >= Millis(1'000)) {
      m_secondBeganAt = now;
      m_pagesInSecond = 0;
    }
    if (++m_pagesInSecond > kMaxPagesPerSecond) {
      ++m_refusedPages;
      aExchange.SendResponse(JsonResponse(429, "{}"));
      return;
    }
    const std::string& target = aExchange.Request().m_query;
    const std::size_t equals = target.find('=');
    const std::size_t page =
      equals == std::string::npos ? 0 : std::stoul(target.substr(equals + 1));
    nlohmann::json machines = nlohmann::json::array();
    constexpr std::size_t kMachines = kPools * kMachinesPerPool;
    for (std::size_t i = page; i < kMachines; i += kMachinePages) {
      machines.push_back({ { "machine", fmt::format("m-{}", i) },
                           { "pool", PoolName(i % kPools) },
                           { "state", "up" },
                           { "zone", "z" },
                           { "labels", { "kind", "rack" } },
                           { "capacity", { { "cpu", 64'000 }, { "mem_mb", 64'000 } } } });
    }
    nlohmann::json body{ { "machines", machines } };
    if (page + 1 < kMachinePages) {
      body["next_token"] = std::to_string(page + 1);
    }
    aExchange.SendResponse(JsonResponse(200, body.dump()));
  }

  StandinServer m_server;
  TimePoint m_secondBeganAt{};
  std::size_t m_pagesInSecond = 0;
  std::size_t m_refusedPages = 0;
};

/// The parts of a node that divide the pools among the nodes.
class Node
{
public:
  Node(asio::io_context& aIo, TimerService& aTimers, platform::NodeSettings aSettings)
    : m_fixture(aIo, aTimers, std::move(aSettings))
  {
    for (std::size_t i = 0; i < kPools; ++i) {
      m_fixture.m_context.m_deployment.m_pools.push_back({ PoolName(i), true, false });
    }
    m_membership = std::make_unique<Membership>(
      m_fixture.m_context,
      "127.0.0.1:1",
      MembershipCallbacks{ [this](const job::OwnerRow& aClaim) { OnClaimed(aClaim); },
                           [](const std::string&) {},
                           [] {} });
    m_shardDirectory = std::make_unique<ShardDirectory>(
      m_fixture.m_context, [this] { m_membership->RequestDecision(); });
    m_shardDirectory->FollowUntilComplete();
  }

  const job::ShardMap& Shards() const { return m_fixture.m_context.m_shards; }
  const std::vector<std::string>& Owned() const { return m_owned; }

private:
  void OnClaimed(const job::OwnerRow& aClaim)
  {
    m_owned.push_back(aClaim.m_pool);
    if (aClaim.m_pool == kFleetPartition) {
      m_orderController = std::make_unique<FleetOrderController>(
        m_fixture.m_context,
        aClaim,
        [](const FleetSyncRequest&, auto&& aDone) {
          aDone(Error{ ErrorKind::Unavailable, "query pool owner", "", "no owner" });
        },
        [this](const std::vector<job::Machine>& aMachines) {
          m_shardDirectory->WriteMissing(aMachines);
        },
        [] {});
    }
  }

  NodeFixture m_fixture;
  std::vector<std::string> m_owned;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<ShardDirectory> m_shardDirectory;
  std::unique_ptr<FleetOrderController> m_orderController;
};

} // namespace

TEST_CASE("many nodes that start together divide all pools within the limits of the platform")
{
  asio::io_context io;
  TimerService timers(io);
  soak::RowStoreStandin store(io, timers);
  store.SetMaxReadsPerSecond(kMaxReadsPerSecond);
  MachineList machineList(io);
  std::vector<std::unique_ptr<Node>> nodes;
  for (std::size_t i = 0; i < kNodes; ++i) {
    platform::NodeSettings settings;
    settings.m_nodeName = fmt::format("node-{}", i);
    settings.m_store = { "127.0.0.1", store.Port() };
    settings.m_machineApi = { "127.0.0.1", machineList.Port() };
    settings.m_machineReadsPerSecond = kMaxPagesPerSecond;
    nodes.push_back(std::make_unique<Node>(io, timers, settings));
  }
  const std::size_t shards = kPools * job::ShardsFor(kMachinesPerPool);
  const auto countOwned = [&] {
    std::size_t owned = 0;
    for (const auto& node : nodes) {
      owned += node->Owned().size();
    }
    return owned;
  };
  // The users' traffic begins 10 s after the start of the nodes.
  const TimePoint end = MonotonicNow() + Millis(10'000);
  while (MonotonicNow() < end && countOwned() < shards + 1) {
    io.run_for(Millis(50));
  }
  CHECK(countOwned() == shards + 1);
  CHECK(machineList.RefusedPages() == 0);
  CHECK(store.RefusedReads() < kMaxReadsPerSecond);
  for (const auto& node : nodes) {
    for (std::size_t i = 0; i < kPools; ++i) {
      CHECK(node->Shards().Knows(PoolName(i)));
    }
  }
}
