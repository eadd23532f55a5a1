#include "mustardtray/request/Scheduler.h"

#include <map>

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kUrgent = 0;
constexpr std::size_t kMayWait = 1;
constexpr TimePoint kStart{ 1'000s };

ServiceConfig MakeServiceConfig()
{
  QueueConfig urgent;
  urgent.m_name = "bookings";
  urgent.m_urgency = Urgency::Urgent;
  urgent.m_floorShare = 0;
  QueueConfig mayWait;
  mayWait.m_name = "reviews";
  mayWait.m_floorShare = 0.25;
  ServiceConfig service;
  service.m_name = "desk";
  service.m_queues = { urgent, mayWait };
  return service;
}

/// A scheduler with the minions "a" and "b" of four slots each, and the assignments it has made.
struct SchedulerFixture
{
  SchedulerFixture() { m_scheduler.SetMinions(m_now, { { "a", 4, 32 }, { "b", 4, 32 } }); }

  std::optional<Refusal> Offer(std::size_t aQueue, bool aIdempotent = true, Millis aDeadline = 10s)
  {
    ++m_lastId;
    return m_scheduler.Offer(m_now, { m_lastId, aQueue, m_now + aDeadline, aIdempotent, {} });
  }
  int Start()
  {
    int started = 0;
    while (auto next = m_scheduler.Next(m_now)) {
      m_sent.push_back(*next);
      ++started;
    }
    return started;
  }
  AttemptDecision Finish(RequestId aId, AttemptOutcome aOutcome, Micros aRunTime = 100ms)
  {
    return m_scheduler.OnAttemptFinished(m_now, aId, aOutcome, aRunTime);
  }
  /// Submits a request, starts it and reports aOutcome for its first attempt.
  AttemptDecision RunRequest(std::size_t aQueue, AttemptOutcome aOutcome, bool aIdempotent = true)
  {
    Offer(aQueue, aIdempotent);
    Start();
    return Finish(m_lastId, aOutcome);
  }

  TimePoint m_now = kStart;
  Scheduler m_scheduler{ MakeServiceConfig() };
  RequestId m_lastId = 0;
  std::vector<Assignment> m_sent;
};

} // namespace

TEST_CASE("Scheduler stays within its shares and balances the minions")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 20; ++i) {
    CHECK(!fixture.Offer(kUrgent));
  }
  CHECK(fixture.Start() == 8);
  CHECK(fixture.m_scheduler.SlotsInUse(fixture.m_now, "a") == 4);
  CHECK(fixture.m_scheduler.SlotsInUse(fixture.m_now, "b") == 4);
}

TEST_CASE("Scheduler limits running requests by connections as well as by slots")
{
  SchedulerFixture fixture;
  fixture.m_scheduler.SetMinions(fixture.m_now, { { "a", 4, 1 } });
  fixture.Offer(kUrgent);
  fixture.Offer(kUrgent);
  CHECK(fixture.Start() == 1);
}

TEST_CASE("Scheduler starts nothing at a minion whose share was reduced or removed")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 8; ++i) {
    fixture.Offer(kUrgent);
  }
  REQUIRE(fixture.Start() == 8);
  fixture.m_scheduler.SetMinions(fixture.m_now, { { "b", 2, 32 } });
  fixture.Offer(kUrgent);
  CHECK(fixture.Start() == 0);
  for (const Assignment& sent : fixture.m_sent) {
    if (sent.m_target.m_id == "a") {
      CHECK(fixture.Finish(sent.m_request, AttemptOutcome::Succeeded).m_step == NextStep::PassOn);
    }
  }
  CHECK(fixture.Start() == 0);
  CHECK(fixture.m_scheduler.SlotsInUse(fixture.m_now, "b") == 4);
}

TEST_CASE("Scheduler refuses a request on arrival if it cannot meet its deadline")
{
  SchedulerFixture fixture;
  const auto refusal = fixture.Offer(kUrgent, true, 10ms);
  REQUIRE(refusal);
  CHECK(refusal->m_reason == RefusalReason::DeadlineTooClose);
  CHECK(!refusal->m_mayHaveRun);
  CHECK(refusal->m_retryAfter > 0ms);
  CHECK(fixture.Start() == 0);
}

TEST_CASE("Scheduler estimates the queued work from measured run times on admission")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 60; ++i) {
    fixture.Offer(kUrgent);
    fixture.Start();
    fixture.m_now += 1s;
    fixture.Finish(fixture.m_lastId, AttemptOutcome::Succeeded, 1s);
  }
  int admitted = 0;
  while (!fixture.Offer(kUrgent, true, 5s)) {
    ++admitted;
    fixture.Start();
  }
  // Eight slots run 40 requests of 1 s in 5 s, including the run of the last one.
  CHECK(admitted >= 8);
  CHECK(admitted <= 40);
}

