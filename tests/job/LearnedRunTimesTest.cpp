#include "mustardtray/job/RunTimeCorrection.h"

#include <cmath>
#include <functional>
#include <random>

#include <doctest/doctest.h>

#include "PoolFixture.h"

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

constexpr Millis kEstimate{ 1'000 };

/// Errors of the estimates against the true factors, as natural logarithms.
struct ReplayErrors
{
  double m_typical = 0;
  double m_work = 0;
};

/// Replays completions whose true typical factor is aTypical(i), with a spread of 20% and a tail,
/// and returns the mean error before each completion from aFirst to aLast.
ReplayErrors Replay(bool aLearns,
                    const std::function<double(int)>& aTypical,
                    double aTailShare,
                    int aFirst,
                    int aLast)
{
  constexpr double kTailFactor = 7.0;
  RunTimeCorrection correction(aLearns);
  const RunTimeKey key{ "queue", 0, "image", false };
  std::mt19937 random(7);
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  std::bernoulli_distribution isTail(aTailShare);
  ReplayErrors errors;
  for (int i = 0; i <= aLast; ++i) {
    const double typical = aTypical(i);
    if (i >= aFirst) {
      const double work = typical * (1.0 + aTailShare * (kTailFactor - 1.0));
      errors.m_typical += std::abs(std::log(correction.Factor(key) / typical));
      errors.m_work += std::abs(std::log(correction.WorkFactor(key) / work));
    }
    const double ratio = typical * spread(random) * (isTail(random) ? kTailFactor : 1.0);
    correction.Observe(key, kEstimate, Scaled(kEstimate, ratio));
  }
  const double count = aLast - aFirst + 1;
  return { errors.m_typical / count, errors.m_work / count };
}

std::function<double(int)> Constant(double aFactor)
{
  return [aFactor](int) { return aFactor; };
}

} // namespace

TEST_CASE("estimates that are off by 1.9 or by ten times are corrected after a cold start")
{
  for (const double factor : { 1.9, 1 / 1.9, 10.0, 0.1 }) {
    const ReplayErrors today = Replay(false, Constant(factor), 0, 0, 40);
    const ReplayErrors learned = Replay(true, Constant(factor), 0, 0, 40);
    MESSAGE("factor ", factor, ": error ", today.m_typical, ", learned ", learned.m_typical);
    CHECK(learned.m_typical < 0.4 * today.m_typical);
    CHECK(Replay(true, Constant(factor), 0, 16, 40).m_typical < 0.15);
  }
}

