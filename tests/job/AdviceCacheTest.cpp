#include "mustardtray/job/AdviceCache.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

const TimePoint kStart{ Micros(100'000'000) };
const Advice kOnlyA{ { { "a", "ticket-a" } }, Millis(3'000) };

} // namespace

TEST_CASE("a ticket is valid for one step on one minion for a limited time")
{
  AdviceCache book;
  const AdviceRequest adviceRequest = book.BeginRequest("step", { "a", "b" }, 30, kStart);
  CHECK(adviceRequest.m_minions == std::vector<std::string>{ "a", "b" });
  book.OnResponse(adviceRequest, kOnlyA, kStart);
  REQUIRE(book.FindTicket("step", "a", kStart));
  CHECK(*book.FindTicket("step", "a", kStart) == "ticket-a");
  CHECK_FALSE(book.FindTicket("step", "b", kStart));
  CHECK_FALSE(book.FindTicket("other", "a", kStart));
  CHECK_FALSE(book.FindTicket("step", "a", kStart + Millis(3'000)));
}

TEST_CASE("a refusal is cached forever, a ticket until it expires")
{
  AdviceCache book;
  book.OnResponse(book.BeginRequest("step", { "a", "b" }, 30, kStart), kOnlyA, kStart);
  CHECK(book.BeginRequest("step", { "a", "b" }, 30, kStart).m_minions.empty());
  const TimePoint later = kStart + Millis(3'500);
  CHECK(book.BeginRequest("step", { "a", "b" }, 30, later).m_minions ==
        std::vector<std::string>{ "a" });
}

TEST_CASE("advice is requested again after a minion restarts or refuses its ticket")
{
  AdviceCache book;
  book.OnResponse(book.BeginRequest("step", { "a", "b" }, 30, kStart), kOnlyA, kStart);
  book.ForgetMinion("b");
  book.DropTicket("step", "a");
  CHECK(book.BeginRequest("step", { "a", "b" }, 30, kStart).m_minions.size() == 2);
}

TEST_CASE("pending requests are limited per step and per pool, and failed ones are delayed")
{
  AdviceCache book;
  const AdviceRequest first = book.BeginRequest("1", { "a" }, 30, kStart);
  CHECK(book.BeginRequest("1", { "a" }, 30, kStart).m_minions.empty());
  int asked = 1;
  for (int step = 2; step < 20; ++step) {
    asked += book.BeginRequest(std::to_string(step), { "a" }, 30, kStart).m_minions.empty() ? 0 : 1;
  }
  CHECK(asked == 3);
  book.OnRequestFailed(first, kStart);
  CHECK(book.BeginRequest("1", { "a" }, 30, kStart).m_minions.empty());
  CHECK(book.BeginRequest("1", { "a" }, 30, kStart + Millis(300)).m_minions.size() == 1);
}
