#include "tests/job/PoolFixture.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

void SetCapacity(PoolFixture& aFixture, const std::string& aId, std::int64_t aCpu)
{
  aFixture.m_pool.UpdateMinion(MakeMinion(aId, aCpu), aFixture.m_now);
}

std::vector<ListedRun> ToListedRuns(const std::vector<StartOrder>& aStarts)
{
  std::vector<ListedRun> runs;
  for (const StartOrder& start : aStarts) {
    runs.push_back({ start.m_unit, start.m_run, {}, 100, 0 });
  }
  return runs;
}

/// Takes over with a minion on which an earlier owner may have runs.
void InheritMinion(PoolFixture& aFixture, const std::string& aId)
{
  aFixture.m_pool.SetEpoch(2);
  const TimePoint leaseEnd = aFixture.m_now + Millis(6'000);
  aFixture.m_pool.AwaitMinion(aId, leaseEnd);
  MinionState& minion = aFixture.m_pool.Minions()[aId];
  // The record of a used minion has no capacity.
  minion.m_entry.m_id = aId;
  minion.m_entry.m_startedAtMs = 1;
  minion.m_isRegistered = false;
  minion.m_isRecorded = true;
  minion.m_leaseEnd = leaseEnd;
}

} // namespace

TEST_CASE("a minion that shrank below its running units gets work again as they end")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 4'000);
  fixture.m_pool.AddJob(MakeJob("j", 4), fixture.m_now, false);
  const auto starts = fixture.StartAll();
  REQUIRE(starts.size() == 4);
  SetCapacity(fixture, "a", 2'000);
  fixture.m_pool.AddJob(MakeJob("k", 1), fixture.m_now, false);
  CHECK(fixture.Decide().m_starts.empty());
  std::vector<ListedRun> running = ToListedRuns(starts);
  fixture.Advance(Millis(100));
  for (std::size_t ended = 0; ended < 2; ++ended) {
    running.erase(running.begin());
    fixture.Report("a", running, { fixture.End(starts[ended], RunOutcome::Done) });
    CHECK(fixture.Decide().m_starts.empty());
  }
  running.erase(running.begin());
  fixture.Report("a", running, { fixture.End(starts[2], RunOutcome::Done) });
  CHECK(fixture.Decide().m_starts.size() == 1);
}

