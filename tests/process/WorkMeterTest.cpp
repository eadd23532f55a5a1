#include "mustardtray/process/WorkMeter.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

TimePoint At(int aMs)
{
  return TimePoint(Millis(aMs));
}

} // namespace

TEST_CASE("time in a nested part counts for that part only")
{
  WorkMeter meter;
  const std::size_t outside = meter.Begin(WorkPart::MinionReport, At(100));
  const std::size_t outer = meter.Begin(WorkPart::PoolDecision, At(110));
  meter.End(outer, At(140));
  meter.End(outside, At(145));
  CHECK(meter.TakeSummary() == "pool-decision:30/1,minion-report:15/1");
}

TEST_CASE("time outside of all parts does not count, and each summary starts anew")
{
  WorkMeter meter;
  meter.End(meter.Begin(WorkPart::FleetPlan, At(0)), At(5));
  meter.End(meter.Begin(WorkPart::FleetPlan, At(1'000)), At(1'007));
  CHECK(meter.TakeSummary() == "fleet-plan:12/2");
  CHECK(meter.TakeSummary() == "none");
}
