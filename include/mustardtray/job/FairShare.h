#pragma once

/// Weighted dominant-resource shares of the accounts in a shard. It looks at one moment only, so
/// idle time earns no credit.

#include <string>
#include <unordered_map>
#include <vector>

#include "mustardtray/job/Deployment.h"

namespace mustardtray::job {

class FairShare
{
public:
  /// aCapacity: of the minions that can get work.
  FairShare(const std::unordered_map<std::string, double>& aWeights, const Resources& aCapacity)
    : m_weights(aWeights)
    , m_capacity(aCapacity)
  {
  }

  // What the accounts use and want; all of it must be added before the calls below. Accounts
  // without a weight are left out.

  void AddRunning(const std::string& aAccount, const Resources& aUsed);
  void AddWaiting(const std::string& aAccount, std::size_t aUnits);

  /// Returns whether a step with this need goes behind the steps of accounts below their share: its
  /// account has its share already, from what runs and from the steps for which this has been
  /// called before. To be called in the order of waiting.
  bool IsAboveShare(const std::string& aAccount, const Resources& aNeed);

  struct Share
  {
    std::string m_account;
    double m_weight = 0;
    double m_part = 0;          ///< Part of the weights of all accounts that use or want something.
    double m_dominantShare = 0; ///< Of what runs.
    Resources m_used;
    std::size_t m_waiting = 0; ///< Units.
  };
  /// Returns the accounts that use or want something, first those furthest above their part.
  std::vector<Share> Shares() const;

private:
  struct Account
  {
    double m_weight = 0;
    Resources m_used;
    Resources m_planned; ///< Steps that IsAboveShare() has counted.
    std::size_t m_waiting = 0;
  };

  Account* FindOrAdd(const std::string& aAccount);
  /// Largest part of the capacity, over the resources.
  double ShareOf(const Resources& aResources) const;
  double PartOf(const Account& aAccount) const;

  const std::unordered_map<std::string, double>& m_weights;
  Resources m_capacity;
  Resources m_totalUsed;
  double m_totalWeight = 0;
  std::unordered_map<std::string, Account> m_accounts;
};

} // namespace mustardtray::job
