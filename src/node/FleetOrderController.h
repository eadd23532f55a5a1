#pragma once

/// Sends the orders to machines, for all pools, while this node holds the lease for machine orders:
/// maintenance in waves and moves between pools.

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "mustardtray/job/AllowancePlanner.h"
#include "mustardtray/job/AnnouncedOrders.h"
#include "mustardtray/job/FleetPlanner.h"
#include "mustardtray/job/Ownership.h"
#include "node/MachineListReader.h"
#include "node/NodeContext.h"
#include "node/PartitionReader.h"
#include "node/PoolBatchWriter.h"
#include "node/PoolOwner.h"

namespace mustardtray::node {

/// Sends a request to the pool's owner, on this node or another, and passes on the owner's report.
using SyncPoolFunction = std::function<void(const FleetSyncRequest& aRequest,
                                            std::function<void(Result<FleetReport>)> aDone)>;

/// Called with each complete list of machines.
using MachinesFunction = std::function<void(const std::vector<job::Machine>&)>;

class FleetOrderController
{
public:
  FleetOrderController(NodeContext& aContext,
                       const job::OwnerRow& aClaim,
                       SyncPoolFunction aSyncPool,
                       MachinesFunction aOnMachines,
                       std::function<void()> aOnLost);
  ~FleetOrderController();
  FleetOrderController(const FleetOrderController&) = delete;
  FleetOrderController& operator=(const FleetOrderController&) = delete;

  const job::OwnerRow& Claim() const { return m_claim; }
  void AddWave(const job::WaveRequest& aRequest);
  void Drain(std::function<void()> aDone);

private:
  /// Reads the state that earlier lease holders stored. No order is sent before it has been read.
  void LoadState();
  void LoadTable(const std::string& aTable, PartitionReader::RowsCallback aOnRows);
  void FinishLoading();
  void ListMachines();
  void Tick();
  /// Plans soon, so that reports which arrive together are planned together.
  void RequestPlan();
  /// Makes a plan and sends those of its orders that the pools' reports permit.
  void PlanOrders();
  /// Whether machines of the pool can be given orders; always true for the spare pool.
  bool HasValidReport(const std::string& aPool) const;
  /// Logs the shards whose number of machines or of wanted machines has changed.
  void LogBalances(const std::vector<job::ShardBalance>& aBalances);
  /// Divides the limits of client accounts among the shards of all pools.
  void PlanAllowances(const std::vector<std::string>& aShards);
  /// Logs the accounts that want most in relation to their limits.
  void LogAllowances() const;
  /// Sends the cordons to the pool's owner. Its report is planned with soon.
  void SyncPool(const std::string& aPool);
  void SendOrder(const job::MachineOrder& aOrder);
  /// Stores that the machine is about to get an order, then plans the pool's orders again.
  void StoreAnnouncement(const job::MachineOrder& aOrder);
  /// Plans again, with a new report of the pool if the latest one is no longer valid.
  void ReplanPoolOrders(const std::string& aPool);
  void OnOrderResult(const job::MachineOrder& aOrder, platform::MachineOrderResult aOrderResult);
  void WriteWaveStatus(std::uint64_t aWave, bool aIsCompleted);

  /// Calls to the owners of pools since the latest log line.
  struct SyncCounts
  {
    std::size_t m_all = 0;
    std::size_t m_failed = 0;
    std::size_t m_outdated = 0; ///< Reports that came too late to permit orders.
    Micros m_longest{ 0 };
  };

  NodeContext& m_context;
  job::OwnerRow m_claim;
  SyncPoolFunction m_syncPool;
  MachinesFunction m_onMachines;
  MachineListReader m_machineListReader;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  job::FleetPlanner m_planner;
  PoolBatchWriter m_batchWriter;
  PartitionReader m_reader;
  std::map<std::uint64_t, std::set<std::string>> m_startedMachinesByWave;
  std::vector<job::WaveRequest> m_deferredWaves;
  job::AllowancePlanner m_allowancePlanner;
  std::uint64_t m_accountsVersion = 0; ///< Configuration whose accounts the planner knows.
  job::FleetPlan m_plan;               ///< The latest one.
  TimePoint m_nextPlanAt{};            ///< Earliest time of a plan between two periodic ones.
  std::map<std::string, TimePoint> m_reportValidUntil; ///< By pool; see kReportValidity.
  Millis m_cordonTime = job::kMinCordonTime;           ///< See job::MachineRestrictions.
  std::set<std::string> m_pendingSyncs;
  std::map<std::string, TimePoint> m_syncedAt; ///< When a pool's owner was last asked.
  /// Logged machines and wanted machines, by shard.
  std::map<std::string, std::pair<std::size_t, std::size_t>> m_loggedBalances;
  TimePoint m_balancesLoggedAt{};
  SyncCounts m_syncCounts;
  std::set<std::string> m_pendingOrders;
  std::set<std::uint64_t> m_pendingStatusWrites;
  job::AnnouncedOrders m_announcedOrders;
  std::set<std::string> m_pendingAnnouncements;
  std::size_t m_tablesToLoad = 0;
  bool m_isLoaded = false;
  bool m_isDraining = false;
  TimerHandle m_periodicTimer;
  TimerHandle m_planTimer;
  TimerHandle m_listTimer;
  TimerHandle m_drainTimer;
};

} // namespace mustardtray::node
