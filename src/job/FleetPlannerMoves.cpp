#include "mustardtray/job/FleetPlanner.h"

#include <algorithm>
#include <cmath>

/// Moves of machines between pools: how many machines each shard needs, and which are moved.

namespace mustardtray::job {

namespace {

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

} // namespace

std::map<std::string, FleetPlanner::ShardMachines> FleetPlanner::MachinesByShard(
  TimePoint aNow) const
{
  // A machine that is moved from the spare pool would not be there earlier.
  const bool isMaintenanceShort = m_times.m_maintenanceTime <= 2 * m_times.m_moveTime;
  std::map<std::string, ShardMachines> shards;
  for (const auto& [name, machine] : m_machines) {
    if (machine.m_state == MachineState::Down) {
      continue;
    }
    const auto order = m_doneOrders.find(name);
    const bool isMoving = HasActiveOrder(name, aNow) && !order->second.m_movedTo.empty();
    const auto arrival = m_arrivedAt.find(name);
    const bool hasJustArrived =
      arrival != m_arrivedAt.end() && aNow - arrival->second < kMinionArrivalTime;
    const bool isArriving = isMoving || hasJustArrived || machine.m_state == MachineState::Moving ||
                            (machine.m_state == MachineState::Maintenance && isMaintenanceShort);
    ShardMachines& shard =
      shards[isMoving ? m_shards.Of(order->second.m_movedTo, name) : ShardOf(machine)];
    shard.m_machines.push_back(&machine);
    if (isArriving) {
      std::swap(shard.m_machines.back(), shard.m_machines[shard.m_arriving++]);
    }
  }
  return shards;
}

std::vector<ShardBalance> FleetPlanner::Balances(const Deployment& aDeployment,
                                                 TimePoint aNow) const
{
  std::int64_t cpu = 0;
  for (const auto& [name, machine] : m_machines) {
    cpu += machine.m_capacity.m_cpu;
  }
  std::map<std::string, ShardMachines> machinesByShard = MachinesByShard(aNow);
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
    const ShardMachines& machines = machinesByShard[shard];
    balance.m_machines = machines.m_machines.size();
    balance.m_wantedMachines = std::max({ static_cast<std::size_t>(std::ceil(need)),
                                          load.m_spreadMinions,
                                          load.m_hostMinions,
                                          kMinMachines });
    if (load.m_lacksMemory) {
      // The need above only counts CPU. Machines are added one at a time until there is enough
      // memory.
      balance.m_wantedMachines = std::max(balance.m_wantedMachines, balance.m_machines + 1);
    }
    balance.m_unplaced = load.m_unplaced;
    const std::size_t unknown =
      balance.m_machines > load.m_minions ? balance.m_machines - load.m_minions : 0;
    const std::size_t arriving =
      load.m_ownerAge < kMinionArrivalTime ? unknown : std::min(unknown, machines.m_arriving);
    for (std::size_t i = 0; i < arriving; ++i) {
      TakeUnitsFor(*machines.m_machines[i], balance.m_unplaced);
    }
    if (arriving > 0 && !load.m_unplaced.empty()) {
      // The idle machines of the shard may be needed together with those that arrive.
      balance.m_wantedMachines = std::max(balance.m_wantedMachines, balance.m_machines);
    }
    balances.push_back(balance);
  }
  return balances;
}

std::vector<std::string>& FleetPlanner::RemovableMachines(const std::string& aPool,
                                                          const FleetPlan& aPlan,
                                                          TimePoint aNow)
{
  const auto [entry, isNew] = m_removable.try_emplace(aPool);
  std::vector<std::string>& removable = entry->second;
  const auto report = m_reports.find(aPool);
  const auto restrictions = aPlan.m_restrictions.find(aPool);
  if (!isNew || report == m_reports.end()) {
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

void FleetPlanner::PlanUnplaced(std::vector<ShardBalance>& aBalances,
                                std::vector<std::string>& aSpareMachines,
                                const std::string& aSparePool,
                                FleetPlan& aPlan,
                                TimePoint aNow)
{
  const auto takeUnits = [this](ShardBalance& aReceiver, const std::string& aName) {
    const Machine& machine = m_machines.at(aName);
    const bool isOfShard =
      m_shards.Of(ShardMap::PoolOf(aReceiver.m_shard), aName) == aReceiver.m_shard;
    return isOfShard && TakeUnitsFor(machine, aReceiver.m_unplaced);
  };
  for (ShardBalance& receiver : aBalances) {
    const std::string pool = ShardMap::PoolOf(receiver.m_shard);
    // A part of a gang would only keep machines from others.
    std::erase_if(receiver.m_unplaced, [&](const UnplacedUnits& aUnits) {
      ShardBalance gang{ receiver.m_shard, 0, 0, { aUnits } };
      for (const std::string& name : aSpareMachines) {
        takeUnits(gang, name);
      }
      return aUnits.m_isGang && !gang.m_unplaced.empty();
    });
    for (auto name = aSpareMachines.begin();
         name != aSpareMachines.end() && !receiver.m_unplaced.empty();) {
      if (!takeUnits(receiver, *name)) {
        ++name;
        continue;
      }
      aPlan.m_orders.push_back({ *name, 0, pool, aSparePool });
      name = aSpareMachines.erase(name);
      ++receiver.m_machines;
    }
    for (ShardBalance& donor : aBalances) {
      if (receiver.m_unplaced.empty() || ShardMap::PoolOf(donor.m_shard) == pool) {
        continue;
      }
      std::erase_if(RemovableMachines(donor.m_shard, aPlan, aNow), [&](const std::string& aName) {
        const bool isTaken =
          donor.m_machines > donor.m_wantedMachines && takeUnits(receiver, aName);
        if (isTaken) {
          BeginMove(aName, donor.m_shard, receiver.m_shard, aPlan, aNow);
          ++receiver.m_machines;
          --donor.m_machines;
        }
        return isTaken;
      });
    }
  }
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
    const bool isStale =
      machine == m_machines.end() ||
      (!m_inFlight.contains(name) &&
       (ShardOf(machine->second) != move.m_from || !IsUsable(machine->second, aNow) ||
        m_maintenanceCandidates.contains(name) || aNow - move.m_at > kMoveTimeout));
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
  m_removable.clear();
  std::vector<ShardBalance> balances = Balances(aDeployment, aNow);
  for (ShardBalance& balance : balances) {
    for (const auto& [name, move] : m_pendingMoves) {
      if (move.m_to == balance.m_shard) {
        ++balance.m_machines;
        TakeUnitsFor(m_machines.at(name), balance.m_unplaced);
      }
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
  PlanUnplaced(balances, spareMachines, spare->m_name, aPlan, aNow);
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
      if (receiver.m_machines >= receiver.m_wantedMachines) {
        break;
      }
      if (donor.m_machines <= donor.m_wantedMachines || ShardMap::PoolOf(donor.m_shard) == pool) {
        continue;
      }
      std::erase_if(RemovableMachines(donor.m_shard, aPlan, aNow), [&](const std::string& aName) {
        const bool isTaken = receiver.m_machines < receiver.m_wantedMachines &&
                             donor.m_machines > donor.m_wantedMachines &&
                             m_shards.Of(pool, aName) == receiver.m_shard;
        if (isTaken) {
          BeginMove(aName, donor.m_shard, receiver.m_shard, aPlan, aNow);
          ++receiver.m_machines;
          --donor.m_machines;
        }
        return isTaken;
      });
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

} // namespace mustardtray::job
