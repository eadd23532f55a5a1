#include "mustardtray/job/Placement.h"

#include <doctest/doctest.h>

#include "tests/job/PoolFixture.h"

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

constexpr int kAtWorkPercent = 100;

/// Two long-running jobs of one unit each on one minion. Long-running units never end as done.
struct LongRunningFixture : PoolFixture
{
  LongRunningFixture()
  {
    AddMinion("a");
    for (const char* id : { "j1", "j2" }) {
      JobRecord record = MakeJob(id, 1);
      record.m_spec.m_steps[0].m_isLongRunning = true;
      m_pool.AddJob(record, m_now, false);
    }
    for (const StartOrder& order : StartAll()) {
      m_running[order.m_unit] = order;
    }
    REQUIRE(m_running.size() == 2);
    ReportRunning({});
  }

  void ReportRunning(std::vector<ListedEnd> aEnded)
  {
    Advance(Millis(100));
    std::vector<ListedRun> running;
    for (const auto& [unit, order] : m_running) {
      running.push_back({ unit, order.m_run, {}, kAtWorkPercent });
    }
    Report("a", std::move(running), std::move(aEnded));
    SaveAll();
  }

  void Fail(const std::string& aUnit)
  {
    const StartOrder order = m_running.at(aUnit);
    m_running.erase(aUnit);
    ReportRunning({ End(order, RunOutcome::Failed) });
  }

  void StartWaiting()
  {
    for (const StartOrder& order : StartAll()) {
      m_running[order.m_unit] = order;
    }
  }

  /// Decides and reports for some time.
  void RunFor(Millis aTime)
  {
    for (Millis time{ 0 }; time < aTime; time += Millis(100)) {
      StartWaiting();
      ReportRunning({});
    }
  }

  std::map<std::string, StartOrder> m_running;
};

} // namespace

TEST_CASE("failures of two long-running units do not keep their minion from work for good")
{
  LongRunningFixture fixture;
  fixture.Fail("j1.0.0.0");
  fixture.StartWaiting();
  REQUIRE(fixture.m_running.size() == 2);
  fixture.ReportRunning({});
  fixture.Fail("j2.0.0.0");
  fixture.StartWaiting();
  CHECK(fixture.m_running.size() == 1); // The minion is suspicious until the probe is due.
  fixture.RunFor(Millis(3'000));
  CHECK(fixture.m_running.size() == 2);
}

TEST_CASE("a minion that was unhealthy beside a long-running unit gets work again")
{
  LongRunningFixture fixture;
  fixture.m_pool.AddJob(MakeJob("j3", 1), fixture.m_now, false);
  for (int i = 0; i < 2; ++i) {
    const PoolOrders orders = fixture.Decide();
    REQUIRE(orders.m_starts.size() == 1);
    fixture.m_pool.OnStartAnswer(orders.m_starts[0], OrderResult::Unhealthy, fixture.m_now);
    fixture.Advance(Millis(300));
    fixture.ReportRunning({});
  }
  CHECK(fixture.Decide().m_starts.empty());
  fixture.RunFor(Millis(3'000));
  CHECK(fixture.m_running.contains("j3.0.0.0"));
}

TEST_CASE("a suspicious minion gets one unit at a time as a probe")
{
  LongRunningFixture fixture;
  fixture.Fail("j1.0.0.0");
  fixture.Fail("j2.0.0.0");
  fixture.Advance(Millis(2'000));
  fixture.ReportRunning({});
  CHECK(fixture.Decide().m_starts.size() == 1);
  CHECK(fixture.Decide().m_starts.empty());
}
