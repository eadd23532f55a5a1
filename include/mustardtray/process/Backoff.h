#pragma once

/// Delays between repeated attempts. They grow, and they are random, so that processes that fail at
/// the same moment do not repeat their calls at the same moment.

#include <algorithm>
#include <cstdint>
#include <random>

#include "mustardtray/process/Time.h"

namespace mustardtray {

class Backoff
{
public:
  Backoff(Millis aFirst, Millis aLongest, std::uint32_t aSeed = std::random_device{}())
    : m_first(aFirst)
    , m_longest(aLongest)
    , m_ceiling(aFirst)
    , m_random(aSeed)
  {
  }

  /// Returns the delay before the next attempt: between half of the current ceiling and the
  /// ceiling, which doubles with each attempt up to the longest delay.
  Micros Next()
  {
    const Micros ceiling = m_ceiling;
    m_ceiling = std::min(m_ceiling * 2, m_longest);
    return Micros(
      std::uniform_int_distribution<Micros::rep>(ceiling.count() / 2, ceiling.count())(m_random));
  }
  /// Called after a success.
  void Reset() { m_ceiling = m_first; }

private:
  Millis m_first;
  Millis m_longest;
  Millis m_ceiling;
  std::minstd_rand m_random;
};

} // namespace mustardtray
