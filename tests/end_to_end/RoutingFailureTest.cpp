/// Tests failures on the path of a request, with real processes.

#include "tests/end_to_end/FleetFixture.h"

using namespace mustardtray;
using namespace mustardtray::test;

namespace {

/// Checks the invariants that hold at the end of every load, whatever faults were injected.
void CheckMinionInvariants(const FleetFixture& aFixture)
{
  CHECK(aFixture.MinionStat("slot_violations") == 0);
  CHECK(aFixture.MinionStat("minions_over_connections") == 0);
  CHECK(aFixture.WorkItemStat("double_runs") == 0);
}

/// Summarizes a load for the messages of failed checks.
std::string DescribeLoad(const LoadResult& aResult)
{
  std::string text = "answered " + std::to_string(aResult.Count(LoadOutcome::Answered));
  for (const auto& [reason, count] : aResult.CountByReason()) {
    text += "; " + reason + " " + std::to_string(count);
  }
  return text;
}

} // namespace

TEST_CASE("Every caller gets the complete response to its own request through any entry VM")
{
  FleetFixture fixture("own-answers");
  LoadOptions place = fixture.Load("place", "POST", "place");
  place.m_requestCount = 600;
  place.m_requestsPerSecond = 300;
  place.m_bodyBytes = 20'000;
  LoadOptions lookUp = fixture.Load("look-up", "GET", "look-up");
  lookUp.m_requestCount = 600;
  lookUp.m_requestsPerSecond = 300;
  const auto results = RunLoads({ place, lookUp });
  for (const LoadResult& result : results) {
    CHECK(result.Count(LoadOutcome::Answered) == 600);
    CHECK(result.CountMismatchedResponses() == 0);
  }
  CheckMinionInvariants(fixture);
}

TEST_CASE("A non-idempotent request runs at most once when a minion loses responses")
{
  FleetFixture fixture("lost-answers");
  for (const std::string fault :
       { "close-after-read", "short-answer", "die-mid-answer", "foreign-answer" }) {
    CAPTURE(fault);
    REQUIRE(fixture.Fleet().SetMinionFault("a-t1", Json{ { "fault", fault } }));
    LoadOptions place = fixture.Load("place-" + fault, "POST", "place");
    place.m_requestCount = 200;
    place.m_requestsPerSecond = 400;
    const LoadResult placed = RunLoad(place);
    CHECK(placed.CountMismatchedResponses() == 0);
    CHECK(placed.Count(LoadOutcome::Failed) == 0);
    REQUIRE(fixture.Fleet().SetMinionFault("a-t1", Json{ { "fault", "none" } }));
  }
  CheckMinionInvariants(fixture);
}

TEST_CASE("Requests refused as not run did not run, also in a flood")
{
  FleetFixture fixture("flood");
  const std::size_t workBefore = fixture.WorkItemStat("distinct_work");
  LoadOptions flood = fixture.Load("flood", "POST", "change");
  flood.m_requestCount = 6'000;
  flood.m_requestsPerSecond = 3'000;
  flood.m_runTime = Millis(100);
  LoadOptions urgent = fixture.Load("urgent", "POST", "place");
  urgent.m_requestCount = 200;
  urgent.m_requestsPerSecond = 100;
  const auto results = RunLoads({ flood, urgent });
  CHECK(results[0].Count(LoadOutcome::NotRun) > 0);
  CHECK(results[1].Count(LoadOutcome::Answered) == 200);
  std::size_t refused = 0;
  for (const LoadResult& result : results) {
    CHECK(result.Count(LoadOutcome::Unknown) == 0);
    refused += result.Count(LoadOutcome::NotRun);
  }
  const std::size_t sent = results[0].m_samples.size() + results[1].m_samples.size();
  CHECK(fixture.WorkItemStat("distinct_work") - workBefore == sent - refused);
  CheckMinionInvariants(fixture);
}

