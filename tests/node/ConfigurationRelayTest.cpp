#include "node/ConfigurationRelay.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "standin/StandinServer.h"
#include "tests/node/NodeFixture.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

std::string MakeConfiguration(int aVersion, const char* aKey)
{
  return fmt::format(
    R"({{"version":{},"routes":[],"services":[],"tenants":[{{"name":"a","api_keys":["{}"]}}]}})",
    aVersion,
    aKey);
}

/// A node without access to the store, beside a peer that knows the configuration.
struct RelayFixture
{
  RelayFixture()
    : m_store(m_io, m_timers)
    , m_peerNode(m_io, m_timers, Settings(m_store.Port()))
    , m_peerRelay(
        m_peerNode.m_context,
        [] { return std::vector<std::string>{}; },
        [] {})
    , m_peerServer(m_io,
                   "127.0.0.1",
                   0,
                   [this](const std::shared_ptr<StandinExchange>& aExchange) {
                     ++m_calls;
                     aExchange->SendResponse(
                       JsonResponse(200, m_peerRelay.AnswerPeer(aExchange->Request().m_body)));
                   })
    , m_node(m_io, m_timers, Settings(m_store.Port()))
    , m_relay(
        m_node.m_context,
        [this] { return m_peers; },
        [this] { ++m_changes; })
  {
    m_store.SetFault(soak::StoreFault::Closing);
    REQUIRE(m_peerServer.Listen().has_value());
    m_peers = { fmt::format("127.0.0.1:{}", m_peerServer.Port()) };
    m_peerNode.m_context.m_deployment.m_version = 0;
    m_node.m_context.m_deployment.m_version = 0;
  }

  static platform::NodeSettings Settings(std::uint16_t aStorePort)
  {
    platform::NodeSettings settings;
    settings.m_nodeName = "self";
    settings.m_store = { "127.0.0.1", aStorePort };
    settings.m_hasAccounts = true;
    return settings;
  }

  asio::io_context m_io;
  TimerService m_timers{ m_io };
  soak::RowStoreStandin m_store;
  NodeFixture m_peerNode;
  ConfigurationRelay m_peerRelay;
  StandinServer m_peerServer;
  NodeFixture m_node;
  int m_calls = 0;
  int m_changes = 0;
  std::vector<std::string> m_peers;
  ConfigurationRelay m_relay;
};

} // namespace

/// Guards against a revoked key that works for as long as a node cannot reach the store.
TEST_CASE("a node that the store does not answer learns a new configuration from a peer")
{
  RelayFixture fixture;
  fixture.m_relay.Apply(MakeConfiguration(1, "old"), "store");
  fixture.m_peerRelay.Apply(MakeConfiguration(2, "new"), "store");
  fixture.m_peerRelay.OnStoreAnswer(LeaseClockNow() - Millis(200));
  fixture.m_io.run_for(Millis(900));
  CHECK(fixture.m_node.m_context.m_deployment.m_version == 2);
  CHECK_FALSE(fixture.m_node.m_context.m_accountKeys.FindAccount("old"));
  CHECK(fixture.m_node.m_context.m_accountKeys.FindAccount("new") == "a");
  // The peer's own age is part of this node's, since nothing confirmed the peer meanwhile.
  CHECK(ConfigurationAge(fixture.m_node.m_context) >= Millis(900));
  CHECK(ConfigurationAge(fixture.m_peerNode.m_context) <=
        ConfigurationAge(fixture.m_node.m_context) + Millis(1));
}

TEST_CASE("a peer with an older configuration neither replaces nor confirms a newer one")
{
  RelayFixture fixture;
  fixture.m_relay.Apply(MakeConfiguration(3, "newest"), "store");
  fixture.m_peerRelay.Apply(MakeConfiguration(2, "new"), "store");
  fixture.m_peerRelay.OnStoreAnswer(LeaseClockNow());
  fixture.m_io.run_for(Millis(900));
  CHECK(fixture.m_calls > 0);
  CHECK(fixture.m_node.m_context.m_deployment.m_version == 3);
  CHECK(fixture.m_node.m_context.m_configurationConfirmedAt == TimePoint{});
}

TEST_CASE("peers are asked at most 5 times a second, and not while the store answers")
{
  RelayFixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.m_relay.OnStoreAnswer(LeaseClockNow());
    fixture.m_io.run_for(Millis(50));
  }
  CHECK(fixture.m_calls == 0);
  fixture.m_io.run_for(kMaxFeedSilence + Millis(1'000));
  CHECK(fixture.m_calls >= 1);
  CHECK(fixture.m_calls <= 6); // The first one and those of a second.
}

TEST_CASE("a configuration that cannot be used leaves the last valid one in force")
{
  RelayFixture fixture;
  fixture.m_relay.Apply(MakeConfiguration(1, "old"), "store");
  fixture.m_relay.Apply(
    R"({"version":2,"routes":[],"services":[],"tenants":[{"name":"a","weight":-1}]})", "store");
  CHECK(fixture.m_node.m_context.m_deployment.m_version == 1);
  CHECK(fixture.m_node.m_context.m_accountKeys.FindAccount("old") == "a");
  CHECK(fixture.m_changes == 1);
}

/// Guards against reads of the store, and memory, whose number a caller with wrong keys chooses.
TEST_CASE("requests that wait for a confirmation share its reads")
{
  RelayFixture fixture;
  int refused = 0;
  for (int i = 0; i < 2'000; ++i) {
    fixture.m_relay.AwaitConfirmation(1,
                                      [&](bool aIsConfirmed) { refused += aIsConfirmed ? 0 : 1; });
  }
  CHECK(refused == 1'500);
  fixture.m_io.run_for(kConfirmationTimeout + Millis(300));
  CHECK(refused == 2'000);
  CHECK(fixture.m_node.m_store.Counts().m_reads <= 11);
}
