#include "tests/job/PoolFixture.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

/// Reports of minions that a new owner gets before its first decision.

namespace {

struct TakeoverFixture : PoolFixture
{
  /// Reports the first run of the job's only unit.
  void ReportRunning(const std::string& aMinion) { Report(aMinion, { { "j.0.0.0", 1 } }, {}); }
};

} // namespace

/// Guards against TWICE: runs were taken for unwanted and started again while they ran.
TEST_CASE_FIXTURE(TakeoverFixture, "a new owner adopts runs that are reported before it decides")
{
  JobRecord record = MakeJob("j", 1);
  SUBCASE("the unit ends by itself") {}
  SUBCASE("the unit is long-running")
  {
    record.m_spec.m_steps[0].m_isLongRunning = true;
  }
  REQUIRE(m_pool.LoadJob(record, "", m_now, m_wallNow));
  AddMinion("a");
  AddMinion("b");
  ReportRunning("a");
  const PoolOrders orders = Decide();
  CHECK(orders.m_stops.empty());
  CHECK(orders.m_starts.empty());
}

/// Guards against TWICE: the clock of a former owner was ahead, so its occurrence had begun.
TEST_CASE_FIXTURE(TakeoverFixture, "an occurrence that begins starts no unit that still runs")
{
  JobRecord record = MakeJob("j", 1);
  record.m_spec.m_repeatCount = 1;
  record.m_spec.m_startAt = m_wallNow + Millis(500);
  REQUIRE(m_pool.LoadJob(record, "", m_now, m_wallNow));
  AddMinion("a");
  AddMinion("b");
  ReportRunning("a");
  Decide();
  Advance(Millis(500));
  ReportRunning("a");
  CHECK(Decide().m_starts.empty());
  Advance(Millis(10));
  Report("a", {}, { { 1, "j.0.0.0", 1, RunOutcome::Stopped, {} } });
  const std::vector<StartOrder> starts = Decide().m_starts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_run > 1);
}
