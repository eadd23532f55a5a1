#include "tests/job/PoolFixture.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

/// Restarts of minions whose start times and clocks are misleading.

namespace {

struct ClockStepFixture : PoolFixture
{
  void Register(const std::string& aId, std::int64_t aStartedAtMs, std::uint64_t aRowVersion = 0)
  {
    MinionEntry entry = MakeMinion(aId);
    entry.m_startedAtMs = aStartedAtMs;
    entry.m_rowVersion = aRowVersion;
    m_pool.UpdateMinion(entry, m_now);
    m_pool.Minions().at(aId).m_isRecorded = true;
  }

  /// Adds a job of one unit and starts the unit on the only minion.
  StartOrder StartJob(const std::string& aJob)
  {
    m_pool.AddJob(MakeJob(aJob, 1), m_now, false);
    const std::vector<StartOrder> starts = StartAll();
    REQUIRE(starts.size() == 1);
    return starts[0];
  }
};

} // namespace

TEST_CASE_FIXTURE(
  ClockStepFixture,
  "a unit that is done on a minion restarted on a clock set back does not run again")
{
  Register("a", 50);
  Report("a", {}, {}, 50);
  const StartOrder first = StartJob("first");
  Advance(Millis(10));
  Report("a", {}, { { 1, first.m_unit, first.m_run, RunOutcome::Done, {} } }, 50);
  Advance(Millis(500));
  Report("a", {}, {}, 10);
  Register("a", 10);
  const StartOrder second = StartJob("second");
  Advance(Millis(10));
  Report("a", {}, { { 1, second.m_unit, second.m_run, RunOutcome::Done, {} } }, 10);
  CHECK(Decide().m_starts.empty());
  CHECK(m_pool.FindJob("second")->m_state == JobState::Completed);
}

TEST_CASE_FIXTURE(ClockStepFixture, "a registration alone does not end the runs of a minion")
{
  Register("a", 50);
  Report("a", {}, {}, 50);
  const StartOrder start = StartJob("j");
  AddMinion("b");
  Advance(Millis(10));
  SUBCASE("the entry is of another writer")
  {
    Register("a", 60);
    CHECK(Decide().m_starts.empty());
    Report("a", { { start.m_unit, start.m_run, {}, 10, 0 } }, {}, 50);
    CHECK(Decide().m_starts.empty());
  }
  SUBCASE("the entry is of a former incarnation, whose clock was ahead")
  {
    Report("a", {}, {}, 40);
    Register("a", 40);
    m_pool.RemoveMinion("b", m_now);
    const std::vector<StartOrder> starts = StartAll();
    REQUIRE(starts.size() == 1);
    AddMinion("b");
    Advance(Millis(10));
    Register("a", 50);
    CHECK(Decide().m_starts.empty());
    Report("a", { { start.m_unit, starts[0].m_run, {}, 10, 0 } }, {}, 40);
    CHECK(Decide().m_starts.empty());
    CHECK(m_pool.Minions().at("a").m_runs.size() == 1);
  }
  SUBCASE("the minion has restarted")
  {
    Register("a", 60);
    Report("a", {}, {}, 60);
    CHECK(Decide().m_starts.size() == 1);
  }
}

TEST_CASE_FIXTURE(ClockStepFixture,
                  "an older registration with a later start time does not replace a live minion")
{
  const auto replace = [&](std::uint64_t aRowVersion) {
    m_pool.OnMachineIncarnation({ "machine-a", "gone", 100, aRowVersion }, m_now);
  };
  SUBCASE("a new owner waits for the minion")
  {
    m_pool.AwaitMinion("a", m_now + Millis(4'400));
    Register("a", 50, 9);
    replace(5);
    CHECK(m_pool.IsRecovering(m_now));
    replace(10);
    CHECK_FALSE(m_pool.IsRecovering(m_now));
  }
  SUBCASE("the minion has a run")
  {
    Register("a", 50, 9);
    Report("a", {}, {}, 50);
    StartJob("j");
    AddMinion("b");
    replace(5);
    CHECK(Decide().m_starts.empty());
    replace(10);
    CHECK(Decide().m_starts.size() == 1);
  }
}

TEST_CASE_FIXTURE(
  ClockStepFixture,
  "a lease on the former clock of a restarted minion does not outlast the owner's view")
{
  Register("a", 1);
  Report("a", {}, {}, 1);
  m_pool.OnLeaseExtensionFailed("a", m_now); // It may be carried out by the next incarnation.
  Advance(Millis(500));
  Report("a", {}, {}, 2);
  Register("a", 2);
  StartJob("j");
  Advance(Millis(3'300));
  m_pool.OnLeaseExtensionFailed("a", m_now);
  AddMinion("b");
  CHECK(Decide().m_starts.empty());
  Advance(Millis(3'000));
  m_pool.OnLeaseExtensionFailed("a", m_now);
  Report("b", {}, {});
  CHECK(Decide().m_starts.size() == 1);
}
