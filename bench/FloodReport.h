#pragma once

/// Measures of flood runs against the quiet run of the same seed and policy, and their summary.

#include <cstdint>
#include <string>
#include <vector>

#include "bench/FloodRun.h"

namespace mustardtray::bench {

/// Measures of one policy on one seed of a deployment, over the three scenarios.
struct FloodMeasures
{
  double m_buffer = 0;   ///< Part of the slot time in quiet runs that stood free in the reserve.
  double m_withheld = 0; ///< The part of it while may-wait work waited.
  double m_urgentKept =
    0;                   ///< Urgent answers of the flooded service in a may-wait flood over quiet.
  double m_quietP50 = 0; ///< Milliseconds that urgent requests of that service wait.
  double m_quietP99 = 0;
  double m_floodP50 = 0;
  double m_floodP99 = 0;
  double m_othersMayWaitFlood = 0; ///< Answers of the least kept other service over quiet.
  double m_othersUrgentFlood = 0;
  double m_floor = 0;    ///< Of the least served may-wait queue: served over what its floor owes.
  double m_answered = 0; ///< Part of all requests in quiet runs.
  double m_mayWaitKept =
    0;               ///< May-wait answers of the flooded service in an urgent flood over quiet.
  int m_refused = 0; ///< In all three scenarios.
  int m_unknown = 0;
  int m_peakSlots = 0;
};

FloodMeasures Measure(const FloodLoad& aLoad,
                      const std::vector<ServiceResult>& aQuiet,
                      const std::vector<ServiceResult>& aMayWaitFlood,
                      const std::vector<ServiceResult>& aUrgentFlood);

/// One line of JSON.
std::string JsonLine(const std::string& aDeployment,
                     const std::string& aPolicy,
                     std::uint64_t aSeed,
                     const FloodMeasures& aMeasures);
std::string TableHead();
/// One row: means over the seeds, except for the worst part kept and the highest peak.
std::string TableRow(const std::string& aDeployment,
                     const std::string& aPolicy,
                     const std::vector<FloodMeasures>& aMeasures);

} // namespace mustardtray::bench
