#pragma once

/// Rates at which client accounts submit jobs, and which jobs are beyond the rate to which their
/// account is entitled. An owner sees only the jobs of its shard, so it uses its part of the
/// entitlement: that of its own arrivals in the arrivals of the whole fleet.

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "mustardtray/job/Deployment.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

struct AccountRateLimits
{
  Millis m_window{ 5'000 }; ///< In which arrivals are counted.
  std::size_t m_burst = 20; ///< Jobs beyond the rate in one window.
};

class AccountRates
{
public:
  explicit AccountRates(AccountRateLimits aLimits = {})
    : m_limits(aLimits)
  {
  }

  /// Sets the entitled rates; accounts that are not listed have no limit.
  void SetAccounts(const std::vector<AccountSpec>& aAccounts);
  /// Sets the arrivals per second of each account at all owners together.
  void SetFleetRates(const std::map<std::string, double>& aRates, TimePoint aNow);

  /// Records a caller's first attempt to submit a job.
  void OnArrival(const std::string& aAccount, TimePoint aNow);
  /// Returns whether a job is within its account's rate, and charges it if so. Jobs beyond the rate
  /// are not charged: an account that submits too much still gets its rate.
  bool Charge(const std::string& aAccount, TimePoint aNow);
  /// Time until the account's rate permits a job that Charge() did not accept.
  Millis RetryAfter(const std::string& aAccount, TimePoint aNow) const;

  /// Arrivals per second at this owner, of accounts with any.
  std::map<std::string, double> ArrivalsPerSecond(TimePoint aNow) const;

private:
  struct Account
  {
    double m_weight = 0;
    bool m_isListed = false;
    std::deque<TimePoint> m_arrivals; ///< Oldest first.
    std::deque<TimePoint> m_charged;  ///< Arrivals or retries within the rate, oldest first.
    double m_fleetArrivals = 0;       ///< In a window, at all owners, as of the latest update.
    double m_ownAtUpdate = 0;         ///< Arrivals in the window at this owner at that time.
  };

  double Entitlement(const Account& aAccount) const;
  /// Arrivals in the window at all owners, as far as known.
  double FleetArrivals(const Account& aAccount, TimePoint aNow) const;
  /// This owner's part of the entitlement in a window.
  double OwnEntitlement(const Account& aAccount, TimePoint aNow) const;
  void DropOld(Account& aAccount, TimePoint aNow) const;

  AccountRateLimits m_limits;
  std::unordered_map<std::string, Account> m_accounts;
  TimePoint m_updatedAt{};
};

} // namespace mustardtray::job
