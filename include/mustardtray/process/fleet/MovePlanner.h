#pragma once

/// Decides which pools get a VM of the spare pool, and when it goes back.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

/// Work that arrived for a pool in the time before a sample, in VMs kept fully busy by it: arrivals
/// times run time over the slots of one VM.
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

/// Averages each pool's load over several move costs, so that a burst of seconds leaves no trace,
/// and proposes a move when the average has been too high for as long again.
class MovePlanner
{
public:
  /// Takes in one sample of every pool's load. Samples may come at any distance.
  void AddSample(const std::vector<PoolLoad>& aLoads, const FleetPolicy& aPolicy, TimePoint aNow);

  /// Moves to begin now; none for a pool that VMs are moving to or from. Each fits the budgets and
  /// the minimum of its source pool.
  std::vector<PlannedMove> Plan(const FleetState& aState, TimePoint aNow);

  /// Average load of a pool, in VMs.
  double AverageOf(const std::string& aPool) const;

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
  bool IsLastingDeficit(const FleetState& aState, const std::string& aPool, TimePoint aNow) const;
  bool IsLastingSurplus(const FleetState& aState, const std::string& aPool, TimePoint aNow) const;
  std::optional<PlannedMove> PlanBorrow(const FleetState& aState, const std::string& aPool) const;
  std::optional<PlannedMove> PlanReturn(const FleetState& aState, const std::string& aPool) const;
  /// Whether the source pool carries its own average load without the VM.
  bool CanSpare(const FleetState& aState, const std::string& aPool) const;

  std::map<std::string, PoolTrend> m_trends;
};

} // namespace mustardtray
