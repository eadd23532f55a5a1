#include "process/PoolDemand.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1'000s };

TrafficReport MakeReport(std::uint64_t aArrivals)
{
  TrafficReport report;
  report.m_arrivals["orders"] = aArrivals;
  report.m_loads["orders"].m_meanRunTime = 100ms;
  return report;
}

} // namespace

TEST_CASE("Demand is the arrival rate between two reports times the mean run time")
{
  DemandMeter meter;
  meter.OnReport(kStart, MakeReport(1'000));
  CHECK(meter.Latest().empty());
  meter.OnReport(kStart + 500ms, MakeReport(1'040));
  CHECK(meter.Latest().at("orders") == doctest::Approx(8));
  meter.OnReport(kStart + 1s, MakeReport(1'040));
  CHECK(meter.Latest().at("orders") == doctest::Approx(0));
}

TEST_CASE("A pool's load is the demand of its services at all live entry VMs, in busy VMs")
{
  Configuration configuration;
  configuration.m_services["orders"].m_pool = "shop";
  configuration.m_services["orders"].m_slots = 8;
  PeerTable peers("a1", "zone-a");
  Heartbeat heartbeat;
  heartbeat.m_sender = { { "b1", 1 }, "zone-b", "", "http://p", "http://f" };
  heartbeat.m_freeSlots["orders"].m_demand = 12;
  peers.OnHeartbeat(kStart, heartbeat, std::nullopt);
  const auto loads = PoolLoadsOf(configuration, { { "orders", 4 } }, peers, kStart + 1s);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].m_pool == "shop");
  CHECK(loads[0].m_busyVms == doctest::Approx(2));
  const auto later = PoolLoadsOf(configuration, { { "orders", 4 } }, peers, kStart + 60s);
  CHECK(later[0].m_busyVms == doctest::Approx(0.5));
}
