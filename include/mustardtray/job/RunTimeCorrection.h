#pragma once

/// Corrects callers' run time estimates by a measured factor for each queue. Estimates can be off
/// by up to a half, in the same direction for all units of a queue.

#include <string>
#include <unordered_map>

#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// Multiplies a time by a factor and rounds down to whole milliseconds.
inline Millis Scaled(Millis aTime, double aFactor)
{
  return Millis(static_cast<Millis::rep>(static_cast<double>(aTime.count()) * aFactor));
}

class RunTimeCorrection
{
public:
  void Observe(const std::string& aQueue, Millis aEstimate, Millis aMeasured);
  /// Returns the ratio of measured to estimated run time; 1 for a queue without observations.
  double Factor(const std::string& aQueue) const;

private:
  std::unordered_map<std::string, double> m_factors;
};

} // namespace mustardtray::job
