#include "mustardtray/job/PoolState.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

TEST_CASE("a deeply nested state of a job does not end the process")
{
  constexpr std::size_t kLevels = 500'000;
  CHECK_FALSE(DecodeProgressState(R"({"state":)" + std::string(kLevels, '[') +
                                  std::string(kLevels, ']') + "}"));
  CHECK_FALSE(DecodeProgressState("[]"));
  CHECK(DecodeProgressState(R"({"state":"running"})").value() == JobState::Running);
}
