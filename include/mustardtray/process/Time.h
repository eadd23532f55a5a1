#pragma once

/// Clock types shared by all decision code. Decisions take `now` as an argument and never read a
/// clock, so they run unchanged under virtual time.

#include <chrono>
#include <cstdint>

namespace mustardtray {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Monotonic time of one process; not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Micros>;

/// Wall clock time since the Unix epoch; only for stamps that leave the process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Millis>;

inline TimePoint MonotonicNow()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

inline WallTime WallNow()
{
  return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

/// A duration in whole milliseconds, rounded up, so that a positive wait never becomes zero.
template<typename Duration>
Millis CeilMillis(Duration aDuration)
{
  return std::chrono::ceil<Millis>(aDuration);
}

} // namespace mustardtray
