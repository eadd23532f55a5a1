#pragma once

/// State that the components of a node share: the event loop, its timers and the clients.

#include <algorithm>
#include <functional>
#include <limits>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/job/AccountKeys.h"
#include "mustardtray/job/Deployment.h"
#include "mustardtray/job/QueueHome.h"
#include "mustardtray/job/Shards.h"
#include "mustardtray/process/TimerService.h"
#include "mustardtray/process/WorkMeter.h"
#include "platform/MachineClient.h"
#include "platform/MinionClient.h"
#include "platform/NodeSettings.h"
#include "platform/StoreClient.h"

namespace mustardtray::node {

/// Monotonic time that includes the time for which the machine was suspended. Leases use this
/// clock.
TimePoint LeaseClockNow();

/// Returns a name for this run of the node that no other run has.
std::string MakeIncarnation();

/// Time until which this node may act for the pools that it owns.
class NodeLease
{
public:
  void Extend(TimePoint aUntil) { m_until = aUntil; }
  void Revoke() { m_until = {}; }
  bool IsValid() const { return LeaseClockNow() < m_until; }
  /// Remaining time; zero when the lease has expired.
  Millis Remaining() const
  {
    const TimePoint now = LeaseClockNow();
    return now < m_until ? std::chrono::duration_cast<Millis>(m_until - now) : Millis{ 0 };
  }

private:
  TimePoint m_until{};
};

/// Longest lease that an owner grants to runs. During a store outage, runs continue for this long
/// and for the rest of the node's lease. A successor may have to wait as long for an unresponsive
/// minion.
inline constexpr Millis kMaxRunLease{ 4'000 };

/// Sends a request to the owner of a shard, on this node or another. Fails with
/// ErrorKind::Unavailable when no owner is known.
using ShardCall = std::function<void(const std::string& aShard,
                                     const char* aPath,
                                     std::string aBody,
                                     Millis aTimeout,
                                     std::function<void(Result<std::string>)> aDone)>;

struct NodeContext
{
  asio::io_context& m_io;
  TimerService& m_timers;
  HttpClient& m_http;
  platform::StoreClient& m_store;
  platform::MinionClient& m_minionClient;
  platform::MachineClient& m_machineClient;
  const platform::NodeSettings& m_settings;
  std::string m_incarnation;
  NodeLease m_lease;
  job::Deployment m_deployment; ///< Version 0 until a configuration is known.
  job::ShardMap m_shards;
  WorkMeter m_work;
  job::AccountKeys m_accountKeys{}; ///< Of m_deployment.
  /// m_deployment was the newest configuration at this time of the lease clock.
  TimePoint m_configurationConfirmedAt{};
  job::QueueHomes m_queueHomes{};
  ShardCall m_callShard{};
};

/// Whether callers need API keys.
inline bool AreAccountsEnforced(const NodeContext& aContext)
{
  return aContext.m_settings.m_hasAccounts || !aContext.m_deployment.m_accounts.empty();
}

/// Bytes that the node's link carries in a time, in each direction; no limit where its speed is not
/// known.
inline std::size_t LinkBytes(const NodeContext& aContext, Millis aTime)
{
  constexpr double kMillisPerSecond = 1'000.0;
  const double speed = aContext.m_settings.m_linkBytesPerSecond;
  return speed > 0
           ? static_cast<std::size_t>(speed * static_cast<double>(aTime.count()) / kMillisPerSecond)
           : std::numeric_limits<std::size_t>::max();
}

/// Time since the configuration was last confirmed. It includes the time for which the machine was
/// suspended.
inline Millis ConfigurationAge(const NodeContext& aContext)
{
  return std::chrono::ceil<Millis>(LeaseClockNow() - aContext.m_configurationConfirmedAt);
}

// Tables in the store that only nodes use. The partition of a row is the pool shard it belongs to.
/// Number of shards of each pool, and the homes of the queues in a partition of their own.
inline constexpr const char* kShardTable = "shards";
inline constexpr const char* kQueuePartition = "queues";
inline constexpr const char* kNodeTable = "node";
inline constexpr const char* kOwnerTable = "owner";
inline constexpr const char* kJobTable = "job";
inline constexpr const char* kProgressTable = "progress";
/// Jobs that have moved to other shards; see JobForward. The name sorts before the job table, so
/// that a job's rows are never removed in an earlier transaction than this row is written in.
inline constexpr const char* kForwardTable = "forward";
inline constexpr const char* kInboxTable = "inbox"; ///< Jobs and cancels for unreachable owners.
/// Minions that may run work of a pool. The name sorts after the progress table, so that a minion's
/// row never gets into an earlier transaction than the progress that belongs to its run ends.
inline constexpr const char* kUsedMinionTable = "used-minion";
inline constexpr const char* kHeadTable = "head"; ///< Number of the latest write of a pool's owner.
inline constexpr const char* kSingleRowKey = "row"; ///< Key in tables that have one row per pool.
/// Key prefix of cancels in the inbox. No job id begins with it, since job ids are hexadecimal.
inline constexpr const char* kCancelPrefix = "cancel.";
/// Partition and owner row of the machine orders, which one node sends for all pools.
inline constexpr const char* kFleetPartition = "fleet-orders";

/// kMaxRunLease, or the minions' own limit where that is shorter.
inline Millis MaxRunLease(const NodeContext& aContext)
{
  return std::min(aContext.m_settings.m_bounds.m_maxRunLease, kMaxRunLease);
}

} // namespace mustardtray::node