TEST_CASE("a minion that has grown again gets as much work as fits")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 2'000);
  fixture.m_pool.AddJob(MakeJob("j", 4), fixture.m_now, false);
  CHECK(fixture.StartAll().size() == 2);
  SetCapacity(fixture, "a", 1'000);
  CHECK(fixture.StartAll().empty());
  SetCapacity(fixture, "a", 3'000);
  CHECK(fixture.StartAll().size() == 1);
  SetCapacity(fixture, "a", 0);
  CHECK(fixture.StartAll().empty());
  SetCapacity(fixture, "a", 16'000);
  CHECK(fixture.StartAll().size() == 1);
}

TEST_CASE("unconfirmed and stopping runs count against a shrunk capacity")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 4'000);
  fixture.m_pool.AddJob(MakeJob("j", 2), fixture.m_now, false);
  const PoolOrders orders = fixture.Decide();
  REQUIRE(orders.m_starts.size() == 2);
  fixture.m_pool.AddJob(MakeJob("k", 1), fixture.m_now, false);
  SetCapacity(fixture, "a", 2'000);
  CHECK(fixture.Decide().m_starts.empty());
  for (const StartOrder& start : orders.m_starts) {
    fixture.m_pool.OnStartAnswer(start, OrderResult::Started, fixture.m_now);
  }
  fixture.m_pool.CancelJob("j", fixture.m_now);
  const PoolOrders stops = fixture.Decide();
  REQUIRE(stops.m_stops.size() == 2);
  CHECK(stops.m_starts.empty());
  for (const StopOrder& stop : stops.m_stops) {
    fixture.m_pool.OnStopAnswer(stop, OrderResult::Started, fixture.m_now);
  }
  fixture.Advance(Millis(100));
  fixture.Report("a", ToListedRuns(orders.m_starts), {});
  CHECK(fixture.Decide().m_starts.empty());
  fixture.Report("a",
                 {},
                 { fixture.End(orders.m_starts[0], RunOutcome::Stopped),
                   fixture.End(orders.m_starts[1], RunOutcome::Stopped) });
  CHECK(fixture.Decide().m_starts.size() == 1);
}

TEST_CASE("a gang is placed within the capacity that is left of shrunk minions")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 4'000);
  fixture.AddMinion("b", 4'000);
  fixture.m_pool.AddJob(MakeJob("running", 4), fixture.m_now, false);
  const auto starts = fixture.StartAll();
  REQUIRE(starts.size() == 4);
  const std::string full = starts[0].m_minion;
  const std::string other = full == "a" ? "b" : "a";
  REQUIRE(std::all_of(starts.begin(), starts.end(), [&](const StartOrder& aStart) {
    return aStart.m_minion == full;
  }));
  SetCapacity(fixture, full, 2'000);
  SetCapacity(fixture, other, 3'000);
  JobRecord gang = MakeJob("gang", 4);
  gang.m_spec.m_steps[0].m_isGang = true;
  fixture.m_pool.AddJob(gang, fixture.m_now, false);
  CHECK(fixture.Decide().m_starts.empty());
  SetCapacity(fixture, other, 4'000);
  const auto members = fixture.Decide().m_starts;
  REQUIRE(members.size() == 4);
  CHECK(std::all_of(members.begin(), members.end(), [&](const StartOrder& aStart) {
    return aStart.m_minion == other;
  }));
}

TEST_CASE("a minion over its capacity gets no units that reserve no CPU either")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 4'000);
  fixture.m_pool.AddJob(MakeJob("j", 4), fixture.m_now, false);
  REQUIRE(fixture.StartAll().size() == 4);
  SetCapacity(fixture, "a", 2'000);
  JobRecord fill = MakeJob("fill", 1);
  fill.m_spec.m_steps[0].m_isBestEffort = true;
  fixture.m_pool.AddJob(fill, fixture.m_now, false);
  CHECK(fixture.Decide().m_starts.empty());
  fixture.AddMinion("b", 1'000);
  const auto starts = fixture.Decide().m_starts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_minion == "b");
}

TEST_CASE("the advisor is asked about shrunk minions only if the unit fits into their capacity")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 4'000);
  fixture.AddMinion("b", 4'000);
  fixture.m_pool.AddJob(MakeJob("j", 4), fixture.m_now, false);
  const auto starts = fixture.StartAll();
  REQUIRE(starts.size() == 4);
  const std::string full = starts[0].m_minion;
  const std::string other = full == "a" ? "b" : "a";
  const StepSpec step = MakeJob("k", 1, 2'000).m_spec.m_steps[0];
  SetCapacity(fixture, full, 2'000);
  const std::vector<std::string> candidates =
    AdviceCandidates(fixture.m_pool.Minions(), step, fixture.m_now);
  CHECK(candidates == std::vector<std::string>{ other, full });
  SetCapacity(fixture, full, 1'000);
  CHECK(AdviceCandidates(fixture.m_pool.Minions(), step, fixture.m_now) ==
        std::vector<std::string>{ other });
}

TEST_CASE("the load of a shrunk minion exceeds its capacity and its memory is not reported lacking")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 4'000);
  fixture.m_pool.AddJob(MakeJob("j", 4), fixture.m_now, false);
  REQUIRE(fixture.StartAll().size() == 4);
  SetCapacity(fixture, "a", 1'000);
  fixture.m_pool.AddJob(MakeJob("k", 1), fixture.m_now, false);
  static_cast<void>(fixture.Decide());
  const PoolLoad load = fixture.m_pool.MeasureLoad(fixture.m_now);
  CHECK(load.m_capacityCpu == 1'000);
  CHECK(load.m_usedCpu == 4'000);
  CHECK(load.m_waitingCpu == 1'000);
  CHECK_FALSE(load.m_lacksMemory);
}

TEST_CASE("a minion that an earlier owner used gets no work before its capacity is known")
{
  PoolFixture fixture;
  InheritMinion(fixture, "a");
  REQUIRE(
    fixture.m_pool.LoadJob(MakeJob("j", 2), "", fixture.m_now, fixture.m_wallNow).has_value());
  fixture.m_pool.AddJob(MakeJob("k", 2), fixture.m_now, false);
  CHECK(fixture.Decide().m_starts.empty());
  fixture.Report("a", { { "j.0.0.0", 1, {}, 10, 0 } }, {});
  CHECK(fixture.Decide().m_starts.empty());
  SetCapacity(fixture, "a", 2'000);
  CHECK(fixture.StartAll().size() == 1);
  CHECK(fixture.StartAll().empty());
}

TEST_CASE("a registration without a start time follows its latest capacity")
{
  PoolFixture fixture;
  MinionEntry entry = MakeMinion("a", 4'000);
  entry.m_startedAtMs = 0;
  fixture.m_pool.UpdateMinion(entry, fixture.m_now);
  fixture.m_pool.Minions().at("a").m_isRecorded = true;
  fixture.Report("a", {}, {}, 5);
  fixture.m_pool.AddJob(MakeJob("j", 4), fixture.m_now, false);
  entry.m_capacity.m_cpu = 1'000;
  fixture.m_pool.UpdateMinion(entry, fixture.m_now);
  CHECK(fixture.StartAll().size() == 1);
}

TEST_CASE("a minion over its capacity does not hide the free capacity of others from admission")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 16'000);
  JobRecord lasting = MakeJob("lasting", 1, 16'000);
  lasting.m_spec.m_steps[0].m_isLongRunning = true;
  fixture.m_pool.AddJob(lasting, fixture.m_now, false);
  REQUIRE(fixture.StartAll().size() == 1);
  fixture.AddMinion("b", 8'000);
  SetCapacity(fixture, "a", 2'000);
  CHECK(fixture.m_pool.EvaluateAdmission(MakeJob("j", 4), Millis(0), fixture.m_now).m_isAccepted);
}

TEST_CASE("a run of an ended job counts against the capacity after a takeover until it has stopped")
{
  PoolFixture fixture;
  InheritMinion(fixture, "a");
  REQUIRE(
    fixture.m_pool
      .LoadJob(MakeJob("j", 1, 3'000), R"({"state":"cancelled"})", fixture.m_now, fixture.m_wallNow)
      .has_value());
  SetCapacity(fixture, "a", 4'000);
  fixture.Report("a", { { "j.0.0.0", 1, {}, 10, 0 } }, {});
  fixture.m_pool.AddJob(MakeJob("k", 1, 2'000), fixture.m_now, false);
  const PoolOrders orders = fixture.Decide();
  CHECK(orders.m_stops.size() == 1);
  CHECK(orders.m_starts.empty());
  fixture.Report("a", {}, { { 1, "j.0.0.0", 1, RunOutcome::Stopped, {} } });
  CHECK(fixture.Decide().m_starts.size() == 1);
}

TEST_CASE("a minion with a run of an unknown job gets no work until the run has ended")
{
  PoolFixture fixture;
  InheritMinion(fixture, "a");
  SetCapacity(fixture, "a", 4'000);
  fixture.Report("a", { { "unknown.0.0.0", 1, {}, 10, 0 } }, {});
  fixture.m_pool.AddJob(MakeJob("k", 1), fixture.m_now, false);
  CHECK(fixture.Decide().m_starts.empty());
  fixture.Report("a", {}, { { 1, "unknown.0.0.0", 1, RunOutcome::Stopped, {} } });
  CHECK(fixture.Decide().m_starts.size() == 1);
}

TEST_CASE("a restarted minion gets no work before its own registration shows its capacity")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 16'000);
  // The answer to a lease extension shows the restart before the registration does.
  fixture.Report("a", {}, {}, 2);
  fixture.m_pool.AddJob(MakeJob("j", 8), fixture.m_now, false);
  CHECK(fixture.Decide().m_starts.empty());
  SUBCASE("a registration of the former incarnation is ignored")
  {
    SetCapacity(fixture, "a", 16'000);
    CHECK(fixture.Decide().m_starts.empty());
  }
  MinionEntry entry = MakeMinion("a", 2'000);
  entry.m_startedAtMs = 2;
  fixture.m_pool.UpdateMinion(entry, fixture.m_now);
  CHECK(fixture.StartAll().size() == 2);
}

TEST_CASE("a registration that is older than the record of the used minion gives no capacity")
{
  PoolFixture fixture;
  InheritMinion(fixture, "a");
  fixture.m_pool.Minions().at("a").m_entry.m_startedAtMs = 2;
  SetCapacity(fixture, "a", 16'000);
  fixture.Report("a", {}, {}, 2);
  fixture.m_pool.AddJob(MakeJob("j", 1), fixture.m_now, false);
  CHECK(fixture.Decide().m_starts.empty());
}

TEST_CASE("a minion whose clock was set back at its restart gets work")
{
  PoolFixture fixture;
  MinionEntry entry = MakeMinion("a", 4'000);
  entry.m_startedAtMs = 50;
  fixture.m_pool.UpdateMinion(entry, fixture.m_now);
  fixture.m_pool.Minions().at("a").m_isRecorded = true;
  fixture.Report("a", {}, {}, 50);
  fixture.Report("a", {}, {}, 10);
  entry.m_startedAtMs = 10;
  fixture.m_pool.UpdateMinion(entry, fixture.m_now);
  fixture.m_pool.AddJob(MakeJob("j", 1), fixture.m_now, false);
  CHECK(fixture.Decide().m_starts.size() == 1);
}

TEST_CASE("after an outage of the store, work waits until the registration has been read again")
{
  PoolFixture fixture;
  MinionEntry entry = MakeMinion("a", 4'000);
  entry.m_outdatedAt = fixture.m_now + Millis(3'000);
  fixture.m_pool.UpdateMinion(entry, fixture.m_now);
  fixture.m_pool.Minions().at("a").m_isRecorded = true;
  fixture.Report("a", {}, {});
  fixture.Advance(Millis(3'500));
  fixture.Report("a", {}, {});
  fixture.m_pool.AddJob(MakeJob("j", 4), fixture.m_now, false);
  CHECK(fixture.Decide().m_starts.empty());
  entry.m_outdatedAt = fixture.m_now + Millis(3'000);
  entry.m_capacity.m_cpu = 1'000;
  fixture.m_pool.UpdateMinion(entry, fixture.m_now);
  CHECK(fixture.StartAll().size() == 1);
}

TEST_CASE("a minion that could not be called for a while gets no work before it answers")
{
  PoolFixture fixture;
  fixture.AddMinion("a");
  fixture.m_pool.AddJob(MakeJob("j", 1), fixture.m_now, false);
  fixture.m_pool.OnContactInterrupted("a");
  CHECK(fixture.Decide().m_starts.empty());
  SUBCASE("the same incarnation answers")
  {
    fixture.Report("a", {}, {});
    CHECK(fixture.Decide().m_starts.size() == 1);
  }
  SUBCASE("an incarnation without a registration answers")
  {
    fixture.Report("a", {}, {}, 2);
    CHECK(fixture.Decide().m_starts.empty());
  }
}
