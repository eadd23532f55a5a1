#include "mustardtray/process/fleet/MovePlanner.h"

#include <doctest/doctest.h>

#include "bench/FleetRun.h"

using namespace mustardtray;

namespace {

/// Pool "one" with four VMs and spare pool "two" with four VMs.
struct MoveFixture
{
  Configuration m_configuration;
  FleetPolicy m_policy;
  FleetView m_view;
  MovePlanner m_planner;
  int m_second = 0;

  explicit MoveFixture(int aSpareMinimum = 2)
  {
    m_configuration = BuildConfiguration({ "test", { 1 }, { 4, 4 }, { 2, 0 }, aSpareMinimum, 2 });
    for (std::size_t service = 0; service < 2; ++service) {
      for (int i = 0; i < 4; ++i) {
        VmRecord vm;
        vm.m_name = MinionVm(service, i);
        vm.m_zone = "zone-1";
        vm.m_pool = ServiceName(service);
        vm.m_homePool = vm.m_pool;
        m_view.m_vms[vm.m_name] = Versioned<VmRecord>{ 1, vm };
      }
    }
  }

  /// Adds one load sample per second for aSeconds. Stops at the first planned moves and returns
  /// them.
  std::vector<PlannedMove> ApplyLoad(double aLoad, double aSpareLoad, int aSeconds)
  {
    const FleetIndex index = BuildFleetIndex(m_view, m_configuration);
    for (int i = 0; i < aSeconds; ++i) {
      const TimePoint now{ std::chrono::seconds(++m_second) };
      m_planner.AddSample({ { "one", aLoad }, { "two", aSpareLoad } }, m_policy, now);
      auto moves = m_planner.PlanMoves({ m_view, index, m_configuration, m_policy }, now);
      if (!moves.empty()) {
        return moves;
      }
    }
    return {};
  }
};

constexpr int kHour = 3'600;

} // namespace

TEST_CASE("MovePlanner moves a VM from the spare pool after a sustained deficit")
{
  MoveFixture fixture;
  CHECK(fixture.ApplyLoad(2, 1, kHour).empty());
  const auto moves = fixture.ApplyLoad(5, 1, kHour);
  REQUIRE(moves.size() == 1);
  CHECK(moves.front().m_targetPool == "one");
  CHECK(fixture.m_view.Vm(moves.front().m_vm)->m_pool == "two");
  const auto least = fixture.m_policy.m_moveDuration * fixture.m_policy.m_deficitFactor;
  CHECK(std::chrono::seconds(fixture.m_second - kHour) > least);
}

TEST_CASE("MovePlanner plans no move for short bursts of five times the mean load")
{
  for (const bool isLastingOnly : { true, false }) {
    MoveFixture fixture;
    fixture.m_policy.m_rules.m_requireSustainedLoad = isLastingOnly;
    bool hasMoved = false;
    for (int cycle = 0; cycle < 100; ++cycle) {
      hasMoved = !fixture.ApplyLoad(2 * 5, 1, 10).empty() || hasMoved;
      hasMoved = !fixture.ApplyLoad(2 * 0.05, 1, 42).empty() || hasMoved;
    }
    CHECK(hasMoved == !isLastingOnly);
  }
}

TEST_CASE("MovePlanner keeps the minimum, budget and own load of the spare pool")
{
  CHECK(MoveFixture(4).ApplyLoad(5, 1, kHour).empty());
  CHECK(MoveFixture(2).ApplyLoad(5, 2.9, kHour).empty());
  MoveFixture fixture;
  fixture.m_view.m_ledgers["two"].m_value.m_planned = { { "x", "op" }, { "y", "op" } };
  CHECK(fixture.ApplyLoad(5, 1, kHour).empty());
}

TEST_CASE("MovePlanner plans no second move while one is in progress for the pool")
{
  MoveFixture fixture;
  fixture.m_view.m_pools["one"].m_value.m_joining["two-01"] = "op";
  CHECK(fixture.ApplyLoad(5, 1, kHour).empty());
}

TEST_CASE("MovePlanner returns a borrowed VM only after a sustained surplus")
{
  MoveFixture fixture;
  fixture.m_view.m_vms.at("two-01").m_value.m_pool = "one";
  CHECK(fixture.ApplyLoad(3, 1, 3 * kHour).empty());
  const auto moves = fixture.ApplyLoad(1, 1, 3 * kHour);
  REQUIRE(moves.size() == 1);
  CHECK(moves.front().m_isReturn);
  CHECK(moves.front().m_vm == "two-01");
  CHECK(moves.front().m_targetPool == "two");
}
