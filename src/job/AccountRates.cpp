#include "mustardtray/job/AccountRates.h"

#include <algorithm>
#include <cmath>

namespace mustardtray::job {

namespace {

/// Fleet-wide rates that are older are not used, because the holder of the machine orders may be
/// gone.
constexpr Millis kMaxFleetRateAge{ 2'000 };
/// The Retry-After header has a resolution of one second.
constexpr Millis kMinRetryAfter{ 1'000 };
/// Longer waits are useless to callers with objectives of a few seconds.
constexpr Millis kMaxRetryAfter{ 10'000 };

double Seconds(Millis aTime)
{
  return static_cast<double>(aTime.count()) / 1'000.0;
}

double CountSince(const std::deque<TimePoint>& aTimes, TimePoint aSince)
{
  return static_cast<double>(aTimes.end() - std::upper_bound(aTimes.begin(), aTimes.end(), aSince));
}

} // namespace

void AccountRates::SetAccounts(const std::vector<AccountSpec>& aAccounts)
{
  for (auto& [name, account] : m_accounts) {
    account.m_isListed = false;
  }
  for (const AccountSpec& spec : aAccounts) {
    Account& account = m_accounts[spec.m_name];
    account.m_weight = spec.m_weight;
    account.m_isListed = true;
  }
  std::erase_if(m_accounts, [](const auto& aEntry) { return !aEntry.second.m_isListed; });
}

void AccountRates::SetFleetRates(const std::map<std::string, double>& aRates, TimePoint aNow)
{
  m_updatedAt = aNow;
  for (auto& [name, account] : m_accounts) {
    const auto rate = aRates.find(name);
    account.m_fleetArrivals =
      rate == aRates.end() ? 0 : std::max(rate->second, 0.0) * Seconds(m_limits.m_window);
    account.m_ownAtUpdate = CountSince(account.m_arrivals, aNow - m_limits.m_window);
  }
}

void AccountRates::OnArrival(const std::string& aAccount, TimePoint aNow)
{
  const auto found = m_accounts.find(aAccount);
  if (found != m_accounts.end()) {
    DropOld(found->second, aNow);
    found->second.m_arrivals.push_back(aNow);
  }
}

bool AccountRates::Charge(const std::string& aAccount, TimePoint aNow)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return true;
  }
  Account& account = found->second;
  DropOld(account, aNow);
  if (static_cast<double>(account.m_charged.size()) >= OwnEntitlement(account, aNow)) {
    return false;
  }
  account.m_charged.push_back(aNow);
  return true;
}

Millis AccountRates::RetryAfter(const std::string& aAccount, TimePoint aNow) const
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return kMinRetryAfter;
  }
  // The jobs beyond the entitlement are permitted one after another at the account's rate.
  const Account& account = found->second;
  const double excess = FleetArrivals(account, aNow) - Entitlement(account);
  const double wait =
    account.m_weight > 0 ? std::max(excess, 0.0) / account.m_weight : Seconds(kMaxRetryAfter);
  const auto millis = static_cast<Millis::rep>(std::min(wait, Seconds(kMaxRetryAfter)) * 1'000.0);
  return std::clamp(Millis(millis), kMinRetryAfter, kMaxRetryAfter);
}

std::map<std::string, double> AccountRates::ArrivalsPerSecond(TimePoint aNow) const
{
  std::map<std::string, double> rates;
  for (const auto& [name, account] : m_accounts) {
    const double arrivals = CountSince(account.m_arrivals, aNow - m_limits.m_window);
    if (arrivals > 0) {
      rates[name] = arrivals / Seconds(m_limits.m_window);
    }
  }
  return rates;
}

double AccountRates::Entitlement(const Account& aAccount) const
{
  return aAccount.m_weight * Seconds(m_limits.m_window) + static_cast<double>(m_limits.m_burst);
}

double AccountRates::FleetArrivals(const Account& aAccount, TimePoint aNow) const
{
  const double own = CountSince(aAccount.m_arrivals, aNow - m_limits.m_window);
  if (m_updatedAt == TimePoint{} || aNow - m_updatedAt > kMaxFleetRateAge) {
    return own;
  }
  // The arrivals at other owners are assumed not to have changed since the update.
  return std::max(own, aAccount.m_fleetArrivals + own - aAccount.m_ownAtUpdate);
}

double AccountRates::OwnEntitlement(const Account& aAccount, TimePoint aNow) const
{
  const double own = CountSince(aAccount.m_arrivals, aNow - m_limits.m_window);
  const double fleet = FleetArrivals(aAccount, aNow);
  return fleet > 0 ? Entitlement(aAccount) * std::max(own, 1.0) / std::max(fleet, 1.0)
                   : Entitlement(aAccount);
}

void AccountRates::DropOld(Account& aAccount, TimePoint aNow) const
{
  for (std::deque<TimePoint>* times : { &aAccount.m_arrivals, &aAccount.m_charged }) {
    while (!times->empty() && aNow - times->front() >= m_limits.m_window) {
      times->pop_front();
    }
  }
}

} // namespace mustardtray::job
