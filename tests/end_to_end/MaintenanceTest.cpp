/// Tests the maintenance of target VMs under load, with real processes.

#include "tests/end_to_end/FleetFixture.h"

using namespace mustardtray;
using namespace mustardtray::test;

namespace {

const std::vector<std::string> kTargets{ "a-t1", "a-t2", "a-t3", "a-t4",
                                         "b-t1", "b-t2", "b-t3", "b-t4" };

/// Load for the whole duration of a test. Every request must be answered.
LoadOptions SteadyLoad(FleetFixture& aFixture, std::size_t aSeconds)
{
  LoadOptions place = aFixture.Load("steady", "POST", "place");
  // The entry VM that is killed receives no requests, as if a load balancer had detected the
  // failure.
  place.m_urls = { aFixture.Fleet().EntryVm("a-e1").m_callerUrl,
                   aFixture.Fleet().EntryVm("b-e1").m_callerUrl,
                   aFixture.Fleet().EntryVm("b-e2").m_callerUrl };
  place.m_requestsPerSecond = 100;
  place.m_requestCount = 100 * aSeconds;
  // The run time is long enough that every minion has requests in flight nearly all the time.
  place.m_runTime = Millis(200);
  return place;
}

bool AreAllMaintained(FleetFixture& aFixture)
{
  return std::all_of(kTargets.begin(), kTargets.end(), [&](const std::string& aVm) {
    const Json row = aFixture.Fleet().ReadVmRow(aVm);
    return row.value("phase", "") == "active" && row.value("maintained_number", 0) > 0;
  });
}

} // namespace

TEST_CASE("A wave over two zones completes despite a killed entry VM and a platform outage of 10 s")
{
  FleetFixture fixture("wave");
  REQUIRE(fixture.Fleet().RunClient({ "maintain", "work=orders" }) == 0);
  bool isFaulted = false;
  bool isRestored = false;
  const auto results = RunLoads({ SteadyLoad(fixture, 50) }, [&](Micros aElapsed) {
    if (!isFaulted && aElapsed > Millis(2'500)) {
      fixture.Fleet().SendSignal("a-e2", SIGKILL);
      fixture.Fleet().SetPlatformFaults(Json{ { "down", "close" } });
      isFaulted = true;
    }
    if (!isRestored && aElapsed > Millis(12'500)) {
      fixture.Fleet().SetPlatformFaults(Json{ { "down", "none" } });
      fixture.Fleet().WaitForExit("a-e2", Millis(1'000));
      isRestored = fixture.Fleet().Restart("a-e2").has_value();
    }
  });
  CHECK(isRestored);
  // At least one drain must end during the load; otherwise leaving VMs would still get requests.
  CHECK(fixture.MinionStat("stops") > 0);
  CHECK(WaitUntil(Millis(60'000), [&] { return AreAllMaintained(fixture); }));
  CHECK(results[0].Count(LoadOutcome::Answered) == results[0].m_samples.size());
  CHECK(fixture.MinionStat("stops") >= kTargets.size());
  CHECK(fixture.MinionStat("stops_with_work") == 0);
  CHECK(fixture.MinionStat("late_arrivals") == 0);
  CHECK(fixture.MinionStat("slot_violations") == 0);
  CHECK(fixture.WorkItemStat("double_runs") == 0);
}

TEST_CASE("A drain does not complete while an entry VM of the zone is frozen")
{
  FleetFixture fixture("drain-frozen");
  fixture.Fleet().SendSignal("a-e2", SIGSTOP);
  REQUIRE(fixture.Fleet().RunClient({ "drain", "a-t1" }) == 0);
  SleepFor(Millis(5'000));
  CHECK(fixture.Fleet().ReadVmPhase("a-t1") == "draining");
  fixture.Fleet().SendSignal("a-e2", SIGCONT);
  CHECK(
    WaitUntil(Millis(15'000), [&] { return fixture.Fleet().ReadVmPhase("a-t1") == "drained"; }));
  CHECK(fixture.MinionStat("stops_with_work") == 0);
}
