#include "mustardtray/request/Scheduler.h"

#include <map>

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kUrgent = 0;
constexpr std::size_t kMayWait = 1;
constexpr TimePoint kStart{ 1'000s };

ServiceConfig TwoQueues()
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

/// A scheduler with the minions "a" and "b" of four slots each, and what runs there.
struct Bench
{
  Bench() { m_scheduler.SetMinions(m_now, { { "a", 4, 32 }, { "b", 4, 32 } }); }

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
  AttemptVerdict Finish(RequestId aId, AttemptOutcome aOutcome, Micros aRun = 100ms)
  {
    return m_scheduler.OnFinished(m_now, aId, aOutcome, aRun);
  }
  /// One request from its arrival to the end of its attempt.
  AttemptVerdict RunOne(std::size_t aQueue, AttemptOutcome aOutcome, bool aIdempotent = true)
  {
    Offer(aQueue, aIdempotent);
    Start();
    return Finish(m_lastId, aOutcome);
  }

  TimePoint m_now = kStart;
  Scheduler m_scheduler{ TwoQueues() };
  RequestId m_lastId = 0;
  std::vector<Assignment> m_sent;
};

} // namespace

TEST_CASE("Scheduler never exceeds its shares and spreads over the minions")
{
  Bench bench;
  for (int i = 0; i < 20; ++i) {
    CHECK(!bench.Offer(kUrgent));
  }
  CHECK(bench.Start() == 8);
  CHECK(bench.m_scheduler.SlotsInUse(bench.m_now, "a") == 4);
  CHECK(bench.m_scheduler.SlotsInUse(bench.m_now, "b") == 4);
}

TEST_CASE("Scheduler counts connections as well as slots")
{
  Bench bench;
  bench.m_scheduler.SetMinions(bench.m_now, { { "a", 4, 1 } });
  bench.Offer(kUrgent);
  bench.Offer(kUrgent);
  CHECK(bench.Start() == 1);
}

TEST_CASE("Scheduler gives a shrunk or removed minion no new work and lets the old end")
{
  Bench bench;
  for (int i = 0; i < 8; ++i) {
    bench.Offer(kUrgent);
  }
  REQUIRE(bench.Start() == 8);
  bench.m_scheduler.SetMinions(bench.m_now, { { "b", 2, 32 } });
  bench.Offer(kUrgent);
  CHECK(bench.Start() == 0);
  for (const Assignment& sent : bench.m_sent) {
    if (sent.m_target.m_id == "a") {
      CHECK(bench.Finish(sent.m_request, AttemptOutcome::Succeeded).m_step == NextStep::PassOn);
    }
  }
  CHECK(bench.Start() == 0);
  CHECK(bench.m_scheduler.SlotsInUse(bench.m_now, "b") == 4);
}

TEST_CASE("Scheduler refuses at once what cannot meet its deadline, and the refusal did not run")
{
  Bench bench;
  const auto refusal = bench.Offer(kUrgent, true, 10ms);
  REQUIRE(refusal);
  CHECK(refusal->m_reason == RefusalReason::DeadlineTooClose);
  CHECK(!refusal->m_mayHaveRun);
  CHECK(refusal->m_retryAfter > 0ms);
  CHECK(bench.Start() == 0);
}

TEST_CASE("Scheduler counts the queue ahead, by measured run times")
{
  Bench bench;
  for (int i = 0; i < 60; ++i) {
    bench.Offer(kUrgent);
    bench.Start();
    bench.m_now += 1s;
    bench.Finish(bench.m_lastId, AttemptOutcome::Succeeded, 1s);
  }
  int admitted = 0;
  while (!bench.Offer(kUrgent, true, 5s)) {
    ++admitted;
    bench.Start();
  }
  // Eight slots do 40 requests of 1 s in 5 s; the last must still have room for its own run.
  CHECK(admitted >= 8);
  CHECK(admitted <= 40);
}

TEST_CASE("Scheduler bounds each queue")
{
  ServiceConfig service = TwoQueues();
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

TEST_CASE("Scheduler expires queued requests and never starts them")
{
  Bench bench;
  for (int i = 0; i < 9; ++i) {
    bench.Offer(kUrgent, true, 1s);
  }
  REQUIRE(bench.Start() == 8);
  const auto wake = bench.m_scheduler.NextWake(bench.m_now);
  REQUIRE(wake);
  CHECK(*wake <= bench.m_now + 1s);
  bench.m_now += 2s;
  bench.Finish(1, AttemptOutcome::Succeeded);
  CHECK(bench.Start() == 0);
  const auto expired = bench.m_scheduler.Expire(bench.m_now);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].m_request == 9);
  CHECK(expired[0].m_refusal.m_reason == RefusalReason::DeadlinePassed);
  CHECK(!expired[0].m_refusal.m_mayHaveRun);
}