TEST_CASE("Scheduler refuses requests if the queue is full")
{
  ServiceConfig service = MakeServiceConfig();
  service.m_queues[kMayWait].m_maxQueued = 3;
  Scheduler scheduler(service);
  scheduler.SetMinions(kStart, { { "a", 1, 1 } });
  for (RequestId id = 1; id <= 3; ++id) {
    CHECK(!scheduler.Offer(kStart, { id, kMayWait, kStart + 10s, true, {} }));
  }
  const auto refusal = scheduler.Offer(kStart, { 4, kMayWait, kStart + 10s, true, {} });
  REQUIRE(refusal);
  CHECK(refusal->m_reason == RefusalReason::QueueFull);
}

TEST_CASE("Scheduler starts no waiting request whose response could only arrive at its deadline")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 100; ++i) {
    fixture.RunRequest(kMayWait, AttemptOutcome::Succeeded);
  }
  for (int i = 0; i < 9; ++i) {
    fixture.Offer(kMayWait, true, 3s);
  }
  REQUIRE(fixture.Start() == 8);
  fixture.m_now += 2'890ms; // The run fits, but not the way back of its response.
  for (RequestId id = 101; id <= 108; ++id) {
    fixture.Finish(id, AttemptOutcome::Succeeded);
  }
  CHECK(fixture.Start() == 0);
  const auto expired = fixture.m_scheduler.Expire(fixture.m_now);
  REQUIRE(expired.size() == 1);
  CHECK_FALSE(expired[0].m_refusal.m_mayHaveRun);
}

TEST_CASE("Scheduler expires queued requests at their deadline without starting them")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 9; ++i) {
    fixture.Offer(kUrgent, true, 1s);
  }
  REQUIRE(fixture.Start() == 8);
  const auto wake = fixture.m_scheduler.NextWake(fixture.m_now);
  REQUIRE(wake);
  CHECK(*wake <= fixture.m_now + 1s);
  fixture.m_now += 2s;
  fixture.Finish(1, AttemptOutcome::Succeeded);
  CHECK(fixture.Start() == 0);
  const auto expired = fixture.m_scheduler.Expire(fixture.m_now);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].m_request == 9);
  CHECK(expired[0].m_refusal.m_reason == RefusalReason::DeadlinePassed);
  CHECK(!expired[0].m_refusal.m_mayHaveRun);
}

TEST_CASE("Scheduler retries a request that is not idempotent only if it did not run")
{
  SchedulerFixture fixture;
  CHECK(fixture.RunRequest(kUrgent, AttemptOutcome::NotSent, false).m_step == NextStep::Retry);
  CHECK(fixture.RunRequest(kUrgent, AttemptOutcome::RefusedNotRun, false).m_step ==
        NextStep::Retry);
  CHECK(fixture.RunRequest(kUrgent, AttemptOutcome::Broken, false).m_step == NextStep::Unknown);
  CHECK(fixture.RunRequest(kUrgent, AttemptOutcome::TimedOut, false).m_step == NextStep::Unknown);
  CHECK(fixture.RunRequest(kUrgent, AttemptOutcome::MinionFailed, false).m_step ==
        NextStep::PassOn);
}

TEST_CASE("Scheduler retries at another minion even if that one is busier")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 7; ++i) {
    fixture.Offer(kUrgent);
  }
  fixture.Start();
  const std::string first = fixture.m_sent[0].m_target.m_id;
  for (const Assignment& sent : fixture.m_sent) {
    if (sent.m_request != 1 && sent.m_target.m_id == first) {
      fixture.Finish(sent.m_request, AttemptOutcome::Succeeded);
    }
  }
  REQUIRE(fixture.Finish(1, AttemptOutcome::Broken).m_step == NextStep::Retry);
  REQUIRE(fixture.Start() == 1);
  CHECK(fixture.m_sent.back().m_target.m_id != first);
  CHECK(fixture.m_sent.back().m_attempt == 2);
}

TEST_CASE("Scheduler reports an unknown outcome if an earlier attempt may have run")
{
  SchedulerFixture fixture;
  REQUIRE(fixture.RunRequest(kUrgent, AttemptOutcome::Broken).m_step == NextStep::Retry);
  SUBCASE("request expires in the queue")
  {
    fixture.m_now += 20s;
    const auto expired = fixture.m_scheduler.Expire(fixture.m_now);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].m_refusal.m_mayHaveRun);
  }
  SUBCASE("last attempt is not sent")
  {
    fixture.Start();
    fixture.m_now += 20s;
    CHECK(fixture.Finish(fixture.m_lastId, AttemptOutcome::NotSent).m_step == NextStep::Unknown);
  }
}