TEST_CASE("a tail of 3% at seven times is in the work but not in the critical path")
{
  const ReplayErrors today = Replay(false, Constant(1.0), 0.03, 100, 2'000);
  const ReplayErrors learned = Replay(true, Constant(1.0), 0.03, 100, 2'000);
  MESSAGE("typical ",
          today.m_typical,
          " to ",
          learned.m_typical,
          ", work ",
          today.m_work,
          " to ",
          learned.m_work);
  CHECK(learned.m_typical < 0.5 * today.m_typical);
  CHECK(learned.m_work < 0.7 * today.m_work);
}

TEST_CASE("a change of a queue's run times shows within 20 completions")
{
  const auto changing = [](int aIndex) { return aIndex < 200 ? 1.0 : 5.0; };
  const ReplayErrors today = Replay(false, changing, 0.03, 220, 260);
  const ReplayErrors learned = Replay(true, changing, 0.03, 220, 260);
  MESSAGE("error ", today.m_typical, ", learned ", learned.m_typical);
  CHECK(learned.m_typical < 0.15);
  CHECK(learned.m_typical < 0.5 * today.m_typical);
}

TEST_CASE("steps and images of a queue do not share a factor, new ones start with the queue's")
{
  RunTimeCorrection correction(true);
  const RunTimeKey slow{ "queue", 1, "slow", false };
  const RunTimeKey fast{ "queue", 1, "fast", false };
  for (int i = 0; i < 30; ++i) {
    correction.Observe(slow, kEstimate, Millis(4'000));
    correction.Observe(fast, kEstimate, Millis(2'000));
  }
  CHECK(correction.Factor(slow) == doctest::Approx(4).epsilon(0.1));
  CHECK(correction.Factor(fast) == doctest::Approx(2).epsilon(0.1));
  CHECK(correction.Factor(RunTimeKey{ "queue", 2, "new", false }) >= 1.9);
  CHECK(correction.Factor(RunTimeKey{ "other", 0, {}, false }) == 1.0);
}

TEST_CASE("names of images that callers make up do not use unbounded memory")
{
  RunTimeCorrection correction(true);
  for (int i = 0; i < 2'000; ++i) {
    correction.Observe(RunTimeKey{ "queue", 0, std::to_string(i), false }, kEstimate, kEstimate);
  }
  CHECK(correction.Learned().Size() <= 256);
}

TEST_CASE("units away from their data and on slow minions do not change what a queue learns")
{
  PoolPolicy policy;
  policy.m_learnsRunTimes = true;
  PoolFixture fixture;
  fixture.m_pool = PoolScheduler(policy, fixture.m_now);
  for (const char* minion : { "a", "b", "c", "d", "remote" }) {
    fixture.AddMinion(minion, 1'000);
    fixture.m_pool.Minions().at(minion).m_entry.m_labels = { "kind",
                                                             minion[0] == 'r' ? "r2" : "r1" };
  }
  // Minion d takes four times as long as its peers, the remote one three times.
  std::map<std::string, Millis> busyUntil;
  std::map<std::string, StartOrder> running;
  for (int tick = 0; tick < 1'000; ++tick) {
    fixture.Advance(Millis(100));
    if (fixture.m_pool.Jobs().size() < static_cast<std::size_t>(tick)) {
      JobRecord job = MakeJob("job" + std::to_string(tick), 1);
      job.m_spec.m_steps[0].m_dataRack = "r1";
      fixture.m_pool.AddJob(std::move(job), fixture.m_now, false);
    }
    for (const char* minion : { "a", "b", "c", "d", "remote" }) {
      const auto order = running.find(minion);
      if (order != running.end() && Millis(tick * 100) >= busyUntil[minion]) {
        fixture.Report(minion, {}, { fixture.End(order->second, RunOutcome::Done) });
        running.erase(order);
      }
    }
    for (const StartOrder& order : fixture.StartAll()) {
      const int time = order.m_minion == "d" ? 8'000 : order.m_minion == "remote" ? 6'000 : 2'000;
      busyUntil[order.m_minion] = Millis(tick * 100 + time);
      running[order.m_minion] = order;
    }
  }
  CHECK(fixture.m_pool.Minions().at("d").m_isSlow);
  for (const char* minion : { "a", "b", "c", "remote" }) {
    CHECK_FALSE(fixture.m_pool.Minions().at(minion).m_isSlow);
  }
  const RunTimeCorrection& runTimes = fixture.m_pool.RunTimes();
  CHECK(runTimes.Factor(RunTimeKey{ "queue", 0, {}, false }) == doctest::Approx(2).epsilon(0.1));
  CHECK(runTimes.Factor(RunTimeKey{ "queue", 0, {}, true }) == doctest::Approx(6).epsilon(0.15));
}

TEST_CASE("a slow minion gets work last, but one trial unit now and then")
{
  PoolFixture fixture;
  fixture.AddMinion("a", 8'000);
  fixture.AddMinion("b", 8'000);
  MinionState& slow = fixture.m_pool.Minions().at("a");
  slow.m_isSlow = true;
  slow.m_trialAt = fixture.m_now + kTrialPeriod;
  fixture.m_pool.AddJob(MakeJob("job1", 9), fixture.m_now, false);
  std::map<std::string, int> starts;
  for (const StartOrder& order : fixture.StartAll()) {
    ++starts[order.m_minion];
  }
  CHECK(starts == std::map<std::string, int>{ { "a", 1 }, { "b", 8 } });

  PoolFixture later;
  later.AddMinion("a", 8'000);
  later.AddMinion("b", 8'000);
  later.m_pool.Minions().at("a").m_isSlow = true; // The trial is due.
  later.m_pool.AddJob(MakeJob("job2", 2), later.m_now, false);
  const std::vector<StartOrder> orders = later.StartAll();
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].m_minion != orders[1].m_minion);
}