TEST_CASE("Scheduler retries work that is not idempotent only with proof that it did not run")
{
  Bench bench;
  CHECK(bench.RunOne(kUrgent, AttemptOutcome::NotSent, false).m_step == NextStep::Retry);
  CHECK(bench.RunOne(kUrgent, AttemptOutcome::RefusedNotRun, false).m_step == NextStep::Retry);
  CHECK(bench.RunOne(kUrgent, AttemptOutcome::Broken, false).m_step == NextStep::Unknown);
  CHECK(bench.RunOne(kUrgent, AttemptOutcome::TimedOut, false).m_step == NextStep::Unknown);
  CHECK(bench.RunOne(kUrgent, AttemptOutcome::MinionFailed, false).m_step == NextStep::PassOn);
}

TEST_CASE("Scheduler retries at another minion, even if that one is busier")
{
  Bench bench;
  for (int i = 0; i < 7; ++i) {
    bench.Offer(kUrgent);
  }
  bench.Start();
  const std::string first = bench.m_sent[0].m_target.m_id;
  for (const Assignment& sent : bench.m_sent) {
    if (sent.m_request != 1 && sent.m_target.m_id == first) {
      bench.Finish(sent.m_request, AttemptOutcome::Succeeded);
    }
  }
  REQUIRE(bench.Finish(1, AttemptOutcome::Broken).m_step == NextStep::Retry);
  REQUIRE(bench.Start() == 1);
  CHECK(bench.m_sent.back().m_target.m_id != first);
  CHECK(bench.m_sent.back().m_attempt == 2);
}

TEST_CASE("Scheduler never says not run of a request whose earlier attempt may have run")
{
  Bench bench;
  REQUIRE(bench.RunOne(kUrgent, AttemptOutcome::Broken).m_step == NextStep::Retry);
  SUBCASE("expired in the queue")
  {
    bench.m_now += 20s;
    const auto expired = bench.m_scheduler.Expire(bench.m_now);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].m_refusal.m_mayHaveRun);
  }
  SUBCASE("not sent by the last attempt")
  {
    bench.Start();
    bench.m_now += 20s;
    CHECK(bench.Finish(bench.m_lastId, AttemptOutcome::NotSent).m_step == NextStep::Unknown);
  }
}

TEST_CASE("Scheduler keeps retries to a part of the successes")
{
  Bench bench;
  int retries = 0;
  for (int i = 0; i < 200; ++i) {
    bench.Offer(kUrgent);
    bench.Start();
    while (bench.Finish(bench.m_lastId, AttemptOutcome::MinionFailed).m_step == NextStep::Retry) {
      ++retries;
      bench.m_now += 1s;
      bench.Start();
    }
    bench.m_now += 20s;
    bench.m_scheduler.Expire(bench.m_now);
  }
  CHECK(retries <= 10);
}

TEST_CASE("Scheduler keeps the slot of a timed-out attempt until the minion has ended it")
{
  Bench bench;
  bench.m_scheduler.SetMinions(bench.m_now, { { "a", 1, 1 } });
  bench.RunOne(kUrgent, AttemptOutcome::TimedOut, false);
  bench.Offer(kUrgent);
  CHECK(bench.Start() == 0);
  SUBCASE("reported")
  {
    bench.m_scheduler.SlotFreed(bench.m_now, "a");
  }
  SUBCASE("by the longest run time")
  {
    bench.m_now += 29s;
    bench.Offer(kUrgent);
    CHECK(bench.Start() == 0);
    bench.m_now += 2s;
    bench.Offer(kUrgent);
  }
  CHECK(bench.Start() == 1);
}

TEST_CASE("Scheduler serves urgent work first and keeps the floor of work that may wait")
{
  Bench bench;
  std::map<std::size_t, int> started;
  std::map<RequestId, std::size_t> queueOf;
  const auto fill = [&](std::size_t aQueue) {
    for (int i = 0; i < 10; ++i) {
      bench.Offer(aQueue);
      queueOf[bench.m_lastId] = aQueue;
    }
  };
  for (int step = 0; step < 400; ++step) {
    fill(kMayWait);
    fill(kUrgent);
    const std::size_t before = bench.m_sent.size();
    bench.Start();
    bench.m_now += 100ms;
    for (std::size_t i = before; i < bench.m_sent.size(); ++i) {
      const RequestId id = bench.m_sent[i].m_request;
      ++started[queueOf[id]];
      bench.Finish(id, AttemptOutcome::Succeeded);
    }
    bench.m_scheduler.Expire(bench.m_now);
  }
  const double all = started[kUrgent] + started[kMayWait];
  CHECK(started[kMayWait] / all >= 0.25 * 0.95);
  CHECK(started[kMayWait] / all <= 0.25 * 1.1);
}

