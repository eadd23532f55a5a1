#include "mustardtray/job/FleetPlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mustardtray::job {

namespace {

/// Maximum delay from the end of an order until the machine list shows the machine as up again.
constexpr Millis kMachineListDelay{ 1'200 };
constexpr Millis kOrderRetryDelay{ 700 };
/// Older reports are ignored: they no longer reflect the load.
constexpr Millis kMaxReportAge{ 1'500 };
/// Accounts for minions that are never completely full and for work that arrives before the
/// machines.
constexpr double kArrivalMargin = 1.2;
/// Machines that a pool keeps at any load, so that occasional jobs find free capacity.
constexpr std::size_t kMinMachines = 1;
/// Surplus machines go back to the spare pool after this time. An idle machine costs as much as a
/// move there and back in about two seconds.
constexpr Millis kSurplusDelay{ 600 };
/// A move is given up when its machine still has work after this time.
constexpr Millis kMoveTimeout{ 1'500 };
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
      m_doneOrders.erase(order);
    }
    m_machines.emplace(machine.m_name, std::move(machine));
  }
  m_listedAt = aAskedAt;
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

void FleetPlanner::OnOrderDone(const MachineOrder& aOrder, TimePoint aNow)
{
  const Millis unavailableTime = aOrder.m_wave > 0 ? m_times.m_maintenanceTime : m_times.m_moveTime;
  m_doneOrders[aOrder.m_machine] = { aNow,
                                     aNow + unavailableTime + kMachineListDelay,
                                     aOrder.m_pool };
  m_maintenanceCandidates.erase(aOrder.m_machine);
  m_pendingMoves.erase(aOrder.m_machine);
  if (aOrder.m_wave > 0) {
    m_waves.at(aOrder.m_wave).m_begun.insert(aOrder.m_machine);
  }
}

void FleetPlanner::OnOrderFailed(const MachineOrder& aOrder, TimePoint aNow)
{
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

void FleetPlanner::PlanWave(WaveState& aWave,
                            const Deployment& aDeployment,
                            FleetPlan& aPlan,
                            TimePoint aNow)
{
  const PoolSpec* spare = aDeployment.SparePool();
  std::vector<const Machine*> pending;
  std::uint32_t down = 0;
  std::size_t spareDown = 0;
  if (aWave.m_plannedSince == TimePoint{}) {
    aWave.m_plannedSince = aNow;
  }
  for (const std::string& name : aWave.m_request.m_machines) {
    const auto found = m_machines.find(name);
    if (found == m_machines.end()) {
      continue; // The machine was removed.
    }
    const bool hasStarted = aWave.m_begun.contains(name);
    if (found->second.m_state == MachineState::Maintenance ||
        (hasStarted && HasActiveOrder(name, aNow))) {
      ++down;
      spareDown += spare && found->second.m_pool == spare->m_name ? 1 : 0;
    }
    if (!hasStarted) {
      pending.push_back(&found->second);
    }
  }
  if (pending.empty()) {
    aPlan.m_completedWaves.push_back(aWave.m_request.m_number);
    return;
  }
  const auto isSpare = [&](const Machine* aMachine) {
    return spare && aMachine->m_pool == spare->m_name;
  };
  const auto key = [&](const Machine* aMachine) {
    const bool isChosen = m_maintenanceCandidates.contains(aMachine->m_name);
    return std::tuple(!isChosen, PoolUtilization(ShardOf(*aMachine)), aMachine->m_name);
  };
  std::sort(pending.begin(), pending.end(), [&](const Machine* aLeft, const Machine* aRight) {
    return key(aLeft) < key(aRight);
  });
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

std::vector<ShardBalance> FleetPlanner::Balances(const Deployment& aDeployment,
                                                 TimePoint aNow) const
{
  std::int64_t cpu = 0;
  std::map<std::string, std::size_t> counts;
  for (const auto& [name, machine] : m_machines) {
    cpu += machine.m_capacity.m_cpu;
    const auto order = m_doneOrders.find(name);
    const bool isMoving = HasActiveOrder(name, aNow) && !order->second.m_movedTo.empty();
    if (machine.m_state != MachineState::Down) {
      ++counts[isMoving ? m_shards.Of(order->second.m_movedTo, name) : ShardOf(machine)];
    }
  }
  std::vector<ShardBalance> balances;
  if (m_machines.empty() || cpu == 0) {
    return balances;
  }
  const double machineCpu = static_cast<double>(cpu) / static_cast<double>(m_machines.size());
  std::vector<std::string> shards;
  for (const PoolSpec& pool : aDeployment.m_pools) {
    const std::vector<std::string> names = m_shards.Names(pool.m_name);
    if (!pool.m_isSpare) {
      shards.insert(shards.end(), names.begin(), names.end());
    }
  }
  for (const std::string& shard : shards) {
    const auto found = m_reports.find(shard);
    if (found == m_reports.end() || aNow - found->second.m_reportedAt > kMaxReportAge) {
      continue;
    }
    const PoolLoad& load = found->second.m_load;
    const double cores = std::max(load.m_backlogCores, load.m_arrivingCores * kArrivalMargin);
    const double batch = cores * 1'000.0; // In thousandths of a core, like capacities.
    const double need = (static_cast<double>(load.m_longRunningCpu) + batch) / machineCpu;
    ShardBalance balance;
    balance.m_shard = shard;
    balance.m_machines = counts[shard];
    balance.m_wantedMachines =
      std::max({ static_cast<std::size_t>(std::ceil(need)), load.m_spreadMinions, kMinMachines });
    if (load.m_lacksMemory) {
      // The need above only counts CPU. Machines are added one at a time until there is enough
      // memory.
      balance.m_wantedMachines = std::max(balance.m_wantedMachines, balance.m_machines + 1);
    }
    balances.push_back(balance);
  }
  return balances;
}

std::vector<std::string> FleetPlanner::RemovableMachines(const std::string& aPool,
                                                         const FleetPlan& aPlan,
                                                         TimePoint aNow) const
{
  std::vector<std::string> removable;
  const auto report = m_reports.find(aPool);
  const auto restrictions = aPlan.m_restrictions.find(aPool);
  if (report == m_reports.end()) {
    return removable;
  }
  for (const std::string& name : report->second.m_idle) {
    const auto machine = m_machines.find(name);
    const bool isTaken =
      restrictions != aPlan.m_restrictions.end() && restrictions->second.m_cordoned.contains(name);
    if (machine != m_machines.end() && ShardOf(machine->second) == aPool && !isTaken &&
        IsUsable(machine->second, aNow) && !m_pendingMoves.contains(name)) {
      removable.push_back(name);
    }
  }
  std::stable_partition(removable.begin(), removable.end(), [&](const std::string& aName) {
    return m_awaitingMaintenance.contains(aName);
  });
  return removable;
}

void FleetPlanner::BeginMove(const std::string& aMachine,
                             const std::string& aFrom,
                             const std::string& aTo,
                             FleetPlan& aPlan,
                             TimePoint aNow)
{
  m_pendingMoves[aMachine] = { aFrom, aTo, aNow };
  aPlan.m_restrictions[aFrom].m_cordoned.insert(aMachine);
}

void FleetPlanner::PlanMoves(const Deployment& aDeployment, FleetPlan& aPlan, TimePoint aNow)
{
  const PoolSpec* spare = aDeployment.SparePool();
  if (!spare) {
    return;
  }
  for (auto pendingMove = m_pendingMoves.begin(); pendingMove != m_pendingMoves.end();) {
    const auto& [name, move] = *pendingMove;
    const auto machine = m_machines.find(name);
    const bool isStale = machine == m_machines.end() || ShardOf(machine->second) != move.m_from ||
                         !IsUsable(machine->second, aNow) ||
                         m_maintenanceCandidates.contains(name) || aNow - move.m_at > kMoveTimeout;
    if (isStale) {
      pendingMove = m_pendingMoves.erase(pendingMove);
      continue;
    }
    aPlan.m_restrictions[move.m_from].m_cordoned.insert(name);
    if (IsDrained(move.m_from, name)) {
      aPlan.m_orders.push_back({ name, 0, ShardMap::PoolOf(move.m_to), move.m_from });
    }
    ++pendingMove;
  }
  std::vector<ShardBalance> balances = Balances(aDeployment, aNow);
  for (ShardBalance& balance : balances) {
    for (const auto& [name, move] : m_pendingMoves) {
      balance.m_machines += move.m_to == balance.m_shard ? 1 : 0;
      balance.m_machines -= move.m_from == balance.m_shard && balance.m_machines > 0 ? 1 : 0;
    }
  }
  aPlan.m_balances = balances;
  std::vector<std::string> spareMachines;
  for (const auto& [name, machine] : m_machines) {
    if (machine.m_pool == spare->m_name && IsUsable(machine, aNow) &&
        !m_maintenanceCandidates.contains(name)) {
      spareMachines.push_back(name);
    }
  }
  // Machines that wait for maintenance are moved last: in the spare pool they need no draining.
  std::stable_partition(spareMachines.begin(), spareMachines.end(), [&](const std::string& aName) {
    return !m_awaitingMaintenance.contains(aName);
  });
  // The shard that lacks the most machines in proportion comes first.
  std::sort(
    balances.begin(), balances.end(), [](const ShardBalance& aLeft, const ShardBalance& aRight) {
      return static_cast<double>(aLeft.m_wantedMachines) /
               static_cast<double>(aLeft.m_machines + 1) >
             static_cast<double>(aRight.m_wantedMachines) /
               static_cast<double>(aRight.m_machines + 1);
    });
  for (ShardBalance& receiver : balances) {
    const std::string pool = ShardMap::PoolOf(receiver.m_shard);
    for (auto name = spareMachines.begin();
         name != spareMachines.end() && receiver.m_machines < receiver.m_wantedMachines;) {
      if (m_shards.Of(pool, *name) != receiver.m_shard) {
        ++name; // The machine belongs to another shard of the pool.
        continue;
      }
      aPlan.m_orders.push_back({ *name, 0, pool, spare->m_name });
      name = spareMachines.erase(name);
      ++receiver.m_machines;
    }
    for (ShardBalance& donor : balances) {
      for (const std::string& name : RemovableMachines(donor.m_shard, aPlan, aNow)) {
        const bool isUseful = receiver.m_machines < receiver.m_wantedMachines &&
                              donor.m_machines > donor.m_wantedMachines;
        if (isUseful && ShardMap::PoolOf(donor.m_shard) != pool &&
            m_shards.Of(pool, name) == receiver.m_shard) {
          BeginMove(name, donor.m_shard, receiver.m_shard, aPlan, aNow);
          ++receiver.m_machines;
          --donor.m_machines;
        }
      }
    }
  }
  for (ShardBalance& donor : balances) {
    if (donor.m_machines <= donor.m_wantedMachines) {
      m_surplusSince.erase(donor.m_shard);
      continue;
    }
    const TimePoint since = m_surplusSince.emplace(donor.m_shard, aNow).first->second;
    if (aNow - since < kSurplusDelay) {
      continue;
    }
    for (const std::string& name : RemovableMachines(donor.m_shard, aPlan, aNow)) {
      if (donor.m_machines > donor.m_wantedMachines) {
        BeginMove(name, donor.m_shard, spare->m_name, aPlan, aNow);
        --donor.m_machines;
      }
    }
  }
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
