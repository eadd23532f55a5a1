#include "mustardtray/job/LocalityWait.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <random>

#include <doctest/doctest.h>

#include "PoolFixture.h"
#include "mustardtray/job/RackDemand.h"

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

struct Scenario
{
  const char* m_name;
  int m_units = 8;
  int m_perTick = 0;           ///< In tenths per 100 ms; 0: all units arrive at once.
  double m_estimateFactor = 1; ///< Estimated by true run time.
  TimePoint m_darkFrom{ Micros(100'000'000) }; ///< From then on the rack accepts no work.
};

struct ReplayedUnit
{
  TimePoint m_beganAt{}; ///< Arrival, later the start.
  Millis m_time{ 0 };
  LocalityWait m_wait{};
};

/// Replays units of 0.64 to 1.4 s that want a rack with 8 places, which are taken at the begin by
/// such units; the other racks are idle. aFixedWait: used instead of the decision, if set. Returns
/// the mean time from arrival to completion in ms.
double Replay(const Scenario& aScenario, std::optional<Millis> aFixedWait)
{
  std::mt19937 random(7);
  const auto makeUnit = [&](TimePoint aAt) {
    return ReplayedUnit{ aAt, Millis(640 + random() % 760) };
  };
  std::vector<ReplayedUnit> local;
  for (int i = 0; i < 8; ++i) {
    local.push_back(makeUnit(TimePoint{} - Millis(random() % 640)));
  }
  std::vector<ReplayedUnit> waiting;
  std::vector<TimePoint> elsewhere; ///< Starts in other racks.
  int arrived = 0;
  Millis sum{ 0 };
  for (int tick = 0; arrived < aScenario.m_units || !waiting.empty(); ++tick) {
    const TimePoint now = TimePoint{} + tick * Millis(100);
    const int due = aScenario.m_perTick == 0 ? aScenario.m_units : tick * aScenario.m_perTick / 10;
    for (; arrived < std::min(due, aScenario.m_units); ++arrived) {
      waiting.push_back(makeUnit(now));
    }
    std::erase_if(local, [&](const auto& aUnit) { return aUnit.m_beganAt + aUnit.m_time <= now; });
    const bool isDark = now >= aScenario.m_darkFrom;
    std::vector<ReplayedUnit> remaining;
    for (ReplayedUnit& unit : waiting) {
      std::vector<LocalMinion> rack(isDark ? 0 : 1);
      for (LocalMinion& minion : rack) {
        minion.m_free.m_cpu = 8 - static_cast<std::int64_t>(local.size());
        for (const ReplayedUnit& run : local) {
          const TimePoint end = run.m_beganAt + Scaled(run.m_time, aScenario.m_estimateFactor);
          minion.m_runs.push_back({ std::max(end, now + (now - end)), { 1, 0, 0 } });
        }
        std::ranges::sort(minion.m_runs, {}, &LocalMinion::Run::m_expectedEnd);
      }
      const Millis time = Scaled(unit.m_time, aScenario.m_estimateFactor);
      const auto waited = std::chrono::duration_cast<Millis>(now - unit.m_beganAt);
      LocalityInputs inputs{ &rack, { 1, 0, 0 }, remaining.size(), 3.0, time };
      inputs.m_slack = Scaled(time, 0.6) + Millis(600) - waited;
      if (waited.count() == 0) {
        unit.m_wait = BeginLocalityWait(inputs, now);
        const TimePoint since = now - RemoteDataDelay(inputs);
        std::erase_if(elsewhere, [&](TimePoint aStart) { return aStart < since; });
        unit.m_wait.m_hasEnded = IsRackOverloaded(inputs, elsewhere.size());
      }
      const bool waits =
        aFixedWait ? waited < *aFixedWait
                   : unit.m_wait.IsActive() &&
                       ReviewLocalityWait(unit.m_wait, inputs, now) == LocalityReason::GainExpected;
      const bool isLocal = !isDark && local.size() < 8;
      if (!isLocal && waits) {
        remaining.push_back(unit);
        continue;
      }
      sum += waited + unit.m_time * (isLocal ? 1 : 3);
      unit.m_beganAt = now;
      isLocal ? local.push_back(unit) : elsewhere.push_back(now);
    }
    waiting = std::move(remaining);
  }
  return static_cast<double>(sum.count()) / aScenario.m_units;
}

struct RackFixture : PoolFixture
{
  std::vector<StartOrder> m_local;