TEST_CASE("A key sent through three entry VMs runs once even if one of them is killed")
{
  FleetFixture fixture("keys");
  LoadOptions place = fixture.Load("keyed", "POST", "place");
  place.m_requestCount = 600;
  place.m_requestsPerSecond = 150;
  place.m_sendsIdempotencyKey = true;
  place.m_sendsPerKey = 3;
  place.m_resendInterval = Millis(30);
  place.m_runTime = Millis(20);
  bool isKilled = false;
  const auto results = RunLoads({ place }, [&](Micros aElapsed) {
    if (!isKilled && aElapsed > Millis(2'000)) {
      fixture.Fleet().SendSignal("a-e1", SIGKILL);
      isKilled = true;
    }
  });
  CAPTURE(DescribeLoad(results[0]));
  CHECK(isKilled);
  CHECK(results[0].Count(LoadOutcome::Answered) > 0);
  CHECK(results[0].CountMismatchedResponses() == 0);
  CheckMinionInvariants(fixture);
}

TEST_CASE("A frozen entry VM causes no double runs and does not block the others")
{
  FleetFixture fixture("frozen");
  LoadOptions place = fixture.Load("keyed", "POST", "place");
  place.m_requestCount = 600;
  place.m_requestsPerSecond = 150;
  place.m_sendsIdempotencyKey = true;
  place.m_sendsPerKey = 2;
  place.m_runTime = Millis(20);
  const auto results = RunLoads({ place }, [&, step = 0](Micros aElapsed) mutable {
    if (step == 0 && aElapsed > Millis(1'000)) {
      fixture.Fleet().SendSignal("b-e1", SIGSTOP);
      step = 1;
    }
    if (step == 1 && aElapsed > Millis(3'000)) {
      fixture.Fleet().SendSignal("b-e1", SIGCONT);
      step = 2;
    }
  });
  CAPTURE(DescribeLoad(results[0]));
  CHECK(results[0].Count(LoadOutcome::Answered) > results[0].m_samples.size() / 2);
  CHECK(results[0].CountMismatchedResponses() == 0);
  CheckMinionInvariants(fixture);
}

TEST_CASE("A stopped entry VM completes its requests in flight and serves again after a restart")
{
  FleetFixture fixture("restart");
  LoadOptions place = fixture.Load("place", "POST", "place");
  place.m_urls = { fixture.Fleet().EntryVm("a-e1").m_callerUrl };
  place.m_requestCount = 20;
  place.m_requestsPerSecond = 1'000;
  place.m_runTime = Millis(500);
  bool isStopped = false;
  const auto results = RunLoads({ place }, [&](Micros aElapsed) {
    if (!isStopped && aElapsed > Millis(200)) {
      fixture.Fleet().SendSignal("a-e1", SIGTERM);
      isStopped = true;
    }
  });
  CHECK(results[0].Count(LoadOutcome::Answered) == 20);
  CHECK(fixture.Fleet().WaitForExit("a-e1", Millis(15'000)));
  REQUIRE(fixture.Fleet().Restart("a-e1").has_value());
  REQUIRE(fixture.Fleet().WaitUntilServing(Millis(15'000)));
  LoadOptions lookUp = fixture.Load("look-up", "GET", "look-up");
  lookUp.m_urls = place.m_urls;
  const LoadResult lookedUp = RunLoad(lookUp);
  CAPTURE(DescribeLoad(lookedUp));
  CHECK(lookedUp.Count(LoadOutcome::Answered) == 100);
  CheckMinionInvariants(fixture);
}

TEST_CASE("Requests are answered during an outage of the platform")
{
  FleetFixture fixture("outage");
  REQUIRE(fixture.Fleet().SetPlatformFaults(Json{ { "down", "close" } }));
  LoadOptions place = fixture.Load("place", "POST", "place");
  place.m_requestCount = 800;
  place.m_requestsPerSecond = 200;
  place.m_sendsIdempotencyKey = true;
  const LoadResult placed = RunLoad(place);
  CAPTURE(DescribeLoad(placed));
  CHECK(placed.Count(LoadOutcome::Answered) == 800);
  CheckMinionInvariants(fixture);
}

TEST_CASE("A zone without access to the platform keeps serving and gets changes from its peers")
{
  FleetFixture fixture("cut");
  LocalFleet& fleet = fixture.Fleet();
  const Json cut{ { "cut_addresses",
                    { fleet.EntryVm("a-e1").m_address, fleet.EntryVm("a-e2").m_address } } };
  REQUIRE(fleet.SetPlatformFaults(cut));
  LoadOptions place = fixture.Load("place", "POST", "place");
  place.m_requestCount = 600;
  place.m_requestsPerSecond = 200;
  place.m_sendsIdempotencyKey = true;
  const LoadResult placed = RunLoad(place);
  CAPTURE(DescribeLoad(placed));
  CHECK(placed.Count(LoadOutcome::Answered) == 600);
  CHECK(fleet.RunClient({ "label", "a-t1", "checked=yes" }, "a-e1") == 1);
  CHECK(fleet.RunClient({ "label", "a-t1", "checked=yes", "--wait" }, "b-e1") == 0);
  REQUIRE(fleet.SetPlatformFaults(Json{ { "cut_addresses", Json::array() } }));
  CheckMinionInvariants(fixture);
}

TEST_CASE("A slow platform with lost responses and a killed entry VM cause no double runs")
{
  FleetFixture fixture("slow");
  REQUIRE(
    fixture.Fleet().SetPlatformFaults(Json{ { "slow_ms", 500 }, { "lose_probability", 0.3 } }));
  LoadOptions place = fixture.Load("place", "POST", "place");
  place.m_requestCount = 1'000;
  place.m_requestsPerSecond = 100;
  place.m_sendsIdempotencyKey = true;
  place.m_sendsPerKey = 2;
  bool isKilled = false;
  bool isRestarted = false;
  const auto results = RunLoads({ place }, [&](Micros aElapsed) {
    if (!isKilled && aElapsed > Millis(2'000)) {
      fixture.Fleet().SendSignal("b-e2", SIGKILL);
      isKilled = true;
    }
    if (!isRestarted && aElapsed > Millis(3'000) &&
        fixture.Fleet().WaitForExit("b-e2", Millis(1))) {
      isRestarted = fixture.Fleet().Restart("b-e2").has_value();
    }
  });
  CAPTURE(DescribeLoad(results[0]));
  CHECK(isRestarted);
  CHECK(results[0].Count(LoadOutcome::Answered) > results[0].m_samples.size() / 2);
  CHECK(results[0].CountMismatchedResponses() == 0);
  CheckMinionInvariants(fixture);
}

TEST_CASE("A minion that fails every request immediately receives few requests")
{
  FleetFixture fixture("failing");
  REQUIRE(fixture.Fleet().SetMinionFault("a-t1", Json{ { "fault", "fail" } }));
  LoadOptions lookUp = fixture.Load("look-up", "GET", "look-up");
  lookUp.m_requestCount = 1'000;
  lookUp.m_requestsPerSecond = 500;
  const LoadResult lookedUp = RunLoad(lookUp);
  CAPTURE(DescribeLoad(lookedUp));
  const auto failed =
    std::count_if(lookedUp.m_samples.begin(),
                  lookedUp.m_samples.end(),
                  [](const LoadSample& aSample) { return aSample.m_status >= 500; });
  // One of eight minions fails; an equal share would be 125 requests.
  CHECK(failed < 50);
  CheckMinionInvariants(fixture);
}
