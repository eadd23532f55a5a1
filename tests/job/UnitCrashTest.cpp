#include <doctest/doctest.h>

#include "CrashFixture.h"

namespace mustardtray::job {

TEST_CASE_FIXTURE(CrashFixture, "a unit that crashes each minion that starts it is given up")
{
  for (const char* minion : { "m1", "m2", "m3", "m4" }) {
    AddMinion(minion);
  }
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  m_pool.AddJob(MakeJob("b", 8), m_now, false);
  CrashUntilGivenUp("a.0.0.0");
  CHECK(StateOf("a") == JobState::Failed);
  CHECK(m_ordered["a.0.0.0"] >= 2);
  CHECK(m_ordered["a.0.0.0"] <= kMaxStarts);
  CHECK(StateOf("b") == JobState::Running);
}

TEST_CASE_FIXTURE(CrashFixture, "a unit that crashes minions that stay away is given up")
{
  for (int i = 0; i < 12; ++i) {
    AddMinion("m" + std::to_string(i));
  }
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  std::vector<std::string> crashed;
  for (int i = 0; i < 12 && !m_pool.FindJob("a")->HasEnded(); ++i) {
    Start();
    const std::string minion = MinionOf("a.0.0.0");
    if (!minion.empty()) {
      Lose(minion);
      crashed.push_back(minion);
      for (auto& [id, state] : m_pool.Minions()) {
        if (state.m_missedCalls == 0) {
          Report(id, {}, {}, 1);
        }
      }
    }
    Start();
    Advance(Millis(1'000));
    // Each minion is back after eight seconds, when the unit may run elsewhere already.
    if (crashed.size() > 1) {
      m_startMs += 10'000;
      Report(crashed[crashed.size() - 2], {}, {}, m_startMs);
    }
    Advance(Millis(1'000));
    Start();
    SaveAll();
  }
  CHECK(StateOf("a") == JobState::Failed);
  CHECK(m_ordered["a.0.0.0"] <= kMaxStarts);
}

TEST_CASE_FIXTURE(CrashFixture, "a unit is not given up because a deadly unit ran beside it")
{
  AddMinion("m1");
  AddMinion("m2");
  AddMinion("m3");
  JobRecord innocent = MakeJob("b", 6, 2'000);
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  m_pool.AddJob(innocent, m_now, false);
  CrashUntilGivenUp("a.0.0.0");
  CHECK(StateOf("a") == JobState::Failed);
  REQUIRE(StateOf("b") == JobState::Running);
  // All units of the other job still run, at once or after a wait for a minion of their own.
  for (int i = 0; i < 10; ++i) {
    Advance(Millis(1'000));
    for (const StartOrder& order : Start()) {
      CHECK(order.m_unit.starts_with("b."));
    }
  }
  for (int i = 0; i < 6; ++i) {
    CHECK_FALSE(MinionOf("b.0.0." + std::to_string(i)).empty());
  }
}

TEST_CASE_FIXTURE(CrashFixture, "a crash is less likely due to units that had run for a while")
{
  AddMinion("m1");
  m_pool.AddJob(MakeJob("b", 1), m_now, false);
  Start();
  Advance(Millis(2'000));
  Report("m1", { { "b.0.0.0", 1, "", 10, 0 } }, {});
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  Start();
  Crash({ "m1" });
  Advance(kSettleTime);
  const PoolOrders orders = Decide();
  REQUIRE(orders.m_crashes.size() == 1);
  REQUIRE(orders.m_crashes[0].m_counts.size() == 2);
  CHECK(orders.m_crashes[0].m_counts[0] == CrashCounts{ 1, 0, 1 });
  CHECK(orders.m_crashes[0].m_counts[1] == CrashCounts{ 1, 1, 0 });
}

TEST_CASE_FIXTURE(CrashFixture,
                  "a crash does not count against other units once its cause is given up")
{
  AddMinion("m1");
  AddMinion("m2");
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  m_pool.AddJob(MakeJob("b", 1), m_now, false);
  Start();
  REQUIRE(MinionOf("a.0.0.0") == MinionOf("b.0.0.0"));
  CrashUntilGivenUp("a.0.0.0");
  REQUIRE(StateOf("a") == JobState::Failed);
  const CrashCounts& counts =
    m_pool.FindJob("b")->m_occurrences.at(0).m_steps[0].m_units[0].m_crashes;
  CHECK(counts.m_all > 0);
  CHECK(counts.m_explained == counts.m_all);
}

TEST_CASE_FIXTURE(CrashFixture,
                  "units on a rack that loses power twice are neither given up nor isolated")
{
  for (const char* minion : { "m1", "m2", "m3" }) {
    AddMinion(minion, 2'000);
  }
  for (int i = 0; i < 3; ++i) {
    m_pool.AddJob(MakeJob("j" + std::to_string(i), 1, 2'000), m_now, false);
  }
  REQUIRE(Start().size() == 3);
  for (int i = 0; i < 2; ++i) {
    CrashAndSettle({ "m1", "m2", "m3" });
  }
  for (int i = 0; i < 3; ++i) {
    const std::string unit = "j" + std::to_string(i) + ".0.0.0";
    CHECK(StateOf("j" + std::to_string(i)) == JobState::Running);
    REQUIRE_FALSE(MinionOf(unit).empty());
    CHECK_FALSE(m_pool.Minions().at(MinionOf(unit)).m_runs.at(unit).m_isIsolated);
  }
}

TEST_CASE_FIXTURE(CrashFixture,
                  "a silent minion that answers again with the same start has not crashed")
{
  for (const char* minion : { "m1", "m2", "m3", "m4", "m5", "m6" }) {
    AddMinion(minion);
  }
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  for (int i = 0; i < 6; ++i) {
    Start();
    const std::string minion = MinionOf("a.0.0.0");
    REQUIRE_FALSE(minion.empty());
    Lose(minion);
    Decide();
    Report(minion, {}, {}, 1);
    for (const auto& [id, state] : m_pool.Minions()) {
      Report(id, {}, {}, 1);
    }
  }
  CHECK(StateOf("a") == JobState::Running);
  CHECK(m_pool.FindJob("a")->m_occurrences.at(0).m_steps[0].m_units[0].m_crashes == CrashCounts{});
}

TEST_CASE_FIXTURE(CrashFixture, "a minion that leaves as announced counts no crash")
{
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "m" + std::to_string(i);
    AddMinion(id);
    Start();
    REQUIRE(MinionOf("a.0.0.0") == id);
    MinionEntry draining = MakeMinion(id);
    draining.m_isDraining = true;
    m_pool.UpdateMinion(draining, m_now);
    // The machine comes back as another minion.
    m_pool.OnMachineIncarnation({ "machine-" + id, "next-" + id, 20'000 + 10'000 * i }, m_now);
    Advance(kSettleTime);
    Decide();
  }
  CHECK(m_pool.FindJob("a")->m_occurrences.at(0).m_steps[0].m_units[0].m_crashes == CrashCounts{});
}

TEST_CASE_FIXTURE(CrashFixture, "a machine that is moved by order counts no crash")
{
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "m" + std::to_string(i);
    AddMinion(id);
    Start();
    REQUIRE(MinionOf("a.0.0.0") == id);
    m_pool.SetRestrictions({ { "machine-" + id }, {} }, m_now);
    m_pool.OnMachineIncarnation({ "machine-" + id, "next-" + id, 20'000 + 10'000 * i }, m_now);
    Advance(kSettleTime);
    Decide();
  }
  CHECK(m_pool.FindJob("a")->m_occurrences.at(0).m_steps[0].m_units[0].m_crashes == CrashCounts{});
}

TEST_CASE_FIXTURE(CrashFixture, "a crash counts when the machine comes back as another minion")
{
  AddMinion("m1");
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  Start();
  m_pool.OnMachineIncarnation({ "machine-m1", "m2", 20'000 }, m_now);
  Advance(kSettleTime);
  const PoolOrders orders = Decide();
  REQUIRE(orders.m_crashes.size() == 1);
  CHECK(orders.m_crashes[0].m_counts[0] == CrashCounts{ 1, 0, 1 });
}

TEST_CASE_FIXTURE(CrashFixture, "the crashes of a unit survive a takeover")
{
  for (const char* minion : { "m1", "m2", "m3" }) {
    AddMinion(minion);
  }
  JobRecord record = MakeJob("a", 1);
  m_pool.AddJob(record, m_now, false);
  Start();
  CrashAndSettle({ MinionOf("a.0.0.0") });
  const std::string progress = EncodeProgress(*m_pool.FindJob("a"));

  CrashFixture successor;
  successor.m_pool.SetEpoch(1);
  REQUIRE(successor.m_pool.LoadJob(record, progress, successor.m_now, successor.m_wallNow));
  for (const char* minion : { "m1", "m2", "m3" }) {
    successor.AddMinion(minion);
  }
  successor.CrashUntilGivenUp("a.0.0.0");
  CHECK(successor.StateOf("a") == JobState::Failed);
  CHECK(successor.m_ordered["a.0.0.0"] == 1);
}

TEST_CASE_FIXTURE(CrashFixture, "a run that a new owner adopts counts when its minion crashes")
{
  AddMinion("m1");
  REQUIRE(m_pool.LoadJob(MakeJob("a", 1), "", m_now, m_wallNow));
  Report("m1", { { "a.0.0.0", 7, "", 10, 0 } }, {});
  Crash({ "m1" });
  Advance(kSettleTime);
  const PoolOrders orders = Decide();
  REQUIRE(orders.m_crashes.size() == 1);
  CHECK(orders.m_crashes[0].m_counts[0] == CrashCounts{ 1, 0, 1 });
}

TEST_CASE_FIXTURE(CrashFixture, "a gang that crashes its minions is given up as a whole")
{
  for (int i = 0; i < 6; ++i) {
    AddMinion("m" + std::to_string(i), 2'000);
  }
  JobRecord record = MakeJob("a", 2, 2'000);
  record.m_spec.m_steps[0].m_isGang = true;
  m_pool.AddJob(record, m_now, false);
  for (int i = 0; i < 20 && !m_pool.FindJob("a")->HasEnded(); ++i) {
    Start();
    const std::string first = MinionOf("a.0.0.0");
    const std::string second = MinionOf("a.0.0.1");
    if (first.empty()) {
      Advance(Millis(500));
      continue;
    }
    // One member crashes its minion, the other member ends with it.
    const std::uint32_t run = m_pool.Minions().at(second).m_runs.at("a.0.0.1").m_run;
    Crash({ first });
    Report(second,
           {},
           { { ++m_endNumber, "a.0.0.1", run, RunOutcome::GangBroken, {} } },
           m_starts.contains(second) ? m_starts[second] : 1);
    Advance(kSettleTime);
    Start();
    SaveAll();
  }
  CHECK(StateOf("a") == JobState::Failed);
  CHECK(m_ordered["a.0.0.0"] <= kMaxStarts - 1);
}

TEST_CASE_FIXTURE(CrashFixture, "a long-running unit that has run for a while has no crashes")
{
  AddMinion("m1");
  AddMinion("m2");
  JobRecord record = MakeJob("a", 1);
  record.m_spec.m_steps[0].m_isLongRunning = true;
  m_pool.AddJob(record, m_now, false);
  for (int i = 0; i < 6; ++i) {
    Start();
    std::string minion = MinionOf("a.0.0.0");
    REQUIRE_FALSE(minion.empty());
    CrashAndSettle({ minion });
    minion = MinionOf("a.0.0.0");
    REQUIRE_FALSE(minion.empty());
    const std::uint32_t run = m_pool.Minions().at(minion).m_runs.at("a.0.0.0").m_run;
    Advance(Millis(20'000));
    const std::int64_t start = m_starts.contains(minion) ? m_starts[minion] : 1;
    Report(minion, { { "a.0.0.0", run, "", 100, 0 } }, {}, start);
  }
  CHECK(StateOf("a") == JobState::Running);
}

TEST_CASE_FIXTURE(CrashFixture,
                  "a unit that had run for some seconds is not given up for two crashes")
{
  AddMinion("m1");
  AddMinion("m2");
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  for (int i = 0; i < 3; ++i) {
    Start();
    const std::string minion = MinionOf("a.0.0.0");
    REQUIRE_FALSE(minion.empty());
    const std::uint32_t run = m_pool.Minions().at(minion).m_runs.at("a.0.0.0").m_run;
    Advance(Millis(5'000));
    const std::int64_t start = m_starts.contains(minion) ? m_starts[minion] : 1;
    Report(minion, { { "a.0.0.0", run, "", 10, 0 } }, {}, start);
    CrashAndSettle({ minion });
  }
  CHECK(StateOf("a") == JobState::Running);
}

TEST_CASE_FIXTURE(CrashFixture, "a long-running unit that crashes its minions is given up")
{
  AddMinion("m1");
  AddMinion("m2");
  JobRecord record = MakeJob("a", 1);
  record.m_spec.m_steps[0].m_isLongRunning = true;
  m_pool.AddJob(record, m_now, false);
  CrashUntilGivenUp("a.0.0.0");
  CHECK(StateOf("a") == JobState::Failed);
  CHECK(m_ordered["a.0.0.0"] <= kMaxStarts - 1);
}

TEST_CASE_FIXTURE(CrashFixture, "crashes count for one occurrence of a repeated job")
{
  AddMinion("m1");
  JobRecord record = MakeJob("a", 1);
  record.m_spec.m_repeatCount = 2;
  record.m_spec.m_startAt = m_wallNow;
  record.m_spec.m_interval = Millis(100);
  m_pool.AddJob(record, m_now, false);
  Start();
  Crash({ "m1" });
  Start();
  Advance(kSettleTime);
  Start();
  const auto& occurrences = m_pool.FindJob("a")->m_occurrences;
  REQUIRE(occurrences.size() == 2);
  CHECK(occurrences.at(0).m_steps[0].m_units[0].m_crashes.m_all == 1);
  CHECK(occurrences.at(1).m_steps[0].m_units[0].m_crashes.m_all == 0);
}

// Guards against LOST: the order reached its minion after the crash, or not at all.
TEST_CASE_FIXTURE(CrashFixture, "a unit is not given up for crashes before its start was answered")
{
  AddMinion("a");
  m_pool.AddJob(MakeJob("j", 1), m_now, false);
  int crashes = 0;
  for (int i = 0; i < 40 && crashes < 3; ++i) {
    Report("a", {}, {}, m_startMs);
    const PoolOrders orders = Decide();
    for (const StopOrder& stop : orders.m_stops) {
      m_pool.OnStopAnswer(stop, OrderResult::Started, m_now);
    }
    for (const StartOrder& start : orders.m_starts) {
      m_pool.OnStartAnswer(start, OrderResult::NoAnswer, m_now);
      Crash({ "a" });
      ++crashes;
    }
    Advance(Millis(500));
    SaveAll();
  }
  CHECK(crashes == 3);
  CHECK_FALSE(m_pool.FindJob("j")->HasEnded());
}

} // namespace mustardtray::job
