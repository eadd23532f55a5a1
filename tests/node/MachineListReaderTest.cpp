#include "node/MachineListReader.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::node;

TEST_CASE("lists of any length stay within half of the limit of page reads")
{
  for (const double limit : { 12.0, 64.0, 400.0 }) {
    for (const int pages : { 1, 6, 31, 200 }) {
      Micros reading{ 0 };
      for (int page = 1; page < pages; ++page) {
        reading += PauseBeforeNextPage(page, limit);
      }
      const std::chrono::duration<double> period = PeriodOfLists(pages, limit);
      CAPTURE(limit);
      CAPTURE(pages);
      CHECK(pages / period.count() <= doctest::Approx(limit / 2));
      CHECK(reading <= PeriodOfLists(pages, limit));
    }
  }
}

TEST_CASE("a list that stays within the limit is read without pauses")
{
  CHECK(PauseBeforeNextPage(5, 64) == Micros(0));
}

TEST_CASE("pages are read even if the settings allow none")
{
  CHECK(PauseBeforeNextPage(5, 0) == Micros(1'000'000));
}
