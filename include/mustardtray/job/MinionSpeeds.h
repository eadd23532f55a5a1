#pragma once

/// Tells slow minions apart from slow units: compares what a minion's completions took, relative to
/// the typical run time of their kind, with its peers. A queue that changes affects all minions.

#include <deque>
#include <map>
#include <string>

#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// A slow minion that has got no unit for this time gets one, to see whether it is still slow.
inline constexpr Millis kTrialPeriod{ 5'000 };

class MinionSpeeds
{
public:
  /// aRatio: measured run time by the typical run time of such units.
  void Observe(const std::string& aMinion, double aRatio);
  void Forget(const std::string& aMinion) { m_minions.erase(aMinion); }
  /// Returns the median ratio of the minion's latest completions by that of its peers; 1 while too
  /// little is known of them.
  double Slowness(const std::string& aMinion) const;
  bool IsSlow(const std::string& aMinion) const;

private:
  struct Speed
  {
    std::deque<double> m_ratios; ///< Latest ones.
    double m_median = 1.0;
  };

  std::map<std::string, Speed, std::less<>> m_minions;
};

} // namespace mustardtray::job
