#include "mustardtray/request/MinionHealth.h"

#include <doctest/doctest.h>

#include "mustardtray/request/Scheduler.h"

using namespace mustardtray;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1'000s };
constexpr HealthSample kGood{ AttemptOutcome::Succeeded, 100ms, 100ms, false };
constexpr HealthSample kBad{ AttemptOutcome::MinionFailed, 1ms, 100ms, false };
constexpr HealthSample kGoodProbe{ AttemptOutcome::Succeeded, 100ms, 100ms, true };
constexpr HealthSample kBadProbe{ AttemptOutcome::MinionFailed, 1ms, 100ms, true };

void Repeat(MinionHealth& aHealth, const std::string& aId, const HealthSample& aSample, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aHealth.OnOutcome(kStart, aId, aSample);
  }
}

MinionHealth ThreeMinions()
{
  MinionHealth health;
  health.SetMinions({ "a", "b", "c" });
  for (const char* id : { "a", "b", "c" }) {
    Repeat(health, id, kGood, 10);
  }
  return health;
}

/// The first moment at which a probe is due, searched in steps of 10 ms.
Micros ProbeWait(const MinionHealth& aHealth, TimePoint aFrom, ProbeRisk aRisk)
{
  Micros wait{ 0 };
  while (!aHealth.MayProbe(aFrom + wait, "a", aRisk) && wait < 60s) {
    wait += 10ms;
  }
  return wait;
}

} // namespace

TEST_CASE("MinionHealth takes a minion that fails everything out, and not its neighbours")
{
  MinionHealth health = ThreeMinions();
  Repeat(health, "a", kBad, 3);
  CHECK(!health.IsHealthy("a"));
  CHECK(health.IsHealthy("b"));
}

TEST_CASE("MinionHealth takes a minion out that fails every second request")
{
  MinionHealth health = ThreeMinions();
  for (int i = 0; i < 20; ++i) {
    Repeat(health, "a", kBad, 1);
    Repeat(health, "a", kGood, 1);
  }
  CHECK(!health.IsHealthy("a"));
}

TEST_CASE("MinionHealth blames no minion for failures that all share")
{
  MinionHealth health = ThreeMinions();
  for (int i = 0; i < 30; ++i) {
    for (const char* id : { "a", "b", "c" }) {
      Repeat(health, id, kBad, 2);
      Repeat(health, id, kGood, 2);
    }
  }
  CHECK(health.AnyHealthy());
  CHECK(health.IsHealthy("b"));
}

TEST_CASE("MinionHealth takes a slow minion out, and a slow answer does not bring it back")
{
  MinionHealth health = ThreeMinions();
  HealthSample slow{ AttemptOutcome::Succeeded, 2s, 100ms, false };
  Repeat(health, "a", slow, 10);
  REQUIRE(!health.IsHealthy("a"));
  slow.m_isProbe = true;
  health.OnProbeSent("a");
  Repeat(health, "a", slow, 1);
  CHECK(!health.IsHealthy("a"));
  health.OnProbeSent("a");
  Repeat(health, "a", kGoodProbe, 1);
  CHECK(health.IsHealthy("a"));
}

TEST_CASE("MinionHealth probes singly, at growing intervals, and ignores attempts under way before")
{
  MinionHealth health = ThreeMinions();
  Repeat(health, "a", kBad, 3);
  Repeat(health, "a", kGood, 5);
  CHECK(!health.IsHealthy("a"));
  CHECK(!health.MayProbe(kStart, "a", ProbeRisk::Low));
  Micros previous{ 0 };
  TimePoint now = kStart;
  for (int i = 0; i < 5; ++i) {
    const Micros wait = ProbeWait(health, now, ProbeRisk::Low);
    CHECK(wait > previous);
    CHECK(wait <= 16s);
    previous = wait;
    now += wait;
    health.OnProbeSent("a");
    CHECK(!health.MayProbe(now + 60s, "a", ProbeRisk::High));
    health.OnOutcome(now, "a", kBadProbe);
  }
}

TEST_CASE("MinionHealth returns to long intervals when a minion fails again after one good probe")
{
  MinionHealth health = ThreeMinions();
  Repeat(health, "a", kBad, 3);
  const Micros first = ProbeWait(health, kStart, ProbeRisk::Low);
  health.OnProbeSent("a");
  Repeat(health, "a", kGoodProbe, 1);
  REQUIRE(health.IsHealthy("a"));
  Repeat(health, "a", kBad, 3);
  CHECK(ProbeWait(health, kStart, ProbeRisk::Low) > first);
}

TEST_CASE("MinionHealth prefers requests as probes that can be retried")
{
  MinionHealth health = ThreeMinions();
  Repeat(health, "a", kBad, 3);
  const Micros low = ProbeWait(health, kStart, ProbeRisk::Low);
  const Micros medium = ProbeWait(health, kStart, ProbeRisk::Medium);
  CHECK(low < medium);
  CHECK(medium < ProbeWait(health, kStart, ProbeRisk::High));
}

TEST_CASE("MinionHealth keeps trying one request at a time when every minion fails")
{
  MinionHealth health = ThreeMinions();
  for (const char* id : { "a", "b", "c" }) {
    Repeat(health, id, kBad, 10);
  }
  CHECK(!health.AnyHealthy());
  const Micros wait = ProbeWait(health, kStart, ProbeRisk::High);
  CHECK(wait > 0ms);
  CHECK(wait <= 500ms);
  health.OnProbeSent("a");
  CHECK(!health.MayProbe(kStart + 10s, "a", ProbeRisk::Low));
  health.OnOutcome(kStart + 10s, "a", kGoodProbe);
  CHECK(health.IsHealthy("a"));
}

TEST_CASE("Scheduler sends little to a minion that fails everything fast")
{
  ServiceConfig service;
  service.m_queues.resize(1);
  service.m_queues[0].m_name = "reviews";
  Scheduler scheduler(service);
  scheduler.SetMinions(kStart, { { "a", 8, 64 }, { "b", 8, 64 }, { "c", 8, 64 } });
  TimePoint now = kStart;
  RequestId lastId = 0;
  int toFailing = 0;
  std::vector<Assignment> running;
  for (; now < kStart + 20s; now += 100ms) {
    for (const Assignment& sent : running) {
      scheduler.OnFinished(now, sent.m_request, AttemptOutcome::Succeeded, 100ms);
    }
    running.clear();
    for (int i = 0; i < 10; ++i) {
      scheduler.Offer(now, { ++lastId, 0, now + 10s, true, {} });
    }
    while (auto next = scheduler.Next(now)) {
      if (next->m_target.m_id == "a") {
        ++toFailing;
        scheduler.OnFinished(now, next->m_request, AttemptOutcome::MinionFailed, 1ms);
      } else {
        running.push_back(*next);
      }
    }
    scheduler.Expire(now);
  }
  // Three failures, then probes after 0.5, 1, 2, 4, 8 s: of 2,000 requests at most ten.
  CHECK(toFailing >= 4);
  CHECK(toFailing <= 10);
}
