#include <doctest/doctest.h>

#include "CrashFixture.h"

namespace mustardtray::job {

TEST_CASE_FIXTURE(CrashFixture,
                  "a suspect runs on a minion of its own, even when all minions are busy")
{
  AddMinion("m1");
  AddMinion("m2");
  AddMinion("m3");
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  m_pool.AddJob(MakeJob("b", 40), m_now, false);
  Start();
  CrashAndSettle({ MinionOf("a.0.0.0") });
  // The second crash, beside other units.
  REQUIRE_FALSE(MinionOf("a.0.0.0").empty());
  Crash({ MinionOf("a.0.0.0") });
  Advance(kSettleTime);
  Start();
  SaveAll();
  Start();
  // A minion is emptied: its units end, and no other unit takes their place.
  for (int i = 0; i < 10 && MinionOf("a.0.0.0").empty(); ++i) {
    for (auto& [id, minion] : m_pool.Minions()) {
      if (minion.m_heldForJob != "a") {
        continue;
      }
      std::vector<ListedEnd> ends;
      for (const auto& [name, run] : minion.m_runs) {
        ends.push_back({ ++m_endNumber, name, run.m_run, RunOutcome::Done, {} });
      }
      Report(id, {}, ends, m_starts.contains(id) ? m_starts[id] : 1);
      break;
    }
    Start();
    Advance(Millis(100));
  }
  const std::string minion = MinionOf("a.0.0.0");
  REQUIRE_FALSE(minion.empty());
  Start();
  CHECK(m_pool.Minions().at(minion).m_runs.size() == 1);
  CHECK(m_pool.Minions().at(minion).m_runs.at("a.0.0.0").m_isIsolated);
}

TEST_CASE_FIXTURE(CrashFixture, "a suspect runs beside others when no minion can be emptied")
{
  AddMinion("m1");
  JobRecord lasting = MakeJob("b", 2);
  lasting.m_spec.m_steps[0].m_isLongRunning = true;
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  m_pool.AddJob(lasting, m_now, false);
  Start();
  CrashAndSettle({ "m1" });
  Crash({ "m1" });
  Advance(kSettleTime);
  Start();
  SaveAll();
  // Three suspects and one minion: the long-running ones run again soon, the other one later.
  for (int i = 0; i < 30; ++i) {
    Advance(Millis(100));
    Start();
  }
  CHECK(MinionOf("b.0.0.0") == "m1");
  CHECK(MinionOf("b.0.0.1") == "m1");
  for (int i = 0; i < 60; ++i) {
    Advance(Millis(100));
    Start();
  }
  CHECK(MinionOf("a.0.0.0") == "m1");
}

TEST_CASE_FIXTURE(CrashFixture,
                  "after the second crash a unit starts only when the store has the count")
{
  AddMinion("m1");
  AddMinion("m2");
  m_pool.AddJob(MakeJob("a", 1), m_now, false);
  m_pool.AddJob(MakeJob("b", 1), m_now, false);
  Start();
  CrashAndSettle({ MinionOf("a.0.0.0") });
  const std::string minion = MinionOf("a.0.0.0");
  REQUIRE_FALSE(minion.empty());
  m_pool.AddJob(MakeJob("c", 1), m_now, false);
  Start();
  REQUIRE(MinionOf("c.0.0.0") == minion);
  Crash({ minion });
  Advance(kSettleTime);
  for (int i = 0; i < 10; ++i) {
    Advance(Millis(100));
    Start();
    CHECK(MinionOf("a.0.0.0").empty());
  }
  SaveAll();
  Start();
  CHECK_FALSE(MinionOf("a.0.0.0").empty());
}

} // namespace mustardtray::job
