#include "mustardtray/job/FleetPlanner.h"

#include <algorithm>
#include <tuple>

namespace mustardtray::job {

namespace {

/// Maximum delay from the end of an order until the machine list shows the machine as up again.
constexpr Millis kMachineListDelay{ 1'200 };
constexpr Millis kOrderRetryDelay{ 700 };
/// Share of a wave's duration in which it is planned to end.
constexpr double kWaveTimeShare = 0.8;
/// Assumed for a wave that is already late.
constexpr Millis kMinWaveTime{ 2'000 };

} // namespace

void FleetPlanner::SetMachines(std::vector<Machine> aMachines, TimePoint aAskedAt)
{
  m_machines.clear();
  for (Machine& machine : aMachines) {
    const auto order = m_doneOrders.find(machine.m_name);
    const bool hasArrived = order != m_doneOrders.end() && aAskedAt > order->second.m_doneAt &&
                            machine.m_state == MachineState::Up &&
                            machine.m_pool == order->second.m_movedTo;
    if (hasArrived) {
      m_arrivedAt[machine.m_name] = aAskedAt;
      m_doneOrders.erase(order);
    }
    m_machines.emplace(machine.m_name, std::move(machine));
  }
  m_listedAt = aAskedAt;
  std::erase_if(m_arrivedAt,
                [&](const auto& aEntry) { return aAskedAt - aEntry.second > kMinionArrivalTime; });
}

void FleetPlanner::AddWave(const WaveRequest& aRequest, std::set<std::string> aBegun)
{
  WaveState wave;
  wave.m_request = aRequest;
  wave.m_begun = std::move(aBegun);
  m_waves.emplace(aRequest.m_number, std::move(wave));
}

void FleetPlanner::SetReport(const std::string& aPool, PoolReport aReport)
{
  m_reports[aPool] = std::move(aReport);
}

void FleetPlanner::OnRestrictionsSent(const std::string& aPool,
                                      const MachineRestrictions& aRestrictions)
{
  const auto report = m_reports.find(aPool);
  if (report != m_reports.end()) {
    std::erase_if(report->second.m_drained, [&](const std::string& aMachine) {
      return !aRestrictions.m_cordoned.contains(aMachine);
    });
  }
}

void FleetPlanner::OnOrderSent(const MachineOrder& aOrder)
{
  m_inFlight.insert(aOrder.m_machine);
  if (aOrder.m_wave > 0) {
    m_openMaintenance[aOrder.m_wave].insert(aOrder.m_machine);
  }
}

void FleetPlanner::OnOrderDone(const MachineOrder& aOrder, TimePoint aNow)
{
  m_inFlight.erase(aOrder.m_machine);
  const Millis unavailableTime = aOrder.m_wave > 0 ? m_times.m_maintenanceTime : m_times.m_moveTime;
  m_doneOrders[aOrder.m_machine] = { aNow,
                                     aNow + unavailableTime + kMachineListDelay,
                                     aOrder.m_pool };
  m_maintenanceCandidates.erase(aOrder.m_machine);
  m_pendingMoves.erase(aOrder.m_machine);
  if (aOrder.m_wave > 0) {
    m_waves.at(aOrder.m_wave).m_begun.insert(aOrder.m_machine);
    m_openMaintenance[aOrder.m_wave].erase(aOrder.m_machine);
  }
}

void FleetPlanner::OnOrderFailed(const MachineOrder& aOrder, TimePoint aNow)
{
  OnOrderUnanswered(aOrder, aNow);
  if (aOrder.m_wave > 0) {
    m_openMaintenance[aOrder.m_wave].erase(aOrder.m_machine);
  }
}

void FleetPlanner::OnOrderUnanswered(const MachineOrder& aOrder, TimePoint aNow)
{
  m_inFlight.erase(aOrder.m_machine);
  m_retryAt[aOrder.m_machine] = aNow + kOrderRetryDelay;
  m_pendingMoves.erase(aOrder.m_machine);
}

double FleetPlanner::PoolUtilization(const std::string& aPool) const
{
  const auto report = m_reports.find(aPool);
  if (report == m_reports.end() || report->second.m_load.m_capacityCpu <= 0) {
    return 0;
  }
  const PoolLoad& load = report->second.m_load;
  return static_cast<double>(load.m_usedCpu + load.m_waitingCpu) /
         static_cast<double>(load.m_capacityCpu);
}

std::size_t FleetPlanner::SpareAtOnce(const WaveState& aWave,
                                      std::size_t aPending,
                                      TimePoint aNow) const
{
  const Millis elapsed = std::chrono::duration_cast<Millis>(aNow - aWave.m_plannedSince);
  const Millis left =
    std::max(Scaled(aWave.m_request.m_duration, kWaveTimeShare) - elapsed, kMinWaveTime);
  const Millis each = m_times.m_maintenanceTime + kMachineListDelay;
  return (aPending * static_cast<std::size_t>(each.count()) +
          static_cast<std::size_t>(left.count()) - 1) /
         static_cast<std::size_t>(left.count());
}

void FleetPlanner::SortForMaintenance(std::vector<const Machine*>& aMachines) const
{
  // Utilizations are looked up once for each machine, not for each comparison.
  std::vector<std::tuple<bool, double, const Machine*>> ranked;
  ranked.reserve(aMachines.size());
  for (const Machine* machine : aMachines) {
    ranked.emplace_back(!m_maintenanceCandidates.contains(machine->m_name),
                        PoolUtilization(ShardOf(*machine)),
                        machine);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
    const auto& [isLeftNew, leftUtilization, left] = aLeft;
    const auto& [isRightNew, rightUtilization, right] = aRight;
    return std::tie(isLeftNew, leftUtilization, left->m_name) <
           std::tie(isRightNew, rightUtilization, right->m_name);
  });
  std::transform(ranked.begin(), ranked.end(), aMachines.begin(), [](const auto& aEntry) {
    return std::get<const Machine*>(aEntry);
  });
}

void FleetPlanner::PlanWave(WaveState& aWave,
                            const Deployment& aDeployment,
                            FleetPlan& aPlan,
                            TimePoint aNow)
{
  const PoolSpec* spare = aDeployment.SparePool();
  std::vector<const Machine*> pending;
  std::vector<const Machine*> open;
  std::uint32_t down = 0;
  std::size_t spareDown = 0;
  if (aWave.m_plannedSince == TimePoint{}) {
    aWave.m_plannedSince = aNow;
  }
  const std::set<std::string>& openNames = m_openMaintenance[aWave.m_request.m_number];
  for (const std::string& name : aWave.m_request.m_machines) {
    const auto found = m_machines.find(name);
    if (found == m_machines.end()) {
      continue; // The machine was removed.
    }
    const bool hasStarted = aWave.m_begun.contains(name);
    const bool isOpen = !hasStarted && openNames.contains(name);
    if (found->second.m_state == MachineState::Maintenance || isOpen ||
        (hasStarted && HasActiveOrder(name, aNow))) {
      ++down;
      spareDown += spare && found->second.m_pool == spare->m_name ? 1 : 0;
    }
    if (!hasStarted) {
      (isOpen ? open : pending).push_back(&found->second);
    }
  }
  if (pending.empty() && open.empty()) {
    aPlan.m_completedWaves.push_back(aWave.m_request.m_number);
    return;
  }
  const auto isSpare = [&](const Machine* aMachine) {
    return spare && aMachine->m_pool == spare->m_name;
  };
  // Orders with an unknown result are repeated until it is known, and keep their places until then.
  for (const Machine* machine : open) {
    const std::string shard = isSpare(machine) ? machine->m_pool : ShardOf(*machine);
    const bool isReady = isSpare(machine) || IsDrained(shard, machine->m_name);
    if (!isSpare(machine)) {
      aPlan.m_restrictions[shard].m_cordoned.insert(machine->m_name);
    }
    if (isReady && !m_inFlight.contains(machine->m_name) && IsOrderAllowed(machine->m_name, aNow)) {
      aPlan.m_orders.push_back({ machine->m_name, aWave.m_request.m_number, {}, shard });
    }
  }
  SortForMaintenance(pending);
  std::uint32_t freePlaces = aWave.m_request.m_atOnce > down ? aWave.m_request.m_atOnce - down : 0;
  std::uint32_t machinesToDrain = freePlaces;
  const auto order = [&](const Machine* aMachine, const std::string& aFrom) {
    if (freePlaces > 0 && IsOrderAllowed(aMachine->m_name, aNow)) {
      aPlan.m_orders.push_back({ aMachine->m_name, aWave.m_request.m_number, {}, aFrom });
      --freePlaces;
    }
  };
  const std::size_t spareAtOnce = SpareAtOnce(aWave, pending.size(), aNow);
  // Machines that are still being drained do not count as down, so that spare ones need not wait.
  for (const Machine* machine : pending) {
    if (freePlaces > 0 && spareDown < spareAtOnce && isSpare(machine) &&
        machine->m_state == MachineState::Up) {
      ++spareDown;
      m_maintenanceCandidates.insert(machine->m_name);
      order(machine, machine->m_pool);
    }
  }
  for (const Machine* machine : pending) {
    if (isSpare(machine) || machine->m_state != MachineState::Up || machinesToDrain == 0) {
      continue;
    }
    --machinesToDrain;
    m_maintenanceCandidates.insert(machine->m_name);
    const std::string shard = ShardOf(*machine);
    aPlan.m_restrictions[shard].m_cordoned.insert(machine->m_name);
    if (IsDrained(shard, machine->m_name)) {
      order(machine, shard);
    }
  }
}

std::set<std::string> FleetPlanner::FindAwaitingMaintenance() const
{
  std::set<std::string> machines;
  for (const auto& [number, wave] : m_waves) {
    for (const std::string& name : wave.m_request.m_machines) {
      if (!wave.m_isCompleted && !wave.m_begun.contains(name)) {
        machines.insert(name);
      }
    }
  }
  return machines;
}

bool FleetPlanner::HasActiveOrder(const std::string& aMachine, TimePoint aNow) const
{
  const auto order = m_doneOrders.find(aMachine);
  return order != m_doneOrders.end() && aNow < order->second.m_unavailableUntil;
}

bool FleetPlanner::IsOrderAllowed(const std::string& aMachine, TimePoint aNow) const
{
  const auto retryAt = m_retryAt.find(aMachine);
  return retryAt == m_retryAt.end() || aNow >= retryAt->second;
}

bool FleetPlanner::IsDrained(const std::string& aShard, const std::string& aMachine) const
{
  const auto report = m_reports.find(aShard);
  return report != m_reports.end() && report->second.m_drained.contains(aMachine);
}

bool FleetPlanner::IsUsable(const Machine& aMachine, TimePoint aNow) const
{
  return aMachine.m_state == MachineState::Up && !HasActiveOrder(aMachine.m_name, aNow) &&
         IsOrderAllowed(aMachine.m_name, aNow);
}

std::string FleetPlanner::ShardOf(const Machine& aMachine) const
{
  return m_shards.Of(aMachine.m_pool, aMachine.m_name);
}

FleetPlan FleetPlanner::Plan(const Deployment& aDeployment, const ShardMap& aShards, TimePoint aNow)
{
  m_shards = aShards;
  FleetPlan plan;
  if (m_listedAt == TimePoint{}) {
    return plan;
  }
  m_awaitingMaintenance = FindAwaitingMaintenance();
  for (const std::string& name : m_awaitingMaintenance) {
    if (const auto machine = m_machines.find(name); machine != m_machines.end()) {
      plan.m_restrictions[ShardOf(machine->second)].m_awaitingMaintenance.insert(name);
    }
  }
  for (auto& [number, wave] : m_waves) {
    if (!wave.m_isCompleted) {
      PlanWave(wave, aDeployment, plan, aNow);
    }
  }
  PlanMoves(aDeployment, plan, aNow);
  return plan;
}

} // namespace mustardtray::job
