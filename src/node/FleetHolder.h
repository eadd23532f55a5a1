#pragma once

/// Sends the orders to machines, for all pools, while this node holds the lease for machine orders:
/// maintenance in waves and moves between pools.

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "mustardtray/job/AnnouncedOrders.h"
#include "mustardtray/job/FleetPlanner.h"
#include "mustardtray/job/Ownership.h"
#include "node/NodeContext.h"
#include "node/PoolJournal.h"
#include "node/PoolOwner.h"

namespace mustardtray::node {

/// Sends the cordoned machines to the pool's owner, on this node or another, and passes on the
/// owner's report.
using FleetSync = std::function<void(const std::string& aPool,
                                     const std::set<std::string>& aCordons,
                                     std::function<void(Result<FleetReport>)> aDone)>;

class FleetHolder
{
public:
  FleetHolder(NodeContext& aContext,
              const job::OwnerRow& aClaim,
              FleetSync aSync,
              std::function<void()> aOnLost);
  ~FleetHolder();
  FleetHolder(const FleetHolder&) = delete;
  FleetHolder& operator=(const FleetHolder&) = delete;

  const job::OwnerRow& Claim() const { return m_claim; }
  void AddWave(const job::WaveRequest& aRequest);
  void Drain(std::function<void()> aDone);

private:
  /// Reads the state that earlier lease holders stored. No order is sent before it has been read.
  void Load();
  void LoadTable(const std::string& aTable,
                 std::function<void(const std::vector<platform::Row>&)> aOnRows);
  void FinishLoading();
  void ListMachines();
  void Tick();
  /// Sends the cordons to the pool's owner, then sends the orders that its report permits.
  void Sync(const std::string& aPool);
  void CarryOut(const job::FleetPlan& aPlan, const std::string& aPool);
  void Order(const job::MachineOrder& aOrder);
  /// Stores that the machine is about to get an order, then plans the pool's orders again.
  void Announce(const job::MachineOrder& aOrder);
  void SyncOrCarryOut(const std::string& aPool);
  void OnOrder(const job::MachineOrder& aOrder, platform::MachineOrderVerdict aVerdict);
  void WriteStatus(std::uint64_t aWave, bool aIsCompleted);

  NodeContext& m_context;
  job::OwnerRow m_claim;
  FleetSync m_sync;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  job::FleetPlanner m_planner;
  PoolJournal m_journal;
  std::map<std::uint64_t, std::set<std::string>> m_storedWaves;
  std::vector<job::WaveRequest> m_earlyWaves;
  std::map<std::string, std::set<std::string>> m_cordons;
  std::set<std::string> m_syncing;
  std::set<std::string> m_ordering;
  std::set<std::uint64_t> m_writingStatus;
  job::AnnouncedOrders m_announced;
  std::set<std::string> m_announcing;
  std::size_t m_tablesLeft = 0;
  bool m_isLoaded = false;
  bool m_isDraining = false;
  bool m_isListing = false;
  TimerHandle m_tick;
  TimerHandle m_listTimer;
  std::map<std::string, TimerHandle> m_retries; ///< Timers of repeated reads, by table.
  TimerHandle m_drainPoll;
};

} // namespace mustardtray::node
