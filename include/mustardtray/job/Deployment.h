#pragma once

/// The operator's configuration of queues and pools, maintenance waves, and the reported machines.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/job/Job.h"

namespace mustardtray::job {

/// Routes callers' requests under a host and a path prefix to one pool.
struct QueueSpec
{
  std::string m_host;
  std::string m_prefix;
  std::string m_pool;
  QueuePolicy m_queuePolicy;
  bool m_isPublic = false; ///< Callers need no API key.
};

struct PoolSpec
{
  std::string m_name;
  bool m_isGuarded = true; ///< Minions refuse work that exceeds their capacity.
  bool m_isSpare = false;  ///< Machines of this pool are off and cost nothing.
};

/// A client account: who may submit jobs, and how much of the fleet the account gets.
struct AccountSpec
{
  std::string m_name;
  std::vector<std::string> m_keys; ///< API keys; never logged.
  double m_weight = 1.0;           ///< Share when capacity is short, and entitled jobs a second.
  Resources m_limit;               ///< Of all running units of the account; 0: no limit.
};

/// A version of the operator's configuration.
struct Deployment
{
  std::uint64_t m_version = 0;
  std::vector<QueueSpec> m_queues;
  std::vector<PoolSpec> m_pools;
  std::vector<AccountSpec> m_accounts;
  std::uint64_t m_maxBodyBytes = 262'144;

  /// Returns the queue with the longest matching path prefix, or nullptr when none matches.
  const QueueSpec* FindQueue(std::string_view aHost, std::string_view aPath) const;
  const PoolSpec* FindPool(std::string_view aName) const;
  const PoolSpec* SparePool() const;
  const AccountSpec* FindAccount(std::string_view aName) const;
};

enum class MachineState
{
  Up,
  Moving,
  Maintenance,
  Down,
};

struct Machine
{
  std::string m_name;
  std::string m_pool;
  MachineState m_state = MachineState::Down;
  std::string m_zone;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  std::string m_minion; ///< Id of the current incarnation's minion; may be empty.

  std::string Rack() const { return m_labels.empty() ? std::string{} : m_labels.back(); }
};

/// Longer than the time-out of a machine order that relies on the cordon, with a margin.
inline constexpr Millis kMinCordonTime{ 3'000 };

/// Machines of a shard that are to get less work, or none.
struct MachineRestrictions
{
  std::set<std::string> m_cordoned; ///< Get no work.
  /// Will be cordoned for maintenance soon. Long-running units are not placed there if other
  /// machines have capacity, since each would have to be moved again.
  std::set<std::string> m_awaitingMaintenance;
  /// Cordons that are not renewed for this time lapse: no machine order can come any more.
  Millis m_cordonTime = kMinCordonTime;
};

/// Request to put each of the listed machines into maintenance once.
struct WaveRequest
{
  std::uint64_t m_number = 0;
  std::vector<std::string> m_machines;
  Millis m_duration{ 0 };     ///< From the request to the end of the wave.
  std::uint32_t m_atOnce = 1; ///< Maximum number of machines in maintenance at the same time.
};

} // namespace mustardtray::job
