#pragma once

/// What the owners of shards and the holder of the machine orders tell each other about client
/// accounts: use and demand in one direction, allowances and arrival rates in the other.

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "mustardtray/job/Job.h"

namespace mustardtray::job {

/// The kinds of resources that limits apply to.
inline constexpr std::array kResourceKinds{ &Resources::m_cpu,
                                            &Resources::m_memoryMb,
                                            &Resources::m_gpu };

/// Returns the larger amount of each kind.
Resources MaxOf(const Resources& aLeft, const Resources& aRight);
bool IsZero(const Resources& aResources);

/// An account in a shard. An account that a report does not list has its basic allowance, uses and
/// wants nothing.
struct AccountUse
{
  Resources m_allowance; ///< In force, or in force as soon as the owner has recovered.
  Resources m_used;      ///< All runs, and all starts that may still be carried out.
  Resources m_wanted;    ///< m_used and all that waits.
  Resources m_largest;   ///< Largest unit or whole gang that waits.
  double m_arrivals = 0; ///< First attempts per second in the shard.
};

/// Sent by the owner of a shard with each report.
struct AccountReport
{
  std::uint64_t m_owner = 0;    ///< Token of the owner's claim; 0: the report is empty.
  std::uint64_t m_holder = 0;   ///< Token of the holder whose grants were received last.
  std::uint64_t m_sequence = 0; ///< Of these grants.
  /// Minions may have runs of an earlier owner that this one does not know.
  bool m_isRecovering = false;
  std::map<std::string, AccountUse> m_accounts;
};

/// Sent by the holder of the machine orders to the owner of a shard.
struct AccountGrants
{
  std::uint64_t m_holder = 0;   ///< Token of the holder's claim; 0: there are no grants.
  std::uint64_t m_sequence = 0; ///< Increases with each message of a holder to a shard.
  std::uint64_t m_owner = 0;    ///< Owner for which the allowances were computed; 0: unknown.
  std::map<std::string, Resources> m_allowances; ///< Accounts that are not listed keep theirs.
  std::map<std::string, double> m_arrivals;      ///< First attempts per second in all shards.
};

/// Adds the member "accounts" to a message, or nothing when the report or the grants are empty.
void AddAccounts(nlohmann::json& aMessage, const AccountReport& aReport);
void AddAccounts(nlohmann::json& aMessage, const AccountGrants& aGrants);
/// Reads the member "accounts" of a message; an absent one means empty. Throws
/// nlohmann::json::exception when it is malformed.
AccountReport AccountReportOf(const nlohmann::json& aMessage);
AccountGrants AccountGrantsOf(const nlohmann::json& aMessage);

} // namespace mustardtray::job
