#pragma once

/// Divides the limits of client accounts among the shards of all pools, at the holder of the
/// machine orders. AllowanceBook is the other side. docs/design/account-limits.md describes the
/// protocol.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/job/AccountMessages.h"
#include "mustardtray/job/Deployment.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// An account over all shards, for logs.
struct AccountTotals
{
  std::string m_account;
  Resources m_limit;
  Resources m_charged; ///< Upper bound of what may run, including unused allowances.
  Resources m_used;
  Resources m_wanted;
};

class AllowancePlanner
{
public:
  /// aHolder: token of the holder's claim; it increases with each claim.
  explicit AllowancePlanner(std::uint64_t aHolder)
    : m_holder(aHolder)
  {
  }

  void SetAccounts(const std::vector<AccountSpec>& aAccounts);
  /// Sets the names of the shards of all pools.
  void SetShards(const std::vector<std::string>& aShards);
  /// Processes the response to the latest grants of a shard; others have no effect.
  void OnReport(const std::string& aShard, const AccountReport& aReport, TimePoint aNow);
  /// Computes the allowances. They count as granted from now on, whether they are sent or not.
  void Plan(TimePoint aNow);
  /// Returns the message for the owner of a shard; an empty one when there are no accounts.
  AccountGrants GrantsFor(const std::string& aShard);

  bool IsActive() const { return m_hasAccounts; }
  /// Shards that this holder does not know yet. Nothing is granted before there are none: their
  /// allowances are not stored anywhere else.
  std::size_t UnknownShards() const;
  /// Returns the upper bound of what the account may have running, as far as reported or granted.
  Resources Charged(const std::string& aAccount) const;
  /// Describes the accounts that use or want most of their limit, at most aMax.
  std::vector<AccountTotals> Describe(std::size_t aMax) const;

private:
  /// An account in a shard.
  struct Share
  {
    AccountUse m_use;      ///< As reported last.
    Resources m_granted;   ///< Largest allowance that the owner may have.
    Resources m_inherited; ///< Upper bound of the runs of earlier owners, while the owner recovers.
    std::optional<Resources> m_next; ///< Planned allowance.
    TimePoint m_turnBegan{};         ///< See kTurn.

    Resources Charge() const;
  };
  struct Shard
  {
    std::uint64_t m_owner = 0;
    std::uint64_t m_sequence = 0; ///< Of the latest grants.
    bool m_isAnswered = false;    ///< The latest grants were answered.
    bool m_isKnown = false;       ///< What its owners may have running is known.
    TimePoint m_reportedAt{};
    std::map<std::string, Share> m_shares; ///< Other accounts have their basic allowance.
  };
  /// A shard in the plan for an account.
  struct Candidate
  {
    Share* m_share;
    bool m_isFixed;     ///< Its owner does not answer, so its allowance cannot be changed.
    Resources m_target; ///< Allowance without what is inherited.
  };

  Share NewShare(const std::string& aAccount) const;
  Resources BasicOf(const std::string& aAccount) const;
  void OnNewOwner(Shard& aShard, const AccountReport& aReport);
  void PlanAccount(const std::string& aAccount, const Resources& aLimit, TimePoint aNow);
  /// Whether any owner uses or wants something, or did so within kIdleTime.
  bool IsInUse(const std::string& aAccount, TimePoint aNow);
  static void Grant(std::vector<Candidate>& aCandidates, const Resources& aLimit);

  std::uint64_t m_holder;
  bool m_hasAccounts = false;
  std::map<std::string, Resources> m_limits; ///< Accounts with a limit; 0: none of this kind.
  std::map<std::string, Shard> m_shards;
  std::map<std::string, TimePoint> m_usedAt; ///< By account.
  std::map<std::string, double> m_arrivals;  ///< Sum over the shards.
};

} // namespace mustardtray::job
