#pragma once

/// Decides which machines are put into maintenance and moved next. Designed for maintenance waves
/// over half of the machines while one queue after the other asks for many times its mean load.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/job/Deployment.h"
#include "mustardtray/job/PoolScheduler.h"
#include "mustardtray/job/Shards.h"

namespace mustardtray::job {

/// Time until a shard's owner knows the minion of a machine that is up, and until a new owner knows
/// the minions of its shard.
inline constexpr Millis kMinionArrivalTime{ 2'500 };

struct WaveState
{
  WaveRequest m_request;
  std::set<std::string> m_begun; ///< Machines whose maintenance has started.
  TimePoint m_plannedSince{};    ///< When this planner first planned the wave.
  bool m_isCompleted = false;
};

/// State of one shard as its owner reports it.
struct PoolReport
{
  PoolLoad m_load;
  std::set<std::string> m_drained; ///< Cordoned machines that may be taken: no work runs there.
  std::vector<std::string> m_idle; ///< Machines on which nothing runs.
  TimePoint m_reportedAt{};
};

struct MachineOrder
{
  std::string m_machine;
  std::uint64_t m_wave = 0; ///< Number of the maintenance wave; 0 for a move.
  std::string m_pool;       ///< Destination pool of a move.
  std::string m_from;       ///< Shard of the machine, or the spare pool.
};

/// Number of machines that a shard has and needs.
struct ShardBalance
{
  std::string m_shard;
  std::size_t m_machines = 0; ///< Machines of the shard, including those being moved to it.
  std::size_t m_wantedMachines = 0;
  /// Waiting units that need further machines, beyond those that are on their way.
  std::vector<UnplacedUnits> m_unplaced;
};

struct FleetPlan
{
  std::map<std::string, MachineRestrictions> m_restrictions; ///< By shard.
  std::vector<MachineOrder> m_orders;
  std::vector<std::uint64_t> m_completedWaves;
  std::vector<ShardBalance> m_balances; ///< Before the moves of this plan.
};

struct FleetTimes
{
  Millis m_maintenanceTime{ 2'000 };
  Millis m_moveTime{ 1'500 };
};

class FleetPlanner
{
public:
  explicit FleetPlanner(FleetTimes aTimes)
    : m_times(aTimes)
  {
  }

  /// aAskedAt: when the list was requested.
  void SetMachines(std::vector<Machine> aMachines, TimePoint aAskedAt);
  void AddWave(const WaveRequest& aRequest, std::set<std::string> aBegun);
  /// Stores the latest report from the owner of a shard.
  void SetReport(const std::string& aPool, PoolReport aReport);
  /// Called when restrictions are sent to the owner of a shard. From then on it may give work to
  /// the machines that they do not cordon.
  void OnRestrictionsSent(const std::string& aPool, const MachineRestrictions& aRestrictions);
  /// Called when an order is sent.
  void OnOrderSent(const MachineOrder& aOrder);
  /// Called when an order was carried out.
  void OnOrderDone(const MachineOrder& aOrder, TimePoint aNow);
  /// Called when an order was not carried out.
  void OnOrderFailed(const MachineOrder& aOrder, TimePoint aNow);
  /// Called when it is not known whether an order was or will be carried out.
  void OnOrderUnanswered(const MachineOrder& aOrder, TimePoint aNow);

  FleetPlan Plan(const Deployment& aDeployment, const ShardMap& aShards, TimePoint aNow);
  const std::map<std::uint64_t, WaveState>& Waves() const { return m_waves; }
  void MarkCompleted(std::uint64_t aWave) { m_waves.at(aWave).m_isCompleted = true; }

private:
  std::vector<ShardBalance> Balances(const Deployment& aDeployment, TimePoint aNow) const;
  /// Machines of a shard; those that are being moved to it or have just arrived come first.
  struct ShardMachines
  {
    std::vector<const Machine*> m_machines;
    std::size_t m_arriving = 0;
  };
  std::map<std::string, ShardMachines> MachinesByShard(TimePoint aNow) const;
  /// Moves machines that can hold units which fit on no minion of their shard.
  void PlanUnplaced(std::vector<ShardBalance>& aBalances,
                    std::vector<std::string>& aSpareMachines,
                    const std::string& aSparePool,
                    FleetPlan& aPlan,
                    TimePoint aNow);
  void PlanMoves(const Deployment& aDeployment, FleetPlan& aPlan, TimePoint aNow);
  /// Idle machines of a shard that can be moved out of it, without those that the current plan has
  /// taken.
  std::vector<std::string>& RemovableMachines(const std::string& aPool,
                                              const FleetPlan& aPlan,
                                              TimePoint aNow);
  void BeginMove(const std::string& aMachine,
                 const std::string& aFrom,
                 const std::string& aTo,
                 FleetPlan& aPlan,
                 TimePoint aNow);
  bool IsUsable(const Machine& aMachine, TimePoint aNow) const;
  /// Whether an order of this planner is being carried out on the machine.
  bool HasActiveOrder(const std::string& aMachine, TimePoint aNow) const;
  /// Whether the machine may get an order: it is delayed after an order that failed.
  bool IsOrderAllowed(const std::string& aMachine, TimePoint aNow) const;
  bool IsDrained(const std::string& aShard, const std::string& aMachine) const;
  std::string ShardOf(const Machine& aMachine) const;
  /// Sorts the machines of a wave: those that are being drained for it first, then those of shards
  /// with little load.
  void SortForMaintenance(std::vector<const Machine*>& aMachines) const;
  void PlanWave(WaveState& aWave, const Deployment& aDeployment, FleetPlan& aPlan, TimePoint aNow);
  /// Number of spare machines in maintenance at a time that finishes the wave in time. Spare
  /// machines are the reserve for a sudden load, so no more are taken.
  std::size_t SpareAtOnce(const WaveState& aWave, std::size_t aPending, TimePoint aNow) const;
  double PoolUtilization(const std::string& aPool) const;
  /// Machines of waves that are not completed whose maintenance has not begun.
  std::set<std::string> FindAwaitingMaintenance() const;

  FleetTimes m_times;
  std::map<std::string, Machine> m_machines;
  ShardMap m_shards;
  TimePoint m_listedAt{};
  std::map<std::uint64_t, WaveState> m_waves;
  std::map<std::string, PoolReport> m_reports;
  /// An order of this planner that was carried out.
  struct DoneOrder
  {
    TimePoint m_doneAt{};
    TimePoint m_unavailableUntil{}; ///< Latest time until which the machine is unavailable.
    std::string m_movedTo;          ///< Destination pool of a move; empty for maintenance.
  };
  std::map<std::string, DoneOrder> m_doneOrders; ///< Latest order of each machine.
  std::map<std::string, TimePoint> m_retryAt;    ///< Next attempt after a failed order.
  /// Machines with maintenance orders that are sent and not known to have failed, by wave. They may
  /// be down.
  std::map<std::uint64_t, std::set<std::string>> m_openMaintenance;
  std::set<std::string> m_inFlight;              ///< Machines whose orders have no result yet.
  std::set<std::string> m_awaitingMaintenance;   ///< See FindAwaitingMaintenance().
  std::set<std::string> m_maintenanceCandidates; ///< Machines cordoned for maintenance.
  /// A move that waits until no work is left on its machine.
  struct PendingMove
  {
    std::string m_from;
    std::string m_to;
    TimePoint m_at{};
  };
  std::map<std::string, PendingMove> m_pendingMoves;
  std::map<std::string, TimePoint> m_surplusSince;             ///< By shard.
  std::map<std::string, std::vector<std::string>> m_removable; ///< See RemovableMachines().
  std::map<std::string, TimePoint> m_arrivedAt; ///< Latest arrival of a moved machine.
};

} // namespace mustardtray::job
