#pragma once

/// The owner's side of the limits of client accounts: how much each account may have running in the
/// shard. AllowancePlanner is the other side.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/job/AccountMessages.h"
#include "mustardtray/job/Deployment.h"
#include "mustardtray/job/Shards.h"

namespace mustardtray::job {

/// Share of a limit that the basic allowances of all shards have together, as a divisor. Starts
/// need no grant up to the basic allowance, so they do not wait for a holder of the machine orders.
inline constexpr std::int64_t kBasicAllowanceDivisor = 4;

/// Returns the number of shards of all pools with minions; 0 while that of any pool is not known.
std::size_t CountShards(const Deployment& aDeployment, const ShardMap& aShards);

/// Returns the allowance that each shard has without a grant; none when the number of shards is
/// not known (0).
Resources BasicAllowance(const Resources& aLimit, std::size_t aShards);

/// Returns why a job of the account can never run: a unit, or a gang as a whole, needs more than
/// the account's limit. Empty for other jobs and for an account without limits.
std::string DescribeLimitError(const std::vector<AccountSpec>& aAccounts, const JobRecord& aRecord);

/// Whether aNeed in addition to aUsed exceeds the allowance of a kind of resource that has a limit.
/// A kind that is not needed cannot be exceeded.
bool Exceeds(const Resources& aLimit,
             const Resources& aAllowance,
             const Resources& aUsed,
             const Resources& aNeed);

class AllowanceBook
{
public:
  /// Sets the limits of the configuration in force. Accounts that it does not list have none.
  void SetAccounts(const std::vector<AccountSpec>& aAccounts);
  /// aShards: of all pools; 0 while it is not known.
  void SetShards(std::size_t aShards) { m_shards = aShards; }
  /// While an owner recovers, runs of an earlier owner may use its basic allowance.
  void SetRecovering(bool aIsRecovering) { m_isRecovering = aIsRecovering; }
  /// aOwner: token of the claim of this owner. Grants for another owner and grants that are not
  /// newer than the latest ones have no effect.
  void ApplyGrants(const AccountGrants& aGrants, std::uint64_t aOwner);

  /// Whether the configuration lists accounts.
  bool IsActive() const { return m_hasAccounts; }
  /// Whether an account has a limit, so that use has to be counted.
  bool HasLimits() const { return !m_limits.empty(); }
  /// Sets what all accounts use, in place of what was known.
  void SetUsed(std::map<std::string, Resources> aUsed) { m_used = std::move(aUsed); }
  /// Called for each start that is ordered after SetUsed().
  void OnStart(const std::string& aAccount, const Resources& aNeed);
  /// Whether the account may start what needs these resources as a whole.
  bool Permits(const std::string& aAccount, const Resources& aNeed) const;
  /// Returns the allowance in force.
  Resources Allowance(const std::string& aAccount) const;
  Resources Used(const std::string& aAccount) const;
  /// Allowance in a report; during a recovery the basic one counts as held.
  Resources ReportedAllowance(const std::string& aAccount) const
  {
    return m_granted.contains(aAccount) ? Allowance(aAccount) : BasicOf(aAccount);
  }
  /// Returns the report on all accounts with anything to report. aWanting: by account, what waits
  /// (m_wanted without the use, m_largest) and arrives.
  AccountReport Report(std::uint64_t aOwner,
                       const std::map<std::string, AccountUse>& aWanting) const;

private:
  Resources BasicOf(const std::string& aAccount) const;

  bool m_hasAccounts = false;
  bool m_isRecovering = false;
  std::size_t m_shards = 0;
  std::map<std::string, Resources> m_limits;  ///< Accounts with a limit; 0: none of this kind.
  std::map<std::string, Resources> m_granted; ///< Latest allowances from a holder.
  std::map<std::string, Resources> m_used;
  std::uint64_t m_holder = 0; ///< Token of the latest holder.
  std::uint64_t m_sequence = 0;
};

} // namespace mustardtray::job
