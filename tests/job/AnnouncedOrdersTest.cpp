#include "mustardtray/job/AnnouncedOrders.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

constexpr Millis kHandoverDelay{ 3'300 };
constexpr Millis kMaxOrderTime{ 1'500 };
const TimePoint kStart{ Micros(100'000'000) };

} // namespace

TEST_CASE("a new holder holds back only announced machines")
{
  AnnouncedOrders orders(kHandoverDelay, kMaxOrderTime);
  orders.Inherit({ "recent" }, kStart);
  CHECK(orders.IsHeldBack("recent", kStart + kHandoverDelay - Millis(1)));
  CHECK_FALSE(orders.IsHeldBack("recent", kStart + kHandoverDelay));
  CHECK_FALSE(orders.IsHeldBack("other", kStart));
}

TEST_CASE("a machine counts as announced once a list with it is stored")
{
  AnnouncedOrders orders(kHandoverDelay, kMaxOrderTime);
  const std::set<std::string> first = orders.Announce("a", kStart);
  const std::set<std::string> second = orders.Announce("b", kStart);
  CHECK_FALSE(orders.IsAnnounced("a"));
  orders.OnSaved(first);
  CHECK(orders.IsAnnounced("a"));
  CHECK_FALSE(orders.IsAnnounced("b"));
  orders.OnSaved(second);
  CHECK(orders.IsAnnounced("b"));
}

TEST_CASE("a machine leaves the list when a successor need not wait for it any more")
{
  AnnouncedOrders orders(kHandoverDelay, kMaxOrderTime);
  orders.OnSaved(orders.Announce("a", kStart));
  orders.OnOrder("a", kStart + Millis(1'000));
  // The order can be pending for its maximum time and take effect at the end of it.
  CHECK(orders.Announce("b", kStart + kHandoverDelay + kMaxOrderTime + Millis(900)).contains("a"));
  const TimePoint later = kStart + kHandoverDelay + kMaxOrderTime + Millis(1'100);
  CHECK_FALSE(orders.Announce("c", later).contains("a"));
  // The next order to the machine needs a new announcement.
  CHECK_FALSE(orders.IsAnnounced("a"));
}

TEST_CASE("a short-lived holder also announces the machines it held back")
{
  AnnouncedOrders orders(kHandoverDelay, kMaxOrderTime);
  orders.Inherit({ "old" }, kStart);
  CHECK(orders.Announce("new", kStart + Millis(500)) == std::set<std::string>{ "new", "old" });
}

TEST_CASE("a series of holders does not prolong the time for which a machine is held back")
{
  AnnouncedOrders first(kHandoverDelay, kMaxOrderTime);
  first.OnSaved(first.Announce("machine", kStart));
  std::set<std::string> stored{ "machine" };
  TimePoint now = kStart;
  for (int i = 0; i < 4; ++i) {
    now += Millis(1'500);
    AnnouncedOrders next(kHandoverDelay, kMaxOrderTime);
    next.Inherit(stored, now);
    CHECK(next.IsHeldBack("machine", now + Millis(100)) ==
          (now + Millis(100) < kStart + kHandoverDelay + kMaxOrderTime));
    stored = next.Announce("other", now + Millis(200));
  }
}
