#include "node/NodeContext.h"

#include <ctime>
#include <random>

#include <fmt/format.h>

namespace mustardtray::node {

TimePoint LeaseClockNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  constexpr std::int64_t kNanosPerMicro = 1'000;
  return TimePoint(Micros(now.tv_sec * kMicrosPerSecond + now.tv_nsec / kNanosPerMicro));
}

std::string MakeIncarnation()
{
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

} // namespace mustardtray::node
