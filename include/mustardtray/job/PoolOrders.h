#pragma once

/// What a pool's scheduler returns: orders to send, and its state for the planner and for logs.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/job/AdviceCache.h"
#include "mustardtray/job/CrashHistory.h"
#include "mustardtray/job/FairShare.h"
#include "mustardtray/job/LocalityWait.h"
#include "mustardtray/job/Minion.h"
#include "mustardtray/job/Placement.h"
#include "mustardtray/job/PlacementForecast.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// A crash of a minion, for logs.
struct CrashNotice
{
  MinionCrash m_crash;
  std::vector<std::string> m_isolatedUnits; ///< Suspects that are isolated from now on.
  std::vector<std::string> m_deadlyUnits;   ///< Suspects that are given up.
  /// Counts of each suspect after the crash; nothing for a unit that has ended since.
  std::vector<std::optional<CrashCounts>> m_counts;
};

/// Orders and requests to send, and jobs to save.
struct PoolOrders
{
  std::vector<StartOrder> m_starts;
  std::vector<StopOrder> m_stops;
  std::vector<ThrottleOrder> m_throttles;
  std::vector<AdviceRequest> m_adviceRequests;
  std::vector<CrashNotice> m_crashes;
  std::vector<std::string> m_lapsedCordons; ///< Machines whose cordons have not been renewed.
  std::optional<LocalityWaitNotice> m_localityWait;              ///< One of those that have ended.
  std::map<LocalityReason, std::size_t> m_localityWaitsByReason; ///< All that have ended.
  std::vector<std::string> m_unsavedJobs; ///< Jobs whose progress has to be written to the store.
};

/// Load of a pool, for the planner of machine moves. CPU is in thousandths of a core.
struct PoolLoad
{
  std::int64_t m_capacityCpu = 0; ///< Of registered minions that are not cordoned.
  std::int64_t m_usedCpu = 0;
  std::int64_t m_waitingCpu = 0;     ///< Of units that wait only for free capacity.
  std::int64_t m_longRunningCpu = 0; ///< Reserved by long-running units.
  double m_backlogCores = 0;         ///< Usable now by accepted and recently refused jobs.
  double m_arrivingCores = 0;        ///< Kept busy by recent arrivals; see ArrivalRate.
  /// Whether a unit waits although minions have the CPU for it, because they lack the memory.
  bool m_lacksMemory = false;
  std::size_t m_spreadMinions = 0;       ///< Needed to spread the widest long-running step.
  std::size_t m_minions = 0;             ///< Registered minions that are not cordoned.
  std::size_t m_hostMinions = 0;         ///< See PlacementForecast::m_hosts.
  Millis m_ownerAge{ 0 };                ///< Time since the owner took over the pool.
  std::vector<UnplacedUnits> m_unplaced; ///< Waiting units that fit on no minion of the pool.
};

/// A step with units that wait, and what keeps them from the pool's minions.
struct WaitingStep
{
  std::string m_name;      ///< As the placement advisor names it.
  std::size_t m_units = 0; ///< Units that wait.
  bool m_isLongRunning = false;
  bool m_waitsForRecovery = false; ///< Minions of an earlier owner have not answered yet.
  std::map<PlacementObstacle, std::size_t> m_minionsByObstacle;
};

/// Numbers of minions of a pool, for logs.
struct MinionCounts
{
  std::size_t m_known = 0;
  std::size_t m_usable = 0;  ///< Can get new work.
  std::size_t m_awaited = 0; ///< See PoolScheduler::AwaitMinion().
};

/// A minion of an earlier owner that has not answered this one; see PoolScheduler::AwaitMinion().
struct AwaitedMinion
{
  std::string m_minion;
  std::string m_machine;
  bool m_isRegistered = false;
  Millis m_leaseLeft{ 0 }; ///< Negative: the lease has ended, but no later call has failed.
};

/// An account that uses or wants something in a shard, for logs.
struct AccountState
{
  FairShare::Share m_share;
  std::size_t m_excessRefusals = 0; ///< Since the last call.
};

} // namespace mustardtray::job
