#include "mustardtray/job/AnnouncedOrders.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

constexpr Millis kTurn{ 3'300 };
constexpr Millis kOrder{ 1'500 };
const TimePoint kStart{ Micros(100'000'000) };

} // namespace

TEST_CASE("a new holder waits for announced machines alone")
{
  AnnouncedOrders orders(kTurn, kOrder);
  orders.Inherit({ "recent" }, kStart);
  CHECK(orders.IsHeldBack("recent", kStart + kTurn - Millis(1)));
  CHECK_FALSE(orders.IsHeldBack("recent", kStart + kTurn));
  CHECK_FALSE(orders.IsHeldBack("other", kStart));
}

TEST_CASE("a machine counts as announced once the store has a list with it")
{
  AnnouncedOrders orders(kTurn, kOrder);
  const std::set<std::string> first = orders.Announce("a", kStart);
  const std::set<std::string> second = orders.Announce("b", kStart);
  CHECK_FALSE(orders.IsAnnounced("a"));
  orders.OnSaved(first);
  CHECK(orders.IsAnnounced("a"));
  CHECK_FALSE(orders.IsAnnounced("b"));
  orders.OnSaved(second);
  CHECK(orders.IsAnnounced("b"));
}

TEST_CASE("the list drops a machine when a successor need not wait for it any more")
{
  AnnouncedOrders orders(kTurn, kOrder);
  orders.OnSaved(orders.Announce("a", kStart));
  orders.OnOrder("a", kStart + Millis(1'000));
  // The order may be under way for a while, and may take place at the end of it.
  CHECK(orders.Announce("b", kStart + kTurn + kOrder + Millis(900)).contains("a"));
  const TimePoint later = kStart + kTurn + kOrder + Millis(1'100);
  CHECK_FALSE(orders.Announce("c", later).contains("a"));
  // Its next order needs a new announcement.
  CHECK_FALSE(orders.IsAnnounced("a"));
}

TEST_CASE("a holder of a moment passes on what it had to wait for")
{
  AnnouncedOrders orders(kTurn, kOrder);
  orders.Inherit({ "old" }, kStart);
  CHECK(orders.Announce("new", kStart + Millis(500)) == std::set<std::string>{ "new", "old" });
}
