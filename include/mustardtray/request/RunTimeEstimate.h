#pragma once

/// Run time of a queue's requests as measured, starting from the operators' hint.

#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Moving mean and mean deviation of run times.
class RunTimeEstimate
{
public:
  explicit RunTimeEstimate(Micros aHint);

  void SetHint(Micros aHint) { m_hint = aHint; }
  void Add(TimePoint aNow, Micros aRun);
  Micros Mean(TimePoint aNow) const;
  /// A run time that most requests stay below.
  Micros Likely(TimePoint aNow) const;

private:
  /// An old estimate must not refuse requests for ever: no request, no new measurement.
  bool IsStale(TimePoint aNow) const;

  Micros m_hint;
  double m_mean = 0;      ///< Microseconds.
  double m_deviation = 0; ///< Microseconds.
  bool m_isMeasured = false;
  TimePoint m_lastSample;
};

} // namespace mustardtray
