#include "connection/ConnectionLedger.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

TimePoint At(int aMs)
{
  return TimePoint{} + Millis(aMs);
}

ConnectionLimits Limits()
{
  ConnectionLimits limits;
  limits.m_maxHeldBytes = 1'000;
  limits.m_maxConnections = 3;
  limits.m_progressTimeout = Millis(20'000);
  limits.m_headerTimeout = Millis(10'000);
  return limits;
}

} // namespace

TEST_CASE("ConnectionLedger closes the connection that has held most for longest without progress")
{
  ConnectionLedger ledger(Limits());
  const auto old = ledger.Open(At(0));
  const auto large = ledger.Open(At(0));
  const auto small = ledger.Open(At(0));
  ledger.Update(old, ConnectionPhase::Body, 400, At(0));
  ledger.Update(large, ConnectionPhase::Body, 500, At(900));
  CHECK(ledger.ChooseOverLimit(At(1'000)).empty());
  ledger.Update(small, ConnectionPhase::Body, 150, At(1'000));
  const auto choices = ledger.ChooseOverLimit(At(1'000));
  REQUIRE(choices.size() == 1);
  CHECK(choices[0].m_id == old);
  CHECK(choices[0].m_reason == CloseReason::Bytes);
  CHECK(ledger.HeldBytes() == 650);
  CHECK_MESSAGE(ledger.ChooseOverLimit(At(9'000)).empty(), "a choice counts no more");
}

TEST_CASE("ConnectionLedger never closes a connection whose request is being handled")
{
  ConnectionLedger ledger(Limits());
  for (int i = 0; i < 5; ++i) {
    ledger.Update(ledger.Open(At(0)), ConnectionPhase::Handling, 600, At(0));
  }
  CHECK(ledger.ChooseOverLimit(At(60'000)).empty());
  CHECK(ledger.ChooseExpired(At(60'000)).empty());
}

TEST_CASE("ConnectionLedger closes the connection that was silent for longest for a new one")
{
  ConnectionLedger ledger(Limits());
  const auto first = ledger.Open(At(0));
  const auto second = ledger.Open(At(1));
  ledger.Open(At(2));
  ledger.Update(first, ConnectionPhase::Idle, 0, At(2'000));
  ledger.Open(At(2'001));
  const auto choices = ledger.ChooseOverLimit(At(2'001));
  REQUIRE(choices.size() == 1);
  CHECK(choices[0].m_id == second);
  CHECK(choices[0].m_reason == CloseReason::Connections);
  CHECK(ledger.Connections() == 3);
}

TEST_CASE("ConnectionLedger closes the oldest of several busy connections, not one that is new")
{
  // A flood of pipelined requests made progress all the time, so each new caller was the silent
  // one.
  ConnectionLedger ledger(Limits());
  const auto first = ledger.Open(At(0));
  const auto second = ledger.Open(At(0));
  const auto third = ledger.Open(At(5'000));
  ledger.Update(first, ConnectionPhase::Writing, 10, At(5'010));
  ledger.Update(second, ConnectionPhase::Writing, 10, At(5'010));
  ledger.Open(At(5'020));
  const auto choices = ledger.ChooseOverLimit(At(5'020));
  REQUIRE(choices.size() == 1);
  CHECK(choices[0].m_id == first);
  CHECK(choices[0].m_id != third);
}

TEST_CASE("ConnectionLedger closes slow headers and silent requests, not idle connections")
{
  ConnectionLedger ledger(Limits());
  const auto header = ledger.Open(At(0));
  const auto body = ledger.Open(At(0));
  ledger.Open(At(0));
  for (int at = 0; at <= 15'000; at += 1'000) {
    ledger.Update(header, ConnectionPhase::Header, 10, At(at));
  }
  ledger.Update(body, ConnectionPhase::Body, 10, At(0));
  CHECK_MESSAGE(ledger.ChooseExpired(At(10'000)).empty(), "the limits themselves are permitted");
  auto choices = ledger.ChooseExpired(At(15'000));
  REQUIRE(choices.size() == 1);
  CHECK(choices[0].m_id == header);
  CHECK(choices[0].m_reason == CloseReason::HeaderTime);
  choices = ledger.ChooseExpired(At(20'001));
  REQUIRE(choices.size() == 1);
  CHECK(choices[0].m_id == body);
  CHECK(choices[0].m_reason == CloseReason::Progress);
  CHECK(ledger.ChooseExpired(At(90'000)).empty());
}

TEST_CASE("ConnectionLedger keeps the sum of what the open connections hold")
{
  ConnectionLedger ledger(ConnectionLimits{});
  const auto first = ledger.Open(At(0));
  const auto second = ledger.Open(At(0));
  ledger.Update(first, ConnectionPhase::Body, 700, At(1));
  ledger.Update(second, ConnectionPhase::Body, 900, At(1));
  ledger.Update(first, ConnectionPhase::Body, 300, At(2));
  ledger.Close(second);
  ledger.Close(second);
  CHECK(ledger.HeldBytes() == 300);
  CHECK(ledger.ChooseOverLimit(At(3)).empty());
}
