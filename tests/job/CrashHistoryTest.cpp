#include "mustardtray/job/CrashHistory.h"

#include <doctest/doctest.h>

#include "PoolFixture.h"

namespace mustardtray::job {

namespace {

constexpr TimePoint kStart{ Micros(10'000'000) };
constexpr Millis kSettled{ 1'000 };

MinionEntry Minion(const std::string& aId, std::int64_t aStartedAtMs = 1'000)
{
  MinionEntry entry;
  entry.m_id = aId;
  entry.m_machine = "machine-" + aId;
  entry.m_startedAtMs = aStartedAtMs;
  return entry;
}

std::vector<CrashSuspect> Suspect(const std::string& aJob, std::uint32_t aRun, bool aIsAlone = true)
{
  return { { UnitId{ aJob, 0, 0, 0 }, aRun, aIsAlone } };
}

UnresolvedLosses LossesOf(const CrashHistory& aHistory, const std::string& aJob)
{
  const auto found = aHistory.Unresolved().find(aJob);
  return found == aHistory.Unresolved().end() ? UnresolvedLosses{} : found->second.begin()->second;
}

} // namespace

TEST_CASE("lost runs are a crash only when their minion is seen with a later start")
{
  CrashHistory history;
  history.OnRunsLost(Minion("m1"), Suspect("a", 1), kStart);
  history.OnRunsLost(Minion("m2"), Suspect("b", 1), kStart + Millis(1'000));
  history.OnRunsLost(Minion("m3"), Suspect("c", 1), kStart + Millis(2'000));
  CHECK(LossesOf(history, "a").m_all == 1);

  // m1 answers with the start that it had, m2 restarts under its id, and the machine of m3 gets a
  // minion with another id.
  const TimePoint seen = kStart + Millis(4'000);
  history.OnAnswer("m1", 1'000);
  history.OnIncarnation({ "machine-m2", "m2", 9'000 }, seen);
  history.OnIncarnation({ "machine-m3", "m4", 12'000 }, seen);
  CHECK(LossesOf(history, "a").m_all == 0);
  const auto crashes = history.TakeSettled(seen + kSettled);
  REQUIRE(crashes.size() == 2);
  CHECK(crashes[0].m_minion == "m2");
  CHECK(crashes[1].m_minion == "m3");
  CHECK(history.Unresolved().empty());
}

TEST_CASE("a stale registration does not turn a silent minion into a crashed one")
{
  CrashHistory history;
  history.OnRunsLost(Minion("m1", 5'000), Suspect("a", 1), kStart);
  history.OnIncarnation({ "machine-m1", "m0", 4'000 }, kStart);
  history.OnIncarnation({ "machine-m1", "m1", 5'000 }, kStart);
  CHECK(history.TakeSettled(kStart + kSettled).empty());
  CHECK(LossesOf(history, "a").m_all == 1);
}

TEST_CASE("another machine at a crashed minion's address does not resolve the loss")
{
  CrashHistory history;
  history.OnRunsLost(Minion("m1"), Suspect("a", 1), kStart);
  history.OnIncarnation({ "machine-other", "m9", 9'000 }, kStart);
  CHECK(history.TakeSettled(kStart + kSettled).empty());
}

TEST_CASE("a lost minion whose machine is moved on afterwards has crashed")
{
  // A crashed minion is idle for the planner until it is back, so its machine may get orders.
  CrashHistory history;
  history.OnRunsLost(Minion("m1"), Suspect("a", 1), kStart);
  history.OnIncarnation({ "machine-m1", "other-pool-1", 9'000 }, kStart);
  CHECK(history.TakeSettled(kStart + kSettled).size() == 1);
}

TEST_CASE("a loss is forgotten after a while")
{
  CrashHistory history;
  history.OnRunsLost(Minion("m1"), Suspect("a", 1), kStart);
  history.TakeSettled(kStart + Millis(31'000));
  CHECK(history.Unresolved().empty());
}

TEST_CASE("minions that restart together crashed for a common cause")
{
  CrashHistory history;
  history.OnRunsCrashed(Minion("m1"), Suspect("a", 1), 9'000, kStart);
  CHECK(history.TakeSettled(kStart + Millis(100)).empty());
  history.OnRunsCrashed(Minion("m2"), {}, 9'140, kStart + Millis(400));
  history.OnRunsCrashed(Minion("m5"), {}, 9'100, kStart + Millis(400));
  history.OnRunsCrashed(Minion("m3"), Suspect("c", 1), 14'000, kStart + Millis(400));
  const auto crashes = history.TakeSettled(kStart + Millis(400) + kSettled);
  REQUIRE(crashes.size() == 2);
  CHECK(crashes[0].m_isCoincident);
  CHECK_FALSE(crashes[1].m_isCoincident);
}

TEST_CASE("a unit is given up for crashes that hit it alone, others for more of them")
{
  const MinionCrash single;
  MinionCrash coincident;
  coincident.m_isCoincident = true;
  const CrashSuspect alone{ UnitId{}, 1, true };
  const CrashSuspect beside{ UnitId{}, 1, false };
  CrashCounts counts;
  AddCrash(counts, single, beside);
  CHECK_FALSE(NeedsIsolation(counts, {}));
  AddCrash(counts, single, beside);
  CHECK(NeedsIsolation(counts, {}));
  CHECK_FALSE(IsDeadly(counts));
  AddCrash(counts, single, alone);
  CHECK_FALSE(IsDeadly(counts));
  AddCrash(counts, single, alone);
  CHECK(IsDeadly(counts));

  CrashCounts together;
  AddCrash(together, coincident, alone);
  AddCrash(together, coincident, alone);
  CHECK(together == CrashCounts{ 2, 2, 0 });
  CHECK_FALSE(NeedsIsolation(together, {}));
  CHECK_FALSE(IsDeadly(together));

  // Without a crash that hit it alone, some of them have to be unexplained.
  CHECK(IsDeadly(CrashCounts{ 5, 2, 0 }));
  CHECK_FALSE(IsDeadly(CrashCounts{ 5, 3, 0 }));
}

TEST_CASE(
  "crashes are evidence against a long-running unit as far as other restarts do not explain them")
{
  constexpr std::size_t kMinions = 8;
  const std::vector<CrashSuspect> suspects = Suspect("a", 1);
  CrashSuspect suspect = suspects[0];
  const auto evidence = [&](const CrashHistory& aHistory, bool aIsCoincident = false) {
    MinionCrash crash;
    crash.m_isCoincident = aIsCoincident;
    return aHistory.EvidenceOf(crash, suspect, kMinions, kStart);
  };
  CrashHistory calm;
  calm.OnRunsCrashed(Minion("m0"), suspects, 9'000, kStart);
  const int alone = evidence(calm);
  CHECK(alone >= 10);
  CHECK(evidence(calm, true) == 0);
  SUBCASE("other minions restart as often")
  {
    CrashHistory busy;
    for (int i = 0; i < 40; ++i) {
      busy.OnRunsCrashed(Minion("m" + std::to_string(i % 8)), {}, 9'000 + 200 * i, kStart);
    }
    CHECK(evidence(busy) < alone / 2);
    // Those with the unit do not count.
    CrashHistory own;
    for (int i = 0; i < 40; ++i) {
      own.OnRunsCrashed(Minion("m" + std::to_string(i % 8)), suspects, 9'000 + 200 * i, kStart);
    }
    CHECK(evidence(own) == alone);
  }
  SUBCASE("other units had just started too")
  {
    suspect.m_likely = 4;
    CHECK(evidence(calm) <= alone / 4 + 1);
  }
  SUBCASE("it had run for some seconds")
  {
    suspect.m_ranFor = Millis(6'000);
    CHECK(evidence(calm) < 0);
  }
  SUBCASE("it is enough after four crashes, or a little less after five")
  {
    CHECK_FALSE(IsDeadlyLongRunning({ 3, 0, 3, 3 * alone }));
    CHECK(IsDeadlyLongRunning({ 4, 0, 4, 4 * alone }));
    CHECK_FALSE(IsDeadlyLongRunning({ 4, 0, 0, 35 }));
    CHECK(IsDeadlyLongRunning({ 5, 0, 0, 35 }));
    CHECK_FALSE(IsDeadlyLongRunning({ 40, 20, 6, 29 }));
  }
}

TEST_CASE("a start waits a limited time for the losses that could be the last crashes")
{
  CrashHistory history;
  history.OnRunsLost(Minion("m1"), Suspect("a", 1), kStart);
  CHECK_FALSE(MustWaitForLosses({}, LossesOf(history, "a"), kStart));
  CHECK(MustWaitForLosses({ 1, 0, 0 }, LossesOf(history, "a"), kStart));
  CHECK_FALSE(MustWaitForLosses({ 1, 0, 0 }, LossesOf(history, "a"), kStart + Millis(3'000)));
  CHECK(NeedsIsolation({ 1, 0, 0 }, LossesOf(history, "a")));
}

TEST_CASE("crashes that were stored without evidence are read")
{
  Job job;
  job.m_record = MakeJob("a", 1);
  REQUIRE(DecodeProgress(
    R"({"state":"running","next":1,"units":{"0":["."]},"crashed":{"0.0.0":[3,2,1]}})", job));
  CHECK(job.m_occurrences.at(0).m_steps[0].m_units[0].m_crashes == CrashCounts{ 3, 2, 1 });
}

TEST_CASE("progress without crashes reads as before")
{
  Job job;
  job.m_record = MakeJob("a", 2);
  REQUIRE(DecodeProgress(R"({"state":"running","next":1,"units":{"0":["1."]}})", job));
  CHECK(job.m_occurrences.at(0).m_steps[0].m_units[0].m_crashes == CrashCounts{});
  CHECK_FALSE(job.m_hasCrashes);
  CHECK(EncodeProgress(job).find("crashed") == std::string::npos);
  job.m_occurrences.at(0).m_steps[0].m_units[1].m_crashes = { 3, 2, 1, 17 };
  Job loaded;
  loaded.m_record = job.m_record;
  REQUIRE(DecodeProgress(EncodeProgress(job), loaded));
  CHECK(loaded.m_occurrences.at(0).m_steps[0].m_units[1].m_crashes == CrashCounts{ 3, 2, 1, 17 });
  CHECK(loaded.m_hasCrashes);
}

} // namespace mustardtray::job
