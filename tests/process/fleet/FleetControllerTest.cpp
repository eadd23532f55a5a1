#include "mustardtray/process/fleet/FleetController.h"

#include <doctest/doctest.h>

#include "bench/FleetRun.h"

using namespace mustardtray;

namespace {

constexpr Millis kWaveLimit{ 3'600'000 };

void CheckNothingBroken(const FleetFaultCounts& aFaults)
{
  CHECK(aFaults.m_budgetViolations == 0);
  CHECK(aFaults.m_twoPools == 0);
  CHECK(aFaults.m_stopsWithWork == 0);
  CHECK(aFaults.m_poolBelowMinimum == 0);
}

} // namespace

TEST_CASE("FleetController rolls a wave over all VMs")
{
  FleetRun run(SmallDeployment(), 1);
  auto& controller = run.AddController({});
  run.Settle();
  REQUIRE(run.StartWave(controller, "w1"));
  REQUIRE(run.RunUntil([&run] { return run.Fleet().IsMaintained(1); }, kWaveLimit));
  run.RunFor(Millis(5'000));
  CHECK(FindWave(run.Fleet().View(), "w1")->m_value.m_state == WaveState::Done);
  CHECK(run.Fleet().View().Ledger("one").m_value.m_planned.empty());
  CHECK(run.Fleet().Faults().m_budgetExceedances == 0);
  CheckNothingBroken(run.Fleet().Faults());
}
