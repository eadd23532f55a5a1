#include <random>

#include <doctest/doctest.h>

#include "LongRunningStepFixture.h"

/// Orders that end units of a long-running step while others of it are unavailable.

namespace mustardtray::job {

namespace {

constexpr Millis kRecoveryTime{ 10'000 };

} // namespace

// Guards against AVAIL: crashes of the minions themselves were taken for those of one of the units.
TEST_CASE("accidental crashes of minions stop no units of a long-running step")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    LongRunningStepFixture fixture;
    std::mt19937 random(seed);
    fixture.Run(Millis(2'000));
    for (int i = 0; i < 40; ++i) {
      fixture.Crash("m" + std::to_string(random() % LongRunningStepFixture::kMinions));
      fixture.Run(Millis(700 + random() % 1'500));
    }
    CHECK(fixture.m_stopsBeyondBudget.empty());
    fixture.Run(kRecoveryTime);
    CHECK(fixture.CountAtWork() == LongRunningStepFixture::kUnits);
    CHECK(fixture.m_pool.ReportedState("s") == JobState::Running);
  }
}

// Guards against AVAIL: the units of a job that was given up were stopped together.
TEST_CASE_FIXTURE(LongRunningStepFixture,
                  "a unit that crashes its minions is given up without those of its step")
{
  m_deadlyUnits.insert(UnitName(2));
  Run(Millis(60'000));
  CHECK(m_stopsBeyondBudget.empty());
  CHECK(m_starts[UnitName(2)] <= kMaxStarts);
  CHECK(CountAtWork() == kUnits - 1);
}

// Guards against AVAIL: the run of a start without an answer was stopped although it had begun.
TEST_CASE_FIXTURE(LongRunningStepFixture,
                  "a unit whose start got no answer is not stopped while others are unavailable")
{
  Run(Millis(2'000));
  REQUIRE(CountAtWork() == kUnits);
  m_lostStarts[UnitName(0)] = 1;
  m_lostStarts[UnitName(1)] = 1;
  int lostStops = 0;
  SUBCASE("its stop arrives") {}
  SUBCASE("its first stops are lost")
  {
    lostStops = 3;
  }
  m_lostStops[UnitName(0)] = lostStops;
  m_lostStops[UnitName(1)] = lostStops;
  Crash(MinionOf(UnitName(0)));
  Crash(MinionOf(UnitName(1)));
  Run(kRecoveryTime);
  CHECK(m_stopsBeyondBudget.empty());
  CHECK(CountAtWork() == kUnits);
}

} // namespace mustardtray::job
