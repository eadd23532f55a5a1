#include "mustardtray/process/PeerTable.h"

#include <doctest/doctest.h>

#include "process/RoutingPublisher.h"

using namespace mustardtray;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1'000s };

Heartbeat HeartbeatFrom(const std::string& aNode,
                        const std::string& aZone,
                        std::uint64_t aIncarnation = 1)
{
  Heartbeat heartbeat;
  heartbeat.m_sender = {
    { aNode, aIncarnation }, aZone, "region", "http://peer-" + aNode, "http://forward-" + aNode
  };
  heartbeat.m_freeSlots["orders"] = { 4, 2, 1.5 };
  return heartbeat;
}

} // namespace

TEST_CASE("A heartbeat is unchanged after conversion to JSON and back")
{
  Heartbeat heartbeat = HeartbeatFrom("a", "zone-a", 7);
  heartbeat.m_outOfServiceVms["t1"] = 12;
  heartbeat.m_acknowledgedShareGeneration = 3;
  const Result<Heartbeat> parsed = ParseHeartbeat(Json::parse(ToJson(heartbeat).dump()));
  REQUIRE(parsed.has_value());
  CHECK(parsed.value().m_sender == heartbeat.m_sender);
  CHECK(parsed.value().m_outOfServiceVms == heartbeat.m_outOfServiceVms);
  CHECK(parsed.value().m_acknowledgedShareGeneration == 3);
  CHECK(parsed.value().m_freeSlots.at("orders").m_urgent == 4);
  CHECK(parsed.value().m_freeSlots.at("orders").m_demand == 1.5);
  CHECK(ParseHeartbeat(Json::parse("[]")).has_error());
  CHECK(ParseHeartbeat(Json::parse(R"({"sender": {"node": 5}})")).has_error());
}

TEST_CASE("Heartbeats go to all nodes of the zone and to one node of each other zone in turn")
{
  PeerTable peers("a1", "zone-a");
  for (const std::string node : { "a2", "a3" }) {
    peers.OnHeartbeat(kStart, HeartbeatFrom(node, "zone-a"), std::nullopt);
  }
  for (const std::string node : { "b1", "b2", "b3" }) {
    peers.OnHeartbeat(kStart, HeartbeatFrom(node, "zone-b"), std::nullopt);
  }
  std::map<std::string, int> sent;
  for (int round = 0; round < 3; ++round) {
    const auto targets = peers.HeartbeatTargets();
    CHECK(targets.size() == 3);
    for (const NodeInfo& target : targets) {
      ++sent[target.m_id.m_node];
    }
  }
  CHECK(sent == std::map<std::string, int>{
                  { "a2", 3 }, { "a3", 3 }, { "b1", 1 }, { "b2", 1 }, { "b3", 1 } });
}

TEST_CASE(
  "An unresponsive or leaving peer has no free capacity, and an older incarnation is ignored")
{
  PeerTable peers("a1", "zone-a");
  peers.OnHeartbeat(kStart, HeartbeatFrom("a2", "zone-a", 2), 1ms);
  CHECK(peers.FreeCapacities(kStart + 1s).at("orders").size() == 1);
  CHECK(peers.FreeCapacities(kStart + 10s).empty());
  Heartbeat old = HeartbeatFrom("a2", "zone-a", 1);
  old.m_sender.m_forwardUrl = "http://old";
  peers.OnHeartbeat(kStart + 10s, old, std::nullopt);
  CHECK(peers.Endpoints().at("a2").m_forwardUrl == "http://forward-a2");
  Heartbeat leaving = HeartbeatFrom("a2", "zone-a", 2);
  leaving.m_isLeaving = true;
  peers.OnHeartbeat(kStart + 10s, leaving, std::nullopt);
  CHECK(peers.FreeCapacities(kStart + 10s).empty());
  CHECK(peers.Endpoints().contains("a2"));
}

TEST_CASE("A VM accepts no work when a peer knows a newer row in which it is out of service")
{
  PeerTable peers("a1", "zone-a");
  VmRecord vm;
  vm.m_name = "t1";
  vm.m_generation = 4;
  CHECK(AcceptsWork(vm, peers));
  Heartbeat heartbeat = HeartbeatFrom("a2", "zone-a");
  heartbeat.m_outOfServiceVms["t1"] = 4;
  peers.OnHeartbeat(kStart, heartbeat, std::nullopt);
  CHECK(AcceptsWork(vm, peers));
  heartbeat.m_outOfServiceVms["t1"] = 5;
  peers.OnHeartbeat(kStart, heartbeat, std::nullopt);
  CHECK_FALSE(AcceptsWork(vm, peers));
  vm.m_generation = 6;
  CHECK(AcceptsWork(vm, peers));
  vm.m_phase = VmPhase::Draining;
  CHECK_FALSE(AcceptsWork(vm, peers));
}
