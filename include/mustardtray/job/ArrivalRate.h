#pragma once

/// How much work callers ask of a pool per time. Load that it answers: a queue that begins to ask
/// many times its mean, so that what is at hand says for a second or more less than what is coming.

#include <deque>

#include "mustardtray/process/Time.h"

namespace mustardtray::job {

class ArrivalRate
{
public:
  /// A job that was handed in for the first time; aWork: in core-milliseconds.
  void Add(TimePoint aAt, double aWork);
  /// Cores that the latest arrivals keep busy. The largest one is left out: a single large job is
  /// no trend.
  double Cores(TimePoint aNow) const;

private:
  struct Arrival
  {
    TimePoint m_at{};
    double m_work = 0;
  };
  std::deque<Arrival> m_arrivals; ///< Oldest first.
};

} // namespace mustardtray::job
