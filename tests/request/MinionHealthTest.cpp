#include "mustardtray/request/MinionHealth.h"

#include <doctest/doctest.h>

#include "mustardtray/request/Scheduler.h"

using namespace mustardtray;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1'000s };
constexpr HealthSample kSuccess{ AttemptOutcome::Succeeded, 100ms, 100ms, false };
constexpr HealthSample kFailure{ AttemptOutcome::MinionFailed, 1ms, 100ms, false };
constexpr HealthSample kSuccessfulProbe{ AttemptOutcome::Succeeded, 100ms, 100ms, true };
constexpr HealthSample kFailedProbe{ AttemptOutcome::MinionFailed, 1ms, 100ms, true };

void RecordSamples(MinionHealth& aHealth,
                   const std::string& aId,
                   const HealthSample& aSample,
                   int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aHealth.OnOutcome(kStart, aId, aSample);
  }
}

MinionHealth MakeThreeMinions()
{
  MinionHealth health;
  health.SetMinions({ "a", "b", "c" });
  for (const char* id : { "a", "b", "c" }) {
    RecordSamples(health, id, kSuccess, 10);
  }
  return health;
}

/// Time from aFrom until minion "a" may be probed, in steps of 10 ms up to 60 s.
Micros TimeUntilProbe(const MinionHealth& aHealth, TimePoint aFrom, ProbeRisk aRisk)
{
  Micros wait{ 0 };
  while (!aHealth.CanProbe(aFrom + wait, "a", aRisk) && wait < 60s) {
    wait += 10ms;
  }
  return wait;
}

} // namespace

TEST_CASE("MinionHealth marks only the failing minion unhealthy")
{
  MinionHealth health = MakeThreeMinions();
  RecordSamples(health, "a", kFailure, 3);
  CHECK(!health.IsHealthy("a"));
  CHECK(health.IsHealthy("b"));
}

TEST_CASE("MinionHealth marks a minion unhealthy that fails every second request")
{
  MinionHealth health = MakeThreeMinions();
  for (int i = 0; i < 20; ++i) {
    RecordSamples(health, "a", kFailure, 1);
    RecordSamples(health, "a", kSuccess, 1);
  }
  CHECK(!health.IsHealthy("a"));
}

TEST_CASE("MinionHealth keeps minions healthy if all fail equally often")
{
  MinionHealth health = MakeThreeMinions();
  for (int i = 0; i < 30; ++i) {
    for (const char* id : { "a", "b", "c" }) {
      RecordSamples(health, id, kFailure, 2);
      RecordSamples(health, id, kSuccess, 2);
    }
  }
  CHECK(health.HasHealthyMinion());
  CHECK(health.IsHealthy("b"));
}

TEST_CASE("MinionHealth keeps a slow minion unhealthy until a probe is fast")
{
  MinionHealth health = MakeThreeMinions();
  HealthSample slow{ AttemptOutcome::Succeeded, 2s, 100ms, false };
  RecordSamples(health, "a", slow, 10);
  REQUIRE(!health.IsHealthy("a"));
  slow.m_isProbe = true;
  health.OnProbeSent("a");
  RecordSamples(health, "a", slow, 1);
  CHECK(!health.IsHealthy("a"));
  health.OnProbeSent("a");
  RecordSamples(health, "a", kSuccessfulProbe, 1);
  CHECK(health.IsHealthy("a"));
}

TEST_CASE("MinionHealth sends single probes at increasing intervals and ignores older attempts")
{
  MinionHealth health = MakeThreeMinions();
  RecordSamples(health, "a", kFailure, 3);
  RecordSamples(health, "a", kSuccess, 5);
  CHECK(!health.IsHealthy("a"));
  CHECK(!health.CanProbe(kStart, "a", ProbeRisk::Low));
  Micros previous{ 0 };
  TimePoint now = kStart;
  for (int i = 0; i < 5; ++i) {
    const Micros wait = TimeUntilProbe(health, now, ProbeRisk::Low);
    CHECK(wait > previous);
    CHECK(wait <= 16s);
    previous = wait;
    now += wait;
    health.OnProbeSent("a");
    CHECK(!health.CanProbe(now + 60s, "a", ProbeRisk::High));
    health.OnOutcome(now, "a", kFailedProbe);
  }
}

TEST_CASE(
  "MinionHealth keeps increasing the interval if a minion fails soon after a successful probe")
{
  MinionHealth health = MakeThreeMinions();
  RecordSamples(health, "a", kFailure, 3);
  const Micros first = TimeUntilProbe(health, kStart, ProbeRisk::Low);
  health.OnProbeSent("a");
  RecordSamples(health, "a", kSuccessfulProbe, 1);
  REQUIRE(health.IsHealthy("a"));
  RecordSamples(health, "a", kFailure, 3);
  CHECK(TimeUntilProbe(health, kStart, ProbeRisk::Low) > first);
}

TEST_CASE("MinionHealth prefers low-risk requests as probes")
{
  MinionHealth health = MakeThreeMinions();
  RecordSamples(health, "a", kFailure, 3);
  const Micros low = TimeUntilProbe(health, kStart, ProbeRisk::Low);
  const Micros medium = TimeUntilProbe(health, kStart, ProbeRisk::Medium);
  CHECK(low < medium);
  CHECK(medium < TimeUntilProbe(health, kStart, ProbeRisk::High));
}

TEST_CASE("MinionHealth allows one request at a time per minion if all are unhealthy")
{
  MinionHealth health = MakeThreeMinions();
  for (const char* id : { "a", "b", "c" }) {
    RecordSamples(health, id, kFailure, 10);
  }
  CHECK(!health.HasHealthyMinion());
  const Micros wait = TimeUntilProbe(health, kStart, ProbeRisk::High);
  CHECK(wait > 0ms);
  CHECK(wait <= 500ms);
  health.OnProbeSent("a");
  CHECK(!health.CanProbe(kStart + 10s, "a", ProbeRisk::Low));
  health.OnOutcome(kStart + 10s, "a", kSuccessfulProbe);
  CHECK(health.IsHealthy("a"));
}

TEST_CASE("Scheduler sends few requests to a minion that fails all of them fast")
{
  ServiceConfig service;
  service.m_queues.resize(1);
  service.m_queues[0].m_name = "reviews";
  Scheduler scheduler(service);
  scheduler.SetMinions(kStart, { { "a", 8, 64 }, { "b", 8, 64 }, { "c", 8, 64 } });
  TimePoint now = kStart;
  RequestId lastId = 0;
  int sentToFailingMinion = 0;
  std::vector<Assignment> running;
  for (; now < kStart + 20s; now += 100ms) {
    for (const Assignment& sent : running) {
      scheduler.OnAttemptFinished(now, sent.m_request, AttemptOutcome::Succeeded, 100ms);
    }
    running.clear();
    for (int i = 0; i < 10; ++i) {
      scheduler.Offer(now, { ++lastId, 0, now + 10s, true, {} });
    }
    while (auto next = scheduler.Next(now)) {
      if (next->m_target.m_id == "a") {
        ++sentToFailingMinion;
        scheduler.OnAttemptFinished(now, next->m_request, AttemptOutcome::MinionFailed, 1ms);
      } else {
        running.push_back(*next);
      }
    }
    scheduler.Expire(now);
  }
  // Three failures, then probes after 0.5, 1, 2, 4 and 8 s: at most ten of 2,000 requests.
  CHECK(sentToFailingMinion >= 4);
  CHECK(sentToFailingMinion <= 10);
}