TEST_CASE("Scheduler limits retries to the retry budget")
{
  SchedulerFixture fixture;
  int retries = 0;
  for (int i = 0; i < 200; ++i) {
    fixture.Offer(kUrgent);
    fixture.Start();
    while (fixture.Finish(fixture.m_lastId, AttemptOutcome::MinionFailed).m_step ==
           NextStep::Retry) {
      ++retries;
      fixture.m_now += 1s;
      fixture.Start();
    }
    fixture.m_now += 20s;
    fixture.m_scheduler.Expire(fixture.m_now);
  }
  CHECK(retries <= 10);
}

TEST_CASE("Scheduler keeps the slot of a timed-out attempt until the attempt has ended")
{
  SchedulerFixture fixture;
  fixture.m_scheduler.SetMinions(fixture.m_now, { { "a", 1, 1 } });
  fixture.RunRequest(kUrgent, AttemptOutcome::TimedOut, false);
  fixture.Offer(kUrgent);
  CHECK(fixture.Start() == 0);
  SUBCASE("minion reports the end")
  {
    fixture.m_scheduler.OnSlotFreed(fixture.m_now, "a");
  }
  SUBCASE("maximum run time has passed")
  {
    fixture.m_now += 29s;
    fixture.Offer(kUrgent);
    CHECK(fixture.Start() == 0);
    fixture.m_now += 2s;
    fixture.Offer(kUrgent);
  }
  CHECK(fixture.Start() == 1);
}

TEST_CASE("Scheduler serves urgent requests first and guarantees the floor of a may-wait queue")
{
  SchedulerFixture fixture;
  std::map<std::size_t, int> started;
  std::map<RequestId, std::size_t> queueOf;
  const auto fill = [&](std::size_t aQueue) {
    for (int i = 0; i < 10; ++i) {
      fixture.Offer(aQueue);
      queueOf[fixture.m_lastId] = aQueue;
    }
  };
  for (int step = 0; step < 400; ++step) {
    fill(kMayWait);
    fill(kUrgent);
    const std::size_t before = fixture.m_sent.size();
    fixture.Start();
    fixture.m_now += 100ms;
    for (std::size_t i = before; i < fixture.m_sent.size(); ++i) {
      const RequestId id = fixture.m_sent[i].m_request;
      ++started[queueOf[id]];
      fixture.Finish(id, AttemptOutcome::Succeeded);
    }
    fixture.m_scheduler.Expire(fixture.m_now);
  }
  const double all = started[kUrgent] + started[kMayWait];
  CHECK(started[kMayWait] / all >= 0.25 * 0.95);
  CHECK(started[kMayWait] / all <= 0.25 * 1.1);
}

TEST_CASE("Scheduler admits may-wait requests by their floor if urgent requests fill the slots")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 160; ++i) {
    fixture.Offer(kUrgent);
  }
  REQUIRE(fixture.Start() == 8);
  // The floor of two of eight slots runs 20 requests of 100 ms per second, regardless of urgent
  // work.
  CHECK(!fixture.Offer(kMayWait, true, 1s));
}

TEST_CASE(
  "Scheduler reports unused floor slots to other entry VMs if urgent requests fill the slots")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.Offer(kUrgent);
  }
  REQUIRE(fixture.Start() == 8);
  CHECK(fixture.m_scheduler.Load(fixture.m_now).m_freeMayWait == 2);
  fixture.Offer(kMayWait);
  CHECK(fixture.m_scheduler.Load(fixture.m_now).m_freeMayWait == 0);
}

TEST_CASE("Scheduler reserves slots for urgent requests only while they arrive")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 8; ++i) {
    fixture.Offer(kMayWait);
  }
  CHECK(fixture.Start() == 8);
  CHECK(fixture.m_scheduler.Load(fixture.m_now).m_reserve == 0);
  fixture.Offer(kUrgent);
  fixture.Offer(kUrgent);
  CHECK(fixture.m_scheduler.Load(fixture.m_now).m_reserve == 2);
  for (int i = 0; i < 8; ++i) {
    fixture.Finish(fixture.m_sent[static_cast<std::size_t>(i)].m_request,
                   AttemptOutcome::Succeeded);
    fixture.Offer(kMayWait);
  }
  CHECK(fixture.Start() == 6); // Two urgent and four may-wait requests; two slots stay reserved.
  fixture.m_now += 60s;
  CHECK(fixture.m_scheduler.Load(fixture.m_now).m_reserve == 0);
}

