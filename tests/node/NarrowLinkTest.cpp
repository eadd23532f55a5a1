/// A node whose link gives less than its work wants, against stand-ins behind a paced link.

#include <memory>
#include <optional>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "node/ConfigurationRelay.h"
#include "node/TableFollower.h"
#include "platform/Messages.h"
#include "standin/StandinServer.h"
#include "tests/node/NodeFixture.h"
#include "tests/soak/FaultProxy.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

constexpr double kLinkBytesPerSecond = 250'000.0; // 2 Mbit/s.

std::string MakeConfiguration(int aVersion)
{
  return fmt::format(R"({{"version":{},"routes":[],"services":[],"padding":"{}"}})",
                     aVersion,
                     std::string(8'000, 'c'));
}

/// A node with a store and a minion behind its link.
struct NarrowLinkFixture
{
  NarrowLinkFixture()
    : m_store(m_io, m_timers)
    , m_minion(m_io, "127.0.0.1", 0, [](const std::shared_ptr<StandinExchange>& aExchange) {
      aExchange->SendResponse(JsonResponse(200, R"({"clock_ms":1})"));
    })
  {
    REQUIRE(m_minion.Listen().has_value());
    m_storeProxy = std::make_unique<soak::FaultProxy>(m_io, m_timers, m_store.Port());
    m_minionProxy = std::make_unique<soak::FaultProxy>(m_io, m_timers, m_minion.Port());
    m_storeProxy->SetLink(&m_link);
    m_minionProxy->SetLink(&m_link);
    platform::NodeSettings settings;
    settings.m_nodeName = "self";
    settings.m_store = { "127.0.0.1", m_storeProxy->Port() };
    settings.m_linkBytesPerSecond = kLinkBytesPerSecond;
    m_node = std::make_unique<NodeFixture>(m_io, m_timers, settings);
    m_node->m_context.m_deployment.m_version = 0;
    m_relay = std::make_unique<ConfigurationRelay>(
      m_node->m_context, [] { return std::vector<std::string>{}; }, [] {});
    m_store.Put(platform::kOperatorTable, platform::kDeploymentKey, MakeConfiguration(1));
    m_follower = std::make_unique<TableFollower>(
      m_node->m_context,
      TableFollowerOptions{
        platform::kOperatorTable, true, Millis{ 900 }, Millis{ 0 }, false, true },
      [this](const std::vector<platform::Row>& aRows, bool) {
        for (const platform::Row& row : aRows) {
          m_relay->Apply(row.m_value, "store");
        }
      });
    m_io.run_for(Millis(300));
    REQUIRE(Version() == 1);
  }

  std::uint64_t Version() const { return m_node->m_context.m_deployment.m_version; }

  /// Orders starts in each interval, as a pool does whose minions have room.
  void OrderStarts(std::size_t aCount)
  {
    platform::MinionTarget target;
    target.m_address = fmt::format("127.0.0.1:{}", m_minionProxy->Port());
    job::StartOrder order;
    order.m_unit = "0123456789abcdef.0.0.0";
    order.m_payload = std::string(4'000, 's');
    for (std::size_t i = 0; i < aCount; ++i) {
      m_node->m_http.AwaitLink(
        CallPriority::Normal, order.m_payload.size(), Millis(500), [=, this](bool aHasRoom) {
          if (aHasRoom) {
            m_node->m_minionClient.Start(
              target, order, 0, Millis(500), [this](const platform::OrderResponse& aResponse) {
                m_started += aResponse.m_result == job::OrderResult::Started ? 1 : 0;
              });
          }
        });
    }
  }

  /// Runs until the version is in force; returns the time that it took, or nothing when it took
  /// longer than aMost.
  std::optional<Millis> TimeToVersion(std::uint64_t aVersion, Millis aMost)
  {
    const TimePoint begin = MonotonicNow();
    while (Version() < aVersion && MonotonicNow() - begin < aMost) {
      m_io.run_one_for(Millis(10));
    }
    return Version() < aVersion
             ? std::nullopt
             : std::optional(std::chrono::duration_cast<Millis>(MonotonicNow() - begin));
  }

  asio::io_context m_io;
  TimerService m_timers{ m_io };
  soak::PacedLink m_link{ kLinkBytesPerSecond };
  soak::RowStoreStandin m_store;
  StandinServer m_minion;
  std::unique_ptr<soak::FaultProxy> m_storeProxy;
  std::unique_ptr<soak::FaultProxy> m_minionProxy;
  std::unique_ptr<NodeFixture> m_node;
  std::unique_ptr<ConfigurationRelay> m_relay;
  std::unique_ptr<TableFollower> m_follower;
  std::size_t m_started = 0;
};

} // namespace

/// Guards against CONFIG: a configuration waited behind the starts that filled the link.
TEST_CASE("a configuration comes into force in time while starts fill the node's link")
{
  NarrowLinkFixture fixture;
  // Four times what the link gives.
  constexpr std::size_t kStartsPerRound = 25;
  TimerHandle round =
    fixture.m_timers.Every(Millis(100), 0, [&] { fixture.OrderStarts(kStartsPerRound); });
  fixture.m_io.run_for(Millis(3'000));
  fixture.m_store.Put(platform::kOperatorTable, platform::kDeploymentKey, MakeConfiguration(2));
  const auto time = fixture.TimeToVersion(2, fixture.m_node->m_settings.m_bounds.m_configDeadline);
  REQUIRE(time.has_value());
  MESSAGE("in force after ms: ", time->count());
  // The link is still used.
  CHECK(fixture.m_started > 100);
}

/// Guards against CONFIG: the feed returns each version that the node lacks, so it grew beyond what
/// its time-out allowed, and was asked for again from the start.
TEST_CASE("a node that lacks many versions of the configuration gets the newest one in time")
{
  NarrowLinkFixture fixture;
  fixture.m_storeProxy->SetFault(soak::LinkFault::Stalled);
  constexpr int kNewest = 62;
  for (int version = 2; version <= kNewest; ++version) {
    fixture.m_store.Put(
      platform::kOperatorTable, platform::kDeploymentKey, MakeConfiguration(version));
    fixture.m_io.run_for(Millis(50));
  }
  fixture.m_storeProxy->SetFault(soak::LinkFault::None);
  const auto time =
    fixture.TimeToVersion(kNewest, fixture.m_node->m_settings.m_bounds.m_configDeadline);
  REQUIRE(time.has_value());
  MESSAGE("in force after ms: ", time->count());
}
