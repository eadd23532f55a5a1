#pragma once

/// Rate at which callers submit work to a pool. When a queue's load rises to many times its mean,
/// the backlog shows less than the arriving work for a second or more; the arrival rate shows it
/// sooner.

#include <deque>

#include "mustardtray/process/Time.h"

namespace mustardtray::job {

class ArrivalRate
{
public:
  /// Records a job that was submitted for the first time. aWork is in core-milliseconds.
  void Add(TimePoint aAt, double aWork);
  /// Returns the number of cores that the recent arrivals keep busy. The largest arrival is left
  /// out, because a single large job is not a trend.
  double DemandedCores(TimePoint aNow) const;

private:
  struct Arrival
  {
    TimePoint m_at{};
    double m_work = 0;
  };
  std::deque<Arrival> m_arrivals; ///< Sorted by time, oldest first.
};

} // namespace mustardtray::job