  /// One minion of 8 cores in rack-1, full for another 500 ms, and idle ones in another rack.
  RackFixture()
  {
    PoolPolicy policy;
    policy.m_remoteDataSlowdown = 3.0;
    m_pool = PoolScheduler(policy, m_now);
    AddMinion("near", 8'000);
    AddMinion("far", 64'000);
    m_pool.Minions().at("far").m_entry.m_labels = { "kind", "rack-2" };
    AddRackJob("first", 8);
    m_local = StartAll();
    Advance(Millis(500));
  }

  void AddRackJob(const std::string& aId, std::uint32_t aUnits, bool aIsLate = false)
  {
    JobRecord job = MakeJob(aId, aUnits);
    job.m_spec.m_steps[0].m_dataRack = "rack-1";
    m_pool.AddJob(std::move(job), m_now, aIsLate);
  }
};

} // namespace

TEST_CASE("a wait by expected gain is no slower than no wait and a fixed wait")
{
  const Scenario scenarios[] = {
    { "full rack, idle fleet" },
    { "hot rack, 64 units at once", 64 },
    { "6 units a second for 30 s", 180, 6 },
    { "12 units a second for 30 s", 360, 12 },
    { "rack dark after 300 ms", 8, 0, 1, TimePoint{ Millis(300) } },
    { "12 a second, estimates ten times too long", 360, 12, 10 },
    { "12 a second, estimates ten times too short", 360, 12, 0.1 },
  };
  for (const Scenario& scenario : scenarios) {
    const double none = Replay(scenario, Millis(0));
    const double fixed = Replay(scenario, Millis(500));
    const double gain = Replay(scenario, std::nullopt);
    MESSAGE(std::string(scenario.m_name),
            ": ",
            none,
            " ms without, ",
            fixed,
            " fixed, ",
            gain,
            " by gain");
    // Units whose wait is in vain, as in a dark rack, take a little longer than without one.
    CHECK(gain <= 1.1 * none);
    CHECK(gain <= 1.02 * fixed);
  }
}

TEST_CASE("a unit waits for a full rack, holds up no other unit, and starts in the rack")
{
  RackFixture fixture;
  REQUIRE(fixture.m_local.size() == 8);
  fixture.AddRackJob("second", 1);
  fixture.m_pool.AddJob(MakeJob("third", 1), fixture.m_now, false); // Its data is anywhere.
  CHECK(fixture.StartAll().size() == 1);
  fixture.Advance(Millis(500));
  std::vector<ListedEnd> ends;
  for (const StartOrder& order : fixture.m_local) {
    ends.push_back(fixture.End(order, RunOutcome::Done));
  }
  fixture.Report("near", {}, ends);
  const PoolOrders orders = fixture.Decide();
  REQUIRE((orders.m_starts.size() == 1 && orders.m_localityWait));
  CHECK(orders.m_starts[0].m_minion == "near");
  CHECK(orders.m_localityWait->m_reason == LocalityReason::Started);
  CHECK(orders.m_localityWait->m_expected == Millis(500));
  CHECK(orders.m_localityWait->m_actual == Millis(500));
}

TEST_CASE("a wait ends when the rack goes dark, when room is short, and at its fixed end")
{
  const auto endOfWait = [](Millis aDelay, const std::function<void(RackFixture&)>& aChange) {
    RackFixture fixture;
    fixture.AddRackJob("second", 1);
    CHECK(fixture.StartAll().empty());
    aChange(fixture);
    fixture.Advance(aDelay);
    const PoolOrders orders = fixture.Decide();
    REQUIRE((orders.m_starts.size() == 1 && orders.m_localityWait));
    CHECK(orders.m_starts[0].m_minion == "far");
    CHECK(orders.m_localityWait->m_limit == Millis(850));
    return orders.m_localityWait->m_reason;
  };
  const auto goDark = [](RackFixture& aPool) { ++aPool.m_pool.Minions().at("near").m_missedCalls; };
  const auto addWideUnit = [](RackFixture& aPool) {
    aPool.m_pool.AddJob(MakeJob("wide", 1, 100'000), aPool.m_now, false);
    aPool.StartAll();
  };
  CHECK(endOfWait(Millis(100), goDark) == LocalityReason::RackUnusable);
  CHECK(endOfWait(Millis(100), addWideUnit) == LocalityReason::CapacityShort);
  // The runs in the rack exceed their estimates.
  CHECK(endOfWait(Millis(800), [](RackFixture&) {}) == LocalityReason::RackHot);
  CHECK(endOfWait(Millis(850), [](RackFixture&) {}) == LocalityReason::WaitOver);
}

TEST_CASE("no more units wait than places become free, and no late job waits")
{
  RackFixture fixture;
  fixture.AddRackJob("late", 1, true);
  CHECK(fixture.StartAll().size() == 1);
  for (int i = 0; i < 40; ++i) {
    fixture.AddRackJob("job" + std::to_string(i), 1);
  }
  CHECK(fixture.StartAll().size() == 32);
}
