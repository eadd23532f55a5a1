#pragma once

/// The link of a machine: bytes of all its connections leave one after the other at its speed.

#include <algorithm>
#include <array>
#include <cstddef>

#include "mustardtray/process/Time.h"

namespace mustardtray::soak {

class PacedLink
{
public:
  explicit PacedLink(double aBytesPerSecond)
    : m_bytesPerSecond(aBytesPerSecond)
  {
  }

  /// Puts bytes at the end of the queue of a direction; returns the time until they have left.
  Micros Reserve(bool aIsResponse, std::size_t aBytes, TimePoint aNow)
  {
    constexpr double kMicrosPerSecond = 1'000'000.0;
    TimePoint& busyUntil = m_busyUntil[aIsResponse ? 1 : 0];
    busyUntil = std::max(busyUntil, aNow) +
                Micros(static_cast<Micros::rep>(static_cast<double>(aBytes) * kMicrosPerSecond /
                                                m_bytesPerSecond));
    return busyUntil - aNow;
  }

private:
  double m_bytesPerSecond;
  std::array<TimePoint, 2> m_busyUntil{}; ///< Of requests and of responses.
};

} // namespace mustardtray::soak
