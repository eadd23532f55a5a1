#pragma once

/// The runs of the fleet bench and their results.

#include <string>
#include <vector>

#include "bench/FleetRun.h"

namespace mustardtray {

struct FleetResult
{
  std::string m_deployment;
  std::string m_scenario;
  std::string m_policy;
  int m_seed = 0;
  FleetFaultCounts m_faults;
  bool m_isFinished = true;
  double m_rollOutSeconds = 0;
  double m_lowerBoundSeconds = 0;
  int m_moves = 0;            ///< To a pool with a deficit.
  int m_returns = 0;          ///< Back to the spare pool.
  int m_deficits = 0;         ///< VMs that lasting deficits call for.
  double m_unservedShare = 0; ///< Of the work that the lasting load offers.

  double RollOutRatio() const
  {
    return m_lowerBoundSeconds > 0 ? m_rollOutSeconds / m_lowerBoundSeconds : 0;
  }
};

Json ToJson(const FleetResult& aResult);
/// All policies over both deployments with seeds 1 to aSeeds, in the named scenario or in all.
std::vector<FleetResult> RunFleetBench(int aSeeds, int aThreads, const std::string& aScenario);
std::string SummaryTable(const std::vector<FleetResult>& aResults);
/// Whether every run of the full policy meets the stated targets.
bool MeetsTargets(const std::vector<FleetResult>& aResults);

/// One wave over all VMs.
FleetResult RunWave(const Deployment& aDeployment,
                    const FleetPolicy& aPolicy,
                    bool aHasFaults,
                    int aSeed);

enum class LoadTrace
{
  BurstsOnly, ///< Each pool in its turn asks five times its mean for seconds.
  Lasting,    ///< The same, and some pools' means grow for long.
};

FleetResult RunMoves(const Deployment& aDeployment,
                     const FleetPolicy& aPolicy,
                     LoadTrace aTrace,
                     int aSeed);

} // namespace mustardtray