TEST_CASE("Scheduler holds slots back for urgent work only while it comes")
{
  Bench bench;
  for (int i = 0; i < 8; ++i) {
    bench.Offer(kMayWait);
  }
  CHECK(bench.Start() == 8);
  CHECK(bench.m_scheduler.Load(bench.m_now).m_reserve == 0);
  bench.Offer(kUrgent);
  bench.Offer(kUrgent);
  CHECK(bench.m_scheduler.Load(bench.m_now).m_reserve == 2);
  for (int i = 0; i < 8; ++i) {
    bench.Finish(bench.m_sent[static_cast<std::size_t>(i)].m_request, AttemptOutcome::Succeeded);
    bench.Offer(kMayWait);
  }
  CHECK(bench.Start() == 6); // Two urgent ones, and four that may wait leave two free.
  bench.m_now += 60s;
  CHECK(bench.m_scheduler.Load(bench.m_now).m_reserve == 0);
}

TEST_CASE("Scheduler forwards one hop to a zone peer, then to another zone, and never back")
{
  Bench bench;
  bench.m_scheduler.SetMinions(bench.m_now, {});
  const std::vector<PeerRoom> peers{ { "near", true, 1, 1, 1ms }, { "far", false, 9, 9, 3ms } };
  bench.m_scheduler.SetPeers(bench.m_now, peers);
  bench.Offer(kUrgent);
  bench.Offer(kUrgent);
  REQUIRE(bench.Start() == 2);
  CHECK(bench.m_sent[0].m_target.m_id == "near");
  CHECK(bench.m_sent[0].m_hops.m_withinZone);
  CHECK(!bench.m_sent[0].m_hops.m_acrossZones);
  CHECK(bench.m_sent[1].m_target.m_id == "far");
  CHECK(bench.m_sent[1].m_hops.m_acrossZones);

  bench.m_scheduler.SetPeers(bench.m_now, peers);
  const Hops zoneHop{ true, false };
  CHECK(!bench.m_scheduler.Offer(bench.m_now, { 100, kUrgent, bench.m_now + 5s, true, zoneHop }));
  REQUIRE(bench.Start() == 1);
  CHECK(bench.m_sent[2].m_target.m_id == "far");
  const Hops both{ true, true };
  const auto refusal =
    bench.m_scheduler.Offer(bench.m_now, { 101, kUrgent, bench.m_now + 5s, true, both });
  REQUIRE(refusal);
  CHECK(refusal->m_reason == RefusalReason::NoMinion);
}

TEST_CASE("Scheduler keeps a request that made both hops, also when it waits and peers have room")
{
  Bench bench;
  bench.m_scheduler.SetMinions(bench.m_now, { { "a", 1, 1 } });
  bench.Offer(kUrgent);
  bench.Start();
  const Hops both{ true, true };
  CHECK(!bench.m_scheduler.Offer(bench.m_now, { 101, kUrgent, bench.m_now + 5s, true, both }));
  bench.m_scheduler.SetPeers(bench.m_now,
                             { { "near", true, 5, 5, 1ms }, { "far", false, 9, 9, 3ms } });
  CHECK(bench.Start() == 0);
  bench.Finish(1, AttemptOutcome::Succeeded);
  CHECK(bench.Start() == 1);
}

TEST_CASE("Scheduler takes back a forwarded request that the peer refused, once")
{
  Bench bench;
  bench.m_scheduler.SetMinions(bench.m_now, {});
  bench.m_scheduler.SetPeers(bench.m_now, { { "near", true, 5, 5, 1ms } });
  bench.Offer(kUrgent, false);
  REQUIRE(bench.Start() == 1);
  CHECK(bench.Finish(1, AttemptOutcome::RefusedNotRun).m_step == NextStep::Retry);
  bench.m_scheduler.SetPeers(bench.m_now, { { "near", true, 5, 5, 1ms } });
  CHECK(bench.Start() == 0);
  bench.m_scheduler.SetMinions(bench.m_now, { { "a", 1, 1 } });
  REQUIRE(bench.Start() == 1);
  CHECK(bench.m_sent[1].m_target.m_id == "a");
}

TEST_CASE("Scheduler keeps queued requests of a queue that a new configuration drops")
{
  Bench bench;
  for (int i = 0; i < 9; ++i) {
    bench.Offer(kMayWait);
  }
  REQUIRE(bench.Start() == 8);
  ServiceConfig service = TwoQueues();
  service.m_queues.pop_back();
  bench.m_scheduler.Configure(bench.m_now, service);
  CHECK(bench.Offer(kMayWait)->m_reason == RefusalReason::UnknownQueue);
  CHECK(bench.Finish(1, AttemptOutcome::Succeeded).m_step == NextStep::PassOn);
  CHECK(bench.Start() == 1);
}
