#include "connection/LinkQueue.h"

#include <vector>

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr double kSpeed = 250'000.0;
constexpr std::size_t kCallBytes = 5'000;
constexpr TimePoint kStart{ Micros(1'000'000) };

} // namespace

TEST_CASE("calls wait only at a link whose speed is known and that is behind")
{
  LinkQueue unlimited(0);
  LinkQueue queue(kSpeed);
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(unlimited.MustWait(CallPriority::Low, kStart));
    unlimited.OnSent(kCallBytes, kStart);
  }
  int sent = 0;
  while (!queue.MustWait(CallPriority::Low, kStart)) {
    queue.OnSent(kCallBytes, kStart);
    ++sent;
  }
  CHECK(sent >= 3);
  CHECK(sent <= 6); // 100 ms of the link, and the call that exceeds it.
  CHECK_FALSE(queue.MustWait(CallPriority::Immediate, kStart));
}

TEST_CASE("waiting calls are sent by priority at the speed of the link")
{
  LinkQueue queue(kSpeed);
  while (!queue.MustWait(CallPriority::Low, kStart)) {
    queue.OnSent(kCallBytes, kStart);
  }
  for (LinkQueue::CallId call = 0; call < 100; ++call) {
    queue.Push(call, CallPriority::Low, kCallBytes);
  }
  queue.Push(200, CallPriority::Normal, kCallBytes);
  queue.Push(201, CallPriority::High, kCallBytes);
  queue.Push(202, CallPriority::Normal, kCallBytes);
  queue.Remove(202);
  CHECK_FALSE(queue.Pop(kStart));
  std::vector<LinkQueue::CallId> order;
  for (TimePoint now = kStart; now < kStart + Millis(1'000); now += Millis(10)) {
    while (const auto call = queue.Pop(now)) {
      queue.OnSent(kCallBytes, now);
      order.push_back(*call);
    }
  }
  REQUIRE(order.size() > 30);
  CHECK(order.size() <= 50);
  CHECK(order[0] == 201);
  CHECK(order[1] == 200);
  CHECK(order[2] == 0);
  CHECK(order[3] == 1);
}

TEST_CASE("the delay of a link counts what waits and ends when that is removed")
{
  LinkQueue queue(kSpeed);
  CHECK(queue.Delay(kStart) == Micros{ 0 });
  for (LinkQueue::CallId call = 0; call < 50; ++call) {
    queue.Push(call, CallPriority::Normal, kCallBytes);
  }
  CHECK(queue.Delay(kStart) > Millis(1'000));
  for (LinkQueue::CallId call = 0; call < 50; ++call) {
    queue.Remove(call);
  }
  CHECK(queue.Delay(kStart) == Micros{ 0 });
  CHECK(queue.IsEmpty());
}
