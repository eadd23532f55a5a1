#pragma once

/// Decides which pools borrow a VM from the spare pool, and when they return it.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

/// Load of a pool since the previous sample, as the number of VMs that it would keep fully busy:
/// arrival rate times run time, divided by the slots of one VM.
struct PoolLoad
{
  std::string m_pool;
  double m_busyVms = 0;
};

struct PlannedMove
{
  std::string m_vm;
  std::string m_targetPool;
  bool m_isReturn = false;
};

/// Averages each pool's load over several move durations, so that bursts of seconds have no effect.
/// Proposes a move when the average has been too high for the same time again.
class MovePlanner
{
public:
  /// Adds one load sample for each pool. The sampling interval may vary.
  void AddSample(const std::vector<PoolLoad>& aLoads, const FleetPolicy& aPolicy, TimePoint aNow);

  /// Returns the moves to begin now, none for a pool with a move in progress. Each move fits the
  /// availability budgets and the minimum of its source pool.
  std::vector<PlannedMove> PlanMoves(const FleetState& aState, TimePoint aNow);

  /// Returns the average load of a pool in fully busy VMs.
  double AverageLoad(const std::string& aPool) const;

private:
  struct PoolTrend
  {
    std::optional<TimePoint> m_firstSample;
    TimePoint m_lastSample{};
    double m_average = 0;
    std::optional<TimePoint> m_deficitSince;
    std::optional<TimePoint> m_surplusSince;
  };

  void UpdateTrend(const FleetState& aState, const std::string& aPool, TimePoint aNow);
  bool IsSustainedDeficit(const FleetState& aState, const std::string& aPool, TimePoint aNow) const;
  bool IsSustainedSurplus(const FleetState& aState, const std::string& aPool, TimePoint aNow) const;
  std::optional<PlannedMove> PlanBorrow(const FleetState& aState, const std::string& aPool) const;
  std::optional<PlannedMove> PlanReturn(const FleetState& aState, const std::string& aPool) const;
  /// Returns whether the pool can carry its own average load with one VM less.
  bool CanLendVm(const FleetState& aState, const std::string& aPool) const;

  std::map<std::string, PoolTrend> m_trends;
};

} // namespace mustardtray
