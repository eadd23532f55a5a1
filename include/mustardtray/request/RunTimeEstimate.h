#pragma once

/// Estimate of the run time of a queue's requests. The operators' hint applies until the first
/// measurement.

#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Exponential moving averages of the run time and of its absolute deviation.
class RunTimeEstimate
{
public:
  explicit RunTimeEstimate(Micros aHint);

  void SetHint(Micros aHint) { m_hint = aHint; }
  void Add(TimePoint aNow, Micros aRunTime);
  Micros Mean(TimePoint aNow) const;
  /// A run time that most requests do not exceed: the mean plus a multiple of the deviation.
  Micros UpperEstimate(TimePoint aNow) const;

private:
  /// True if there is no recent measurement. A stale estimate is not allowed to exceed the hint:
  /// if it refused all requests, there would never be a new measurement.
  bool IsStale(TimePoint aNow) const;

  Micros m_hint;
  double m_mean = 0;      ///< Microseconds.
  double m_deviation = 0; ///< Microseconds.
  bool m_isMeasured = false;
  TimePoint m_lastSample;
};

} // namespace mustardtray
