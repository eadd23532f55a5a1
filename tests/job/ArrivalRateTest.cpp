#include "mustardtray/job/ArrivalRate.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

TimePoint At(int aMs)
{
  return TimePoint{ Micros(10'000'000 + aMs * 1'000) };
}

} // namespace

TEST_CASE("the rate shows a burst within half a second")
{
  ArrivalRate rate;
  // 30 jobs a second of 33 core-seconds each need 990 cores.
  int ms = 0;
  for (; ms < 500; ms += 33) {
    rate.Add(At(ms), 33'000);
  }
  CHECK(rate.DemandedCores(At(ms)) > 500);
}

TEST_CASE("the rate ignores the largest job and old arrivals")
{
  ArrivalRate rate;
  rate.Add(At(0), 200'000);
  CHECK(rate.DemandedCores(At(1)) == doctest::Approx(0));
  rate.Add(At(100), 200'000);
  CHECK(rate.DemandedCores(At(101)) > 0);
  CHECK(rate.DemandedCores(At(2'000)) == doctest::Approx(0));
}
