#pragma once

/// Decides which machines are maintained and moved next. Load that it answers: waves of maintenance
/// over half the machines while queues ask many times their mean in turn.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/job/Deployment.h"
#include "mustardtray/job/PoolScheduler.h"
#include "mustardtray/job/Shards.h"

namespace mustardtray::job {

struct WaveState
{
  WaveRequest m_request;
  std::set<std::string> m_begun; ///< Machines whose maintenance has begun.
  bool m_isCompleted = false;
};

/// What is known of one pool.
struct PoolReport
{
  PoolLoad m_load;
  std::set<std::string> m_clear;   ///< Cordoned machines on which nothing runs.
  std::vector<std::string> m_idle; ///< Machines without work.
  TimePoint m_reportedAt{};
};

struct MachineOrder
{
  std::string m_machine;
  std::uint64_t m_wave = 0; ///< Maintenance of this wave; 0: a move.
  std::string m_pool;       ///< Destination of a move.
  std::string m_from;       ///< Shard that the machine is in.
};

struct FleetPlan
{
  std::map<std::string, std::set<std::string>> m_cordons; ///< By shard.
  std::vector<MachineOrder> m_orders;
  std::vector<std::uint64_t> m_completedWaves;
};

struct FleetTimes
{
  Millis m_upkeepTime{ 2'000 };
  Millis m_moveTime{ 1'500 };
};

class FleetPlanner
{
public:
  explicit FleetPlanner(FleetTimes aTimes)
    : m_times(aTimes)
  {
  }

  /// aAskedAt: when the list was asked for.
  void SetMachines(std::vector<Machine> aMachines, TimePoint aAskedAt);
  void AddWave(const WaveRequest& aRequest, std::set<std::string> aBegun);
  /// What the owner of a shard says.
  void SetReport(const std::string& aPool, PoolReport aReport);
  /// The order was carried out.
  void OnOrderDone(const MachineOrder& aOrder, TimePoint aNow);
  /// The order was not carried out, or it is not known whether it was.
  void OnOrderFailed(const MachineOrder& aOrder, TimePoint aNow);

  FleetPlan Plan(const Deployment& aDeployment, const ShardMap& aShards, TimePoint aNow);
  const std::map<std::uint64_t, WaveState>& Waves() const { return m_waves; }
  void MarkCompleted(std::uint64_t aWave) { m_waves.at(aWave).m_isCompleted = true; }

private:
  /// A shard as the planner of moves sees it.
  struct PoolBalance
  {
    std::string m_pool;         ///< Name of the shard.
    std::size_t m_machines = 0; ///< Up, or on their way to it.
    std::size_t m_wanted = 0;
  };

  std::vector<PoolBalance> Balances(const Deployment& aDeployment, TimePoint aNow) const;
  void PlanMoves(const Deployment& aDeployment, FleetPlan& aPlan, TimePoint aNow);
  /// Machines of a pool that can leave it: those without work first.
  std::vector<std::string> Leavers(const std::string& aPool,
                                   const FleetPlan& aPlan,
                                   TimePoint aNow) const;
  void ChooseMove(const std::string& aMachine,
                  const std::string& aFrom,
                  const std::string& aTo,
                  FleetPlan& aPlan,
                  TimePoint aNow);
  bool IsUsable(const Machine& aMachine, TimePoint aNow) const;
  /// Whether an order of ours is being carried out on the machine.
  bool IsUnderOrder(const std::string& aMachine, TimePoint aNow) const;
  /// Whether an order may be tried: not right after one that failed.
  bool MayOrder(const std::string& aMachine, TimePoint aNow) const;
  bool IsClear(const std::string& aShard, const std::string& aMachine) const;
  std::string ShardOf(const Machine& aMachine) const;
  void PlanWave(WaveState& aWave, const Deployment& aDeployment, FleetPlan& aPlan, TimePoint aNow);
  double PoolPressure(const std::string& aPool) const;

  FleetTimes m_times;
  std::map<std::string, Machine> m_machines;
  ShardMap m_shards;
  TimePoint m_listedAt{};
  std::map<std::uint64_t, WaveState> m_waves;
  std::map<std::string, PoolReport> m_reports;
  /// An order of ours that was carried out.
  struct DoneOrder
  {
    TimePoint m_doneAt{};
    TimePoint m_awayUntil{}; ///< Latest time at which the machine is still away for it.
    std::string m_movedTo;   ///< Destination of a move; empty for maintenance.
  };
  std::map<std::string, DoneOrder> m_doneOrders; ///< By machine; the latest one.
  std::map<std::string, TimePoint> m_notBefore;  ///< Machines whose order failed.
  std::set<std::string> m_chosen;                ///< Machines cordoned for maintenance.
  /// A move that waits for its machine to be clear.
  struct ChosenMove
  {
    std::string m_from;
    std::string m_to;
    TimePoint m_at{};
  };
  std::map<std::string, ChosenMove> m_chosenMoves;
  std::map<std::string, TimePoint> m_surplusSince; ///< By pool.
};

} // namespace mustardtray::job
