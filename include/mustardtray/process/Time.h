#pragma once

/// Clock types. Decision code gets the current time as an argument and never reads a clock, so that
/// it also runs under virtual time.

#include <chrono>
#include <cstdint>

namespace mustardtray {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Monotonic time of one process. Values of different processes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Micros>;

/// Wall clock time since the Unix epoch. Used only for timestamps that leave the process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Millis>;

inline TimePoint MonotonicNow()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

inline WallTime WallNow()
{
  return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

/// Rounds a duration up to whole milliseconds, so that a positive wait never becomes zero.
template<typename Duration>
Millis CeilMillis(Duration aDuration)
{
  return std::chrono::ceil<Millis>(aDuration);
}

} // namespace mustardtray
