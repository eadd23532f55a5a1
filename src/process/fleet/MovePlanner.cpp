#include "mustardtray/process/fleet/MovePlanner.h"

#include <algorithm>
#include <cmath>

namespace mustardtray {

namespace {

/// Returns the number of VMs that serve the pool or are joining it. VMs that are down or leaving do
/// not count.
int CapacityOf(const FleetState& aState, const std::string& aPool)
{
  const PoolRecord record = aState.m_view.Pool(aPool).m_value;
  int count = static_cast<int>(record.m_joining.size());
  const auto members = aState.m_index.m_vmsByPool.find(aPool);
  if (members == aState.m_index.m_vmsByPool.end()) {
    return count;
  }
  for (const std::string& name : members->second) {
    const VmRecord& vm = *aState.m_view.Vm(name);
    const bool isCounted = record.m_joining.contains(name) || record.m_leaving.contains(name);
    count += vm.m_isDown || isCounted ? 0 : 1;
  }
  return count;
}

bool HasMoves(const FleetState& aState, const std::string& aPool)
{
  const PoolRecord record = aState.m_view.Pool(aPool).m_value;
  return !record.m_joining.empty() || !record.m_leaving.empty();
}

Millis RequiredDuration(const FleetPolicy& aPolicy, int aFactor)
{
  return aPolicy.m_rules.m_requireSustainedLoad ? aPolicy.m_moveDuration * aFactor : Millis{ 0 };
}

void UpdateSince(std::optional<TimePoint>& aSince, bool aCondition, TimePoint aNow)
{
  if (!aCondition) {
    aSince.reset();
  } else if (!aSince) {
    aSince = aNow;
  }
}

/// Chooses a VM of the pool that may move. It comes from the zone with the most VMs of the pool,
/// where its loss affects the services the least.
std::optional<std::string> ChooseVmToMove(const FleetState& aState,
                                          const std::string& aPool,
                                          bool aIsReturn)
{
  std::map<std::string, int> zoneCounts;
  std::vector<const VmRecord*> eligible;
  const auto members = aState.m_index.m_vmsByPool.find(aPool);
  if (members == aState.m_index.m_vmsByPool.end()) {
    return std::nullopt;
  }
  for (const std::string& name : members->second) {
    const VmRecord& vm = *aState.m_view.Vm(name);
    ++zoneCounts[vm.m_zone];
    const bool isBorrowed = !vm.m_homePool.empty() && vm.m_homePool != vm.m_pool;
    const bool isLeaving =
      aState.IsListed(name, VmState::Leaving) || aState.IsListed(name, VmState::Gone);
    if (!vm.IsOut() && !vm.m_isDown && !isLeaving && (isBorrowed || !aIsReturn) &&
        !FindTakeOutBlocker(aState, name) && !FindPoolMinimumBlocker(aState, name)) {
      eligible.push_back(&vm);
    }
  }
  const auto best = std::max_element(
    eligible.begin(), eligible.end(), [&zoneCounts](const VmRecord* aLeft, const VmRecord* aRight) {
      return zoneCounts[aLeft->m_zone] < zoneCounts[aRight->m_zone];
    });
  return best == eligible.end() ? std::nullopt : std::optional((*best)->m_name);
}

} // namespace

void MovePlanner::AddSample(const std::vector<PoolLoad>& aLoads,
                            const FleetPolicy& aPolicy,
                            TimePoint aNow)
{
  const double window =
    std::chrono::duration<double>(aPolicy.m_moveDuration * aPolicy.m_deficitFactor).count();
  for (const PoolLoad& load : aLoads) {
    PoolTrend& trend = m_trends[load.m_pool];
    const bool isFirst = !trend.m_firstSample;
    if (isFirst) {
      trend.m_firstSample = aNow;
    }
    const double elapsed = std::chrono::duration<double>(aNow - trend.m_lastSample).count();
    const double weight = !aPolicy.m_rules.m_requireSustainedLoad
                            ? 1.0
                            : (isFirst ? 0.0 : 1.0 - std::exp(-elapsed / window));
    trend.m_average += weight * (load.m_busyVms - trend.m_average);
    trend.m_lastSample = aNow;
  }
}

std::vector<PlannedMove> MovePlanner::PlanMoves(const FleetState& aState, TimePoint aNow)
{
  std::vector<PlannedMove> moves;
  const std::string& spare = aState.m_configuration.m_sparePool;
  if (spare.empty()) {
    return moves;
  }
  for (const auto& [pool, config] : aState.m_configuration.m_pools) {
    UpdateTrend(aState, pool, aNow);
    if (pool == spare || HasMoves(aState, pool)) {
      continue;
    }
    std::optional<PlannedMove> move;
    if (IsSustainedDeficit(aState, pool, aNow)) {
      move = PlanBorrow(aState, pool);
    } else if (IsSustainedSurplus(aState, pool, aNow)) {
      move = PlanReturn(aState, pool);
    }
    if (move) {
      m_trends[pool].m_deficitSince.reset();
      m_trends[pool].m_surplusSince.reset();
      moves.push_back(std::move(*move));
    }
  }
  return moves;
}

double MovePlanner::AverageLoad(const std::string& aPool) const
{
  const auto found = m_trends.find(aPool);
  return found == m_trends.end() ? 0 : found->second.m_average;
}

void MovePlanner::UpdateTrend(const FleetState& aState, const std::string& aPool, TimePoint aNow)
{
  const auto found = m_trends.find(aPool);
  if (found == m_trends.end()) {
    return;
  }
  PoolTrend& trend = found->second;
  const int capacity = CapacityOf(aState, aPool);
  const FleetPolicy& policy = aState.m_policy;
  UpdateSince(trend.m_deficitSince, trend.m_average > capacity * policy.m_targetUtilization, aNow);
  UpdateSince(
    trend.m_surplusSince, trend.m_average < (capacity - 1) * policy.m_returnUtilization, aNow);
}

bool MovePlanner::IsSustainedDeficit(const FleetState& aState,
                                     const std::string& aPool,
                                     TimePoint aNow) const
{
  const auto found = m_trends.find(aPool);
  const FleetPolicy& policy = aState.m_policy;
  return found != m_trends.end() && found->second.m_deficitSince &&
         aNow - *found->second.m_deficitSince >= RequiredDuration(policy, policy.m_deficitFactor);
}

bool MovePlanner::IsSustainedSurplus(const FleetState& aState,
                                     const std::string& aPool,
                                     TimePoint aNow) const
{
  const auto found = m_trends.find(aPool);
  const FleetPolicy& policy = aState.m_policy;
  return found != m_trends.end() && found->second.m_surplusSince &&
         aNow - *found->second.m_surplusSince >= RequiredDuration(policy, policy.m_surplusFactor);
}

std::optional<PlannedMove> MovePlanner::PlanBorrow(const FleetState& aState,
                                                   const std::string& aPool) const
{
  const std::string& spare = aState.m_configuration.m_sparePool;
  if (!CanLendVm(aState, spare)) {
    return std::nullopt;
  }
  auto vm = ChooseVmToMove(aState, spare, false);
  return vm ? std::optional(PlannedMove{ std::move(*vm), aPool, false }) : std::nullopt;
}

std::optional<PlannedMove> MovePlanner::PlanReturn(const FleetState& aState,
                                                   const std::string& aPool) const
{
  auto vm = ChooseVmToMove(aState, aPool, true);
  if (!vm) {
    return std::nullopt;
  }
  std::string home = aState.m_view.Vm(*vm)->m_homePool;
  return PlannedMove{ std::move(*vm), std::move(home), true };
}

bool MovePlanner::CanLendVm(const FleetState& aState, const std::string& aPool) const
{
  const int left = CapacityOf(aState, aPool) - 1;
  return AverageLoad(aPool) <= left * aState.m_policy.m_targetUtilization;
}

} // namespace mustardtray
