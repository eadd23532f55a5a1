#include "mustardtray/job/AllowancePlanner.h"

#include <algorithm>

#include "mustardtray/job/AllowanceBook.h"

namespace mustardtray::job {

namespace {

/// After this time an owner counts as unreachable. The largest fleet is asked every 1.5 s.
constexpr Millis kMaxReportAge{ 3'000 };
/// Rates of an owner that has not reported for longer are not counted.
constexpr Millis kMaxRateAge{ 2'000 };
/// An account that uses and wants nothing for this time gets its basic allowances back, so that
/// messages do not list it.
constexpr Millis kIdleTime{ 5'000 };
/// How long a shard has precedence with the largest unit or gang that waits there. Most short units
/// end within this time, so a wide gang finds room.
constexpr Millis kTurn{ 3'000 };

} // namespace

Resources AllowancePlanner::Share::Charge() const
{
  Resources charge = m_inherited;
  charge += m_granted;
  return MaxOf(charge, m_use.m_used);
}

Resources AllowancePlanner::BasicOf(const std::string& aAccount) const
{
  const auto limit = m_limits.find(aAccount);
  return limit == m_limits.end() ? Resources{} : BasicAllowance(limit->second, m_shards.size());
}

AllowancePlanner::Share AllowancePlanner::NewShare(const std::string& aAccount) const
{
  Share share;
  share.m_use.m_allowance = BasicOf(aAccount);
  share.m_granted = share.m_use.m_allowance;
  return share;
}

void AllowancePlanner::SetAccounts(const std::vector<AccountSpec>& aAccounts)
{
  m_hasAccounts = !aAccounts.empty();
  m_limits.clear();
  for (const AccountSpec& account : aAccounts) {
    if (!IsZero(account.m_limit)) {
      m_limits[account.m_name] = account.m_limit;
    }
  }
}

void AllowancePlanner::SetShards(const std::vector<std::string>& aShards)
{
  std::map<std::string, Shard> shards;
  for (const std::string& name : aShards) {
    shards[name] = std::move(m_shards[name]);
  }
  m_shards = std::move(shards);
}

std::size_t AllowancePlanner::UnknownShards() const
{
  return static_cast<std::size_t>(std::count_if(
    m_shards.begin(), m_shards.end(), [](const auto& aEntry) { return !aEntry.second.m_isKnown; }));
}

void AllowancePlanner::OnNewOwner(Shard& aShard, const AccountReport& aReport)
{
  aShard.m_owner = aReport.m_owner;
  if (aReport.m_isRecovering) {
    for (const auto& [name, limit] : m_limits) {
      aShard.m_shares.try_emplace(name, NewShare(name));
    }
  }
  // The first owner that this holder hears of may be preceded by one with any allowance.
  aShard.m_isKnown = aShard.m_isKnown || !aReport.m_isRecovering;
  for (auto& [name, share] : aShard.m_shares) {
    share.m_inherited = aReport.m_isRecovering ? share.Charge() : Resources{};
    share.m_next.reset();
  }
}

void AllowancePlanner::OnReport(const std::string& aShard,
                                const AccountReport& aReport,
                                TimePoint aNow)
{
  const auto found = m_shards.find(aShard);
  if (found == m_shards.end() || aReport.m_owner == 0) {
    return;
  }
  Shard& shard = found->second;
  const bool isCurrent = aReport.m_holder == m_holder && aReport.m_sequence == shard.m_sequence &&
                         !shard.m_isAnswered && aReport.m_owner >= shard.m_owner;
  if (!isCurrent) {
    return; // An owner that has had later grants since may have another allowance.
  }
  shard.m_isAnswered = true;
  shard.m_reportedAt = aNow;
  if (aReport.m_owner != shard.m_owner) {
    OnNewOwner(shard, aReport);
  }
  shard.m_isKnown = shard.m_isKnown || !aReport.m_isRecovering;
  for (const auto& [name, use] : aReport.m_accounts) {
    shard.m_shares.try_emplace(name, NewShare(name));
  }
  for (auto entry = shard.m_shares.begin(); entry != shard.m_shares.end();) {
    auto& [name, share] = *entry;
    const Resources basic = BasicOf(name);
    const auto listed = aReport.m_accounts.find(name);
    const bool isListed = listed != aReport.m_accounts.end();
    share.m_use = isListed ? listed->second : AccountUse{ basic, {}, {}, {}, 0 };
    share.m_granted = MaxOf(share.m_use.m_allowance, share.m_next.value_or(Resources{}));
    share.m_inherited = aReport.m_isRecovering ? share.m_inherited : Resources{};
    const bool isBasic =
      !isListed && IsZero(share.m_inherited) && share.m_next.value_or(basic) == basic;
    entry = isBasic ? shard.m_shares.erase(entry) : std::next(entry);
  }
}

Resources AllowancePlanner::Charged(const std::string& aAccount) const
{
  Resources charged;
  for (const auto& [name, shard] : m_shards) {
    const auto share = shard.m_shares.find(aAccount);
    charged += share == shard.m_shares.end() ? BasicOf(aAccount) : share->second.Charge();
  }
  return charged;
}

bool AllowancePlanner::IsInUse(const std::string& aAccount, TimePoint aNow)
{
  const bool isUsed = std::any_of(m_shards.begin(), m_shards.end(), [&](const auto& aEntry) {
    const auto share = aEntry.second.m_shares.find(aAccount);
    return share != aEntry.second.m_shares.end() &&
           !(IsZero(share->second.m_use.m_wanted) && IsZero(share->second.m_inherited));
  });
  if (isUsed) {
    m_usedAt[aAccount] = aNow;
  }
  const auto usedAt = m_usedAt.find(aAccount);
  return usedAt != m_usedAt.end() && aNow - usedAt->second <= kIdleTime;
}

void AllowancePlanner::Plan(TimePoint aNow)
{
  m_arrivals.clear();
  for (const auto& [name, shard] : m_shards) {
    for (const auto& [account, share] : shard.m_shares) {
      if (share.m_use.m_arrivals > 0 && aNow - shard.m_reportedAt <= kMaxRateAge) {
        m_arrivals[account] += share.m_use.m_arrivals;
      }
    }
  }
  if (m_shards.empty() || UnknownShards() > 0) {
    return;
  }
  for (const auto& [account, limit] : m_limits) {
    if (IsInUse(account, aNow)) {
      PlanAccount(account, limit, aNow);
      continue;
    }
    const Resources basic = BasicOf(account);
    for (auto& [name, shard] : m_shards) {
      const auto share = shard.m_shares.find(account);
      if (share != shard.m_shares.end()) {
        share->second.m_granted = MaxOf(share->second.m_granted, basic);
        share->second.m_next = basic;
      }
    }
  }
}

void AllowancePlanner::PlanAccount(const std::string& aAccount,
                                   const Resources& aLimit,
                                   TimePoint aNow)
{
  const Resources basic = BasicOf(aAccount);
  std::vector<Candidate> candidates;
  for (auto& [name, shard] : m_shards) {
    Share& share = shard.m_shares.try_emplace(aAccount, NewShare(aAccount)).first->second;
    candidates.push_back({ &share, aNow - shard.m_reportedAt > kMaxReportAge, {} });
  }
  // Shards that are in their turn come first, then those whose turn is longest ago.
  const auto isInTurn = [&](const Candidate& aCandidate) {
    return aNow - aCandidate.m_share->m_turnBegan <= kTurn;
  };
  std::stable_sort(
    candidates.begin(), candidates.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
      return isInTurn(aLeft) != isInTurn(aRight)
               ? isInTurn(aLeft)
               : aLeft.m_share->m_turnBegan < aRight.m_share->m_turnBegan;
    });
  const auto shards = static_cast<std::int64_t>(candidates.size());
  std::int64_t adjustable = 0;
  Resources room = aLimit;
  for (const auto kind : kResourceKinds) {
    // Basic allowances are cut where what runs leaves no room for them, which is so after a limit
    // has been lowered, or where a unit or gang waits that could never start beside them.
    std::int64_t needed = 0;
    bool isCut = false;
    for (const Candidate& candidate : candidates) {
      const AccountUse& use = candidate.m_share->m_use;
      needed += std::max(use.m_used.*kind, basic.*kind);
      isCut = isCut || use.m_largest.*kind > aLimit.*kind - (shards - 1) * basic.*kind;
    }
    isCut = isCut || needed > aLimit.*kind;
    for (Candidate& candidate : candidates) {
      const Share& share = *candidate.m_share;
      candidate.m_target.*kind = isCut ? 0 : basic.*kind;
      room.*kind -= candidate.m_isFixed ? share.Charge().*kind
                                        : share.m_inherited.*kind + candidate.m_target.*kind;
    }
    room.*kind = std::max<std::int64_t>(room.*kind, 0);
  }
  // A share that is smaller than a unit is of no use, so the largest one that waits has precedence.
  for (Candidate& candidate : candidates) {
    const AccountUse& use = candidate.m_share->m_use;
    adjustable += candidate.m_isFixed ? 0 : 1;
    if (candidate.m_isFixed || IsZero(use.m_largest)) {
      continue;
    }
    Resources missing;
    for (const auto kind : kResourceKinds) {
      missing.*kind = aLimit.*kind == 0
                        ? 0
                        : std::max<std::int64_t>(0, use.m_largest.*kind - candidate.m_target.*kind);
    }
    if (!room.Fits(missing)) {
      continue; // Its turn comes when those of the others have ended.
    }
    if (!isInTurn(candidate)) {
      candidate.m_share->m_turnBegan = aNow;
    }
    candidate.m_target += missing;
    room -= missing;
  }
  for (const auto kind : kResourceKinds) {
    const auto unmet = [&](const Candidate& aCandidate) {
      return aCandidate.m_isFixed
               ? 0
               : std::max<std::int64_t>(
                   0,
                   std::min(aCandidate.m_share->m_use.m_wanted.*kind, aLimit.*kind) -
                     aCandidate.m_target.*kind);
    };
    std::int64_t total = 0;
    for (const Candidate& candidate : candidates) {
      total += unmet(candidate);
    }
    const std::int64_t divided = std::min(total, room.*kind);
    for (Candidate& candidate : candidates) {
      const double part =
        total > 0 ? static_cast<double>(unmet(candidate)) / static_cast<double>(total) : 0.0;
      const auto added =
        std::min(static_cast<std::int64_t>(part * static_cast<double>(divided)), room.*kind);
      candidate.m_target.*kind += added;
      room.*kind -= added;
    }
    for (Candidate& candidate : candidates) {
      candidate.m_target.*kind += candidate.m_isFixed ? 0 : room.*kind / adjustable;
    }
  }
  Grant(candidates, aLimit);
}

void AllowancePlanner::Grant(std::vector<Candidate>& aCandidates, const Resources& aLimit)
{
  Resources free = aLimit;
  for (const Candidate& candidate : aCandidates) {
    free -= candidate.m_share->Charge();
  }
  for (Candidate& candidate : aCandidates) {
    if (candidate.m_isFixed) {
      continue;
    }
    Share& share = *candidate.m_share;
    const Resources charge = share.Charge();
    Resources next;
    for (const auto kind : kResourceKinds) {
      if (aLimit.*kind == 0) {
        continue;
      }
      // A smaller allowance frees its difference only when the owner has reported it.
      const std::int64_t most =
        charge.*kind + std::max<std::int64_t>(free.*kind, 0) - share.m_inherited.*kind;
      next.*kind = std::min(candidate.m_target.*kind, std::max(share.m_granted.*kind, most));
    }
    share.m_next = next;
    share.m_granted = MaxOf(share.m_granted, next);
    Resources added = share.Charge();
    added -= charge;
    free -= added;
  }
}

AccountGrants AllowancePlanner::GrantsFor(const std::string& aShard)
{
  AccountGrants grants;
  const auto found = m_shards.find(aShard);
  if (!m_hasAccounts || found == m_shards.end()) {
    return grants;
  }
  Shard& shard = found->second;
  shard.m_isAnswered = false;
  grants.m_holder = m_holder;
  grants.m_sequence = ++shard.m_sequence;
  grants.m_owner = shard.m_owner;
  grants.m_arrivals = m_arrivals;
  for (const auto& [name, share] : shard.m_shares) {
    if (share.m_next && *share.m_next != share.m_use.m_allowance) {
      grants.m_allowances[name] = *share.m_next;
    }
  }
  return grants;
}

std::vector<AccountTotals> AllowancePlanner::Describe(std::size_t aMax) const
{
  std::vector<AccountTotals> all;
  for (const auto& [account, limit] : m_limits) {
    AccountTotals totals{ account, limit, Charged(account), {}, {} };
    for (const auto& [name, shard] : m_shards) {
      if (const auto share = shard.m_shares.find(account); share != shard.m_shares.end()) {
        totals.m_used += share->second.m_use.m_used;
        totals.m_wanted += share->second.m_use.m_wanted;
      }
    }
    if (!IsZero(totals.m_wanted)) {
      all.push_back(std::move(totals));
    }
  }
  const auto load = [](const AccountTotals& aTotals) {
    double most = 0;
    for (const auto kind : kResourceKinds) {
      if (aTotals.m_limit.*kind > 0) {
        most = std::max(most,
                        static_cast<double>(aTotals.m_wanted.*kind) /
                          static_cast<double>(aTotals.m_limit.*kind));
      }
    }
    return most;
  };
  std::stable_sort(all.begin(), all.end(), [&](const auto& aLeft, const auto& aRight) {
    return load(aLeft) > load(aRight);
  });
  all.resize(std::min(all.size(), aMax));
  return all;
}

} // namespace mustardtray::job
