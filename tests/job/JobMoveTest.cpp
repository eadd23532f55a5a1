#include "tests/job/PoolFixture.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

/// Jobs that wait in a shard while another one could run them.

namespace {

struct MoveFixture : PoolFixture
{
  MoveFixture() { m_pool.SetOtherShards(true); }

  /// Looks for movable jobs for some time.
  std::vector<WaitingJob> FindFor(Millis aTime)
  {
    std::vector<WaitingJob> found;
    for (Millis passed{ 0 }; passed < aTime && found.empty(); passed += Millis(200)) {
      Advance(Millis(200));
      Report("a", m_running, {});
      StartAll();
      found = m_pool.FindMovable(8, m_now);
    }
    return found;
  }

  void Submit(const JobRecord& aRecord) { m_pool.AddJob(aRecord, m_now, false); }

  std::vector<ListedRun> m_running; ///< On minion a.
};

} // namespace

TEST_CASE_FIXTURE(MoveFixture, "a job that no minion here can run may move, others only for room")
{
  AddMinion("a", 4'000);
  JobRecord record = MakeJob("j", 2);
  bool isUnfit = true;
  SUBCASE("its label is on no minion")
  {
    record.m_spec.m_steps[0].m_requiredLabel = "other";
  }
  SUBCASE("its units are larger than each minion")
  {
    record.m_spec.m_steps[0].m_need.m_cpu = 5'000;
  }
  SUBCASE("its gang does not fit on all minions together")
  {
    record.m_spec.m_steps[0].m_isGang = true;
    record.m_spec.m_steps[0].m_need.m_cpu = 3'000;
  }
  SUBCASE("the minion is full")
  {
    JobRecord other = MakeJob("k", 1, 4'000);
    other.m_spec.m_steps[0].m_isLongRunning = true;
    Submit(other);
    REQUIRE(StartAll().size() == 1);
    m_running = { { "k.0.0.0", 1, {} } };
    isUnfit = false;
  }
  SUBCASE("the minion is gone")
  {
    m_pool.RemoveMinion("a", m_now);
  }
  Submit(record);
  const std::vector<WaitingJob> found = FindFor(Millis(6'000));
  REQUIRE(found.size() == 1);
  CHECK(found[0].m_id == "j");
  CHECK(found[0].IsUnfit() == isUnfit);
  CHECK(found[0].m_room.m_startableUnits == 0);
}

TEST_CASE_FIXTURE(MoveFixture, "a job does not move while something of it may run or is not stored")
{
  AddMinion("a", 4'000);
  JobRecord record = MakeJob("j", 1);
  StepSpec second = record.m_spec.m_steps[0];
  second.m_requiredLabel = "other";
  record.m_spec.m_steps.push_back(second);
  Submit(record);
  const std::vector<StartOrder> starts = StartAll();
  REQUIRE(starts.size() == 1);
  m_running = { { "j.0.0.0", 1, {} } };
  CHECK(FindFor(Millis(6'000)).empty());
  CHECK_FALSE(m_pool.HoldForMove("j", m_now));
  m_running.clear();
  Report("a", {}, { End(starts[0], RunOutcome::Done) });
  CHECK(FindFor(Millis(3'000)).empty()); // The end is not stored.
  CHECK_FALSE(m_pool.HoldForMove("j", m_now));
  SaveAll();
  CHECK(FindFor(Millis(3'000)).size() == 1);
  REQUIRE(m_pool.HoldForMove("j", m_now));
}

TEST_CASE_FIXTURE(MoveFixture, "a moved job goes on with its progress and with higher run numbers")
{
  m_pool.SetEpoch(3);
  AddMinion("a", 4'000);
  JobRecord record = MakeJob("j", 2);
  record.m_epoch = 1;
  Submit(record);
  const std::vector<StartOrder> starts = StartAll();
  REQUIRE(starts.size() == 2);
  Report("a", {}, { End(starts[0], RunOutcome::Done), End(starts[1], RunOutcome::Failed) });
  SaveAll();
  const std::optional<JobRecord> held = m_pool.HoldForMove("j", m_now);
  REQUIRE(held);
  CHECK(StartAll().empty());
  CHECK(held->m_moves == 1);
  m_pool.RemoveHeldJob("j");
  CHECK_FALSE(m_pool.FindJob("j"));

  JobRecord arrived = DecodeJobRecord(EncodeJobRecord(*held)).value();
  PoolFixture other;
  other.m_pool.SetEpoch(0);
  arrived.m_epoch = 0;
  other.AddMinion("b");
  REQUIRE(other.m_pool.AddMovedJob(arrived, other.m_now, other.m_wallNow));
  const std::vector<StartOrder> restarts = other.StartAll();
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0].m_unit == starts[1].m_unit);
  CHECK(restarts[0].m_run > starts[1].m_run);
  CHECK(other.m_pool.FindJob("j")->m_occurrences.at(0).m_steps[0].m_units[1].m_failures == 1);
}

TEST_CASE_FIXTURE(MoveFixture,
                  "a new long-running job waits shortly for a shard that holds it whole")
{
  AddMinion("a", 4'000);
  JobRecord record = MakeJob("j", 2, 3'000);
  record.m_spec.m_steps[0].m_isLongRunning = true;
  Advance(Millis(4'000));
  Report("a", {}, {});
  Submit(record);
  CHECK(StartAll().empty());
  const std::vector<WaitingJob> found = m_pool.FindMovable(8, m_now);
  REQUIRE(found.size() == 1);
  CHECK(found[0].m_room.m_holdableUnits == 1);
  CHECK(found[0].m_room.m_startableUnits == 1);
  // No shard can: it starts what fits here.
  Advance(Millis(1'300));
  Report("a", {}, {});
  CHECK(StartAll().size() == 1);
}