TEST_CASE("Scheduler forwards a request at most once within the zone and once across zones")
{
  SchedulerFixture fixture;
  fixture.m_scheduler.SetMinions(fixture.m_now, {});
  const std::vector<PeerCapacity> peers{ { "near", true, 1, 1, 1ms }, { "far", false, 9, 9, 3ms } };
  fixture.m_scheduler.SetPeers(fixture.m_now, peers);
  fixture.Offer(kUrgent);
  fixture.Offer(kUrgent);
  REQUIRE(fixture.Start() == 2);
  CHECK(fixture.m_sent[0].m_target.m_id == "near");
  CHECK(fixture.m_sent[0].m_hops.m_withinZone);
  CHECK(!fixture.m_sent[0].m_hops.m_acrossZones);
  CHECK(fixture.m_sent[1].m_target.m_id == "far");
  CHECK(fixture.m_sent[1].m_hops.m_acrossZones);

  fixture.m_scheduler.SetPeers(fixture.m_now, peers);
  const Hops zoneHop{ true, false };
  CHECK(
    !fixture.m_scheduler.Offer(fixture.m_now, { 100, kUrgent, fixture.m_now + 5s, true, zoneHop }));
  REQUIRE(fixture.Start() == 1);
  CHECK(fixture.m_sent[2].m_target.m_id == "far");
  const Hops bothHops{ true, true };
  const auto refusal =
    fixture.m_scheduler.Offer(fixture.m_now, { 101, kUrgent, fixture.m_now + 5s, true, bothHops });
  REQUIRE(refusal);
  CHECK(refusal->m_reason == RefusalReason::NoMinion);
}

TEST_CASE(
  "Scheduler does not forward a request that has made both hops even if peers have capacity")
{
  SchedulerFixture fixture;
  fixture.m_scheduler.SetMinions(fixture.m_now, { { "a", 1, 1 } });
  fixture.Offer(kUrgent);
  fixture.Start();
  const Hops bothHops{ true, true };
  CHECK(!fixture.m_scheduler.Offer(fixture.m_now,
                                   { 101, kUrgent, fixture.m_now + 5s, true, bothHops }));
  fixture.m_scheduler.SetPeers(fixture.m_now,
                               { { "near", true, 5, 5, 1ms }, { "far", false, 9, 9, 3ms } });
  CHECK(fixture.Start() == 0);
  fixture.Finish(1, AttemptOutcome::Succeeded);
  CHECK(fixture.Start() == 1);
}

TEST_CASE("Scheduler does not forward a request again after a peer has refused it")
{
  SchedulerFixture fixture;
  fixture.m_scheduler.SetMinions(fixture.m_now, {});
  fixture.m_scheduler.SetPeers(fixture.m_now, { { "near", true, 5, 5, 1ms } });
  fixture.Offer(kUrgent, false);
  REQUIRE(fixture.Start() == 1);
  CHECK(fixture.Finish(1, AttemptOutcome::RefusedNotRun).m_step == NextStep::Retry);
  fixture.m_scheduler.SetPeers(fixture.m_now, { { "near", true, 5, 5, 1ms } });
  CHECK(fixture.Start() == 0);
  fixture.m_scheduler.SetMinions(fixture.m_now, { { "a", 1, 1 } });
  REQUIRE(fixture.Start() == 1);
  CHECK(fixture.m_sent[1].m_target.m_id == "a");
}

TEST_CASE("Scheduler serves queued requests of a queue that is removed from the configuration")
{
  SchedulerFixture fixture;
  for (int i = 0; i < 9; ++i) {
    fixture.Offer(kMayWait);
  }
  REQUIRE(fixture.Start() == 8);
  ServiceConfig service = MakeServiceConfig();
  service.m_queues.pop_back();
  fixture.m_scheduler.Configure(fixture.m_now, service);
  CHECK(fixture.Offer(kMayWait)->m_reason == RefusalReason::UnknownQueue);
  CHECK(fixture.Finish(1, AttemptOutcome::Succeeded).m_step == NextStep::PassOn);
  CHECK(fixture.Start() == 1);
}

TEST_CASE("Scheduler without minions waits for peer capacity, which a response releases")
{
  SchedulerFixture fixture;
  fixture.m_scheduler.SetMinions(fixture.m_now, {});
  fixture.m_scheduler.SetPeers(fixture.m_now, { { "near", true, 1, 1, 1ms } });
  CHECK_FALSE(fixture.Offer(kMayWait));
  CHECK_FALSE(fixture.Offer(kMayWait));
  CHECK(fixture.Start() == 1);
  const RequestId first = fixture.m_sent.back().m_request;
  CHECK(fixture.Finish(first, AttemptOutcome::Succeeded).m_step == NextStep::PassOn);
  CHECK(fixture.Start() == 1);
}
