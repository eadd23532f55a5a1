#include "mustardtray/process/Backoff.h"

#include <map>

#include <doctest/doctest.h>

using namespace mustardtray;

TEST_CASE("delays between attempts grow up to the longest and start anew after a success")
{
  Backoff backoff(Millis(100), Millis(800), 1);
  for (const Millis ceiling : { Millis(100), Millis(200), Millis(400), Millis(800), Millis(800) }) {
    const Micros delay = backoff.Next();
    CHECK(delay <= ceiling);
    CHECK(delay >= ceiling / 2);
  }
  backoff.Reset();
  CHECK(backoff.Next() <= Millis(100));
}

TEST_CASE("300 nodes that fail at the same moment spread their next attempts")
{
  constexpr int kNodes = 300;
  constexpr Micros kSlot{ 10'000 };
  std::map<Micros::rep, int> attemptsBySlot;
  for (std::uint32_t node = 0; node < kNodes; ++node) {
    Backoff backoff(Millis(200), Millis(800), node + 1);
    Micros at{ 0 };
    for (int attempt = 0; attempt < 3; ++attempt) {
      at += backoff.Next();
    }
    ++attemptsBySlot[at / kSlot];
  }
  for (const auto& [slot, attempts] : attemptsBySlot) {
    CHECK(attempts < kNodes / 10);
  }
}
