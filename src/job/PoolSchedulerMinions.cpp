#include "mustardtray/job/PoolScheduler.h"

#include <algorithm>

/// Minions in the scheduler: registration, restrictions, leases and the loss of their runs.

namespace mustardtray::job {

namespace {

/// Time after a takeover until a machine without a minion is assumed to have none.
constexpr Millis kMinionDiscoveryTime{ 3'000 };
/// Of a minion's clock, with a margin.
constexpr double kClockSlowdown = 1.03;
/// Margin on the expiry of leases, for timers that fire late.
constexpr Millis kLeaseExpiryMargin{ 100 };
/// Longest time after which an order without an answer is still carried out.
constexpr Millis kMaxOrderDelay{ 15'000 };

/// Whether nothing would be lost with this incarnation of the minion: it has no runs, also none
/// that this owner does not know, and no ends that it has not been told are stored.
bool HasNoWork(const MinionState& aMinion)
{
  return aMinion.m_isFenced && aMinion.m_runs.empty() && !aMinion.m_hasMoreEnds &&
         aMinion.m_lastAcknowledgedEnd >= aMinion.m_lastProcessedEnd;
}

/// Whether the unit waits until the start order cannot be carried out by the lost minion any more.
bool MustWaitForOrder(const Run& aRun, TimePoint aNow)
{
  return !aRun.m_isLongRunning || aNow - aRun.m_orderedAt <= kMaxLongRunningOrderWait;
}

/// Whether nothing of this owner can run on the minion any more.
bool IsUnused(const MinionState& aMinion, TimePoint aLeaseEnd, TimePoint aNow)
{
  return aMinion.m_runs.empty() && aMinion.m_openStarts.empty() && aNow > aLeaseEnd;
}

} // namespace

void PoolScheduler::UpdateMinion(const MinionEntry& aEntry, TimePoint aNow)
{
  MinionState& minion = m_minions[aEntry.m_id];
  minion.m_registeredStartMs = aEntry.m_startedAtMs;
  if (minion.IsRegistrationOutdated()) {
    minion.m_isRegistered = false;
    return;
  }
  const std::int64_t knownStartMs = minion.m_entry.m_startedAtMs;
  const bool isLater = knownStartMs != 0 && aEntry.m_startedAtMs > knownStartMs;
  if (isLater && minion.m_reportedStartMs != 0) {
    // Only its own answer shows that the runs have ended: the entry may be of another writer.
    minion.m_isFenced = false;
  } else if (isLater) {
    ResetRestartedMinion(minion, aEntry.m_startedAtMs, {}, aNow);
    if (m_awaited.contains(aEntry.m_id)) {
      AssumeLongestLease(minion, aNow); // By a call of an earlier owner.
    }
  }
  m_crashHistory.OnIncarnation({ aEntry.m_machine, aEntry.m_id, aEntry.m_startedAtMs }, aNow);
  const std::int64_t startedAtMs =
    minion.m_reportedStartMs != 0 ? knownStartMs : std::max(knownStartMs, aEntry.m_startedAtMs);
  minion.m_entry = aEntry;
  minion.m_entry.m_startedAtMs = startedAtMs;
  minion.m_isRegistered = true;
  minion.m_isCordoned = m_restrictions.m_cordoned.contains(aEntry.m_machine);
  minion.m_isAwaitingMaintenance = m_restrictions.m_awaitingMaintenance.contains(aEntry.m_machine);
}

void PoolScheduler::ResetRestartedMinion(MinionState& aMinion,
                                         std::int64_t aRestartedAtMs,
                                         const std::set<RunName>& aSurvivors,
                                         TimePoint aNow)
{
  RecordCrash(aMinion, aRestartedAtMs, aSurvivors, aNow);
  aMinion.m_formerStartsMs.insert(aMinion.m_entry.m_startedAtMs);
  aMinion.m_formerStartsMs.erase(aRestartedAtMs);
  aMinion.m_entry.m_startedAtMs = aRestartedAtMs;
  for (auto& [key, start] : aMinion.m_openStarts) {
    start.m_isRevoked = false;
    start.m_lastStopAt = {};
  }
  for (auto& [name, run] : aMinion.m_runs) {
    run.m_lastStopAt = {};
  }
  DropEndedRuns(
    aMinion, [](const Run&) { return true; }, aSurvivors, aNow);
  if (HasOpenGrant(aMinion, aNow)) {
    AssumeLongestLease(aMinion, aNow);
  }
  m_advice.ForgetMinion(aMinion.m_entry.m_id);
  aMinion.m_lastProcessedEnd = 0;
  aMinion.m_lastAcknowledgedEnd = 0;
  aMinion.m_hasMoreEnds = false;
  aMinion.m_consecutiveFailures = 0;
  aMinion.m_isFenced = false;
}

void PoolScheduler::RemoveMinion(const std::string& aId, TimePoint aNow)
{
  const auto found = m_minions.find(aId);
  if (found == m_minions.end()) {
    return;
  }
  found->second.m_isRegistered = false;
  if (IsUnused(found->second, found->second.m_leaseEnd, aNow) && !m_awaited.contains(aId)) {
    m_minionSpeeds.Forget(aId);
    m_minions.erase(found);
  }
}

void PoolScheduler::OnMachineIncarnation(const MachineIncarnation& aLatest, TimePoint aNow)
{
  m_crashHistory.OnIncarnation(aLatest, aNow);
  for (auto& [id, minion] : m_minions) {
    const MinionEntry& entry = minion.m_entry;
    const bool isReplaced = id != aLatest.m_minion && entry.m_machine == aLatest.m_machine &&
                            !entry.m_machine.empty() && entry.m_startedAtMs != 0 &&
                            entry.m_startedAtMs < aLatest.m_startedAtMs &&
                            !(minion.m_isRegistered && entry.m_rowVersion > aLatest.m_rowVersion);
    if (isReplaced) {
      RecordCrash(minion, aLatest.m_startedAtMs, {}, aNow);
      DropAllRuns(minion, aNow);
      minion.m_openStarts.clear(); // Orders name the minion, so the later one refuses them.
      m_awaited.erase(id);
      minion.m_isRegistered = false;
      minion.m_leaseEnd = {};
    }
  }
}

std::vector<std::string> PoolScheduler::EndLeasesOfUnresponsive()
{
  std::vector<std::string> unresponsive;
  for (auto& [id, minion] : m_minions) {
    const bool isUnresponsive = minion.m_missedCalls > 0 || !minion.m_isFenced;
    if (minion.m_isRecorded && isUnresponsive) {
      minion.m_isRecorded = false;
      minion.m_isLeaseFinal = true;
      unresponsive.push_back(id);
    }
  }
  return unresponsive;
}

void PoolScheduler::AwaitMinion(const std::string& aId, TimePoint aLeaseEnd)
{
  m_awaited[aId] = aLeaseEnd;
}

bool PoolScheduler::IsRecovering(TimePoint aNow) const
{
  return std::any_of(m_awaited.begin(), m_awaited.end(), [&](const auto& aEntry) {
    const auto minion = m_minions.find(aEntry.first);
    return aNow < aEntry.second || (minion != m_minions.end() && !IsLost(minion->second, aNow));
  });
}

void PoolScheduler::SetRestrictions(const MachineRestrictions& aRestrictions, TimePoint aNow)
{
  m_restrictions = aRestrictions;
  m_restrictedAt = aNow;
  for (auto& [id, minion] : m_minions) {
    const bool wasCordoned = minion.m_isCordoned;
    const std::string& machine = minion.m_entry.m_machine;
    minion.m_isCordoned = m_restrictions.m_cordoned.contains(machine);
    minion.m_isAwaitingMaintenance = m_restrictions.m_awaitingMaintenance.contains(machine);
    if (minion.m_isCordoned && !wasCordoned) {
      minion.m_cordonedAt = aNow;
    }
  }
}

void PoolScheduler::LapseCordons(TimePoint aNow)
{
  if (m_restrictions.m_cordoned.empty() || aNow - m_restrictedAt <= m_restrictions.m_cordonTime) {
    return;
  }
  m_orders.m_lapsedCordons.assign(m_restrictions.m_cordoned.begin(),
                                  m_restrictions.m_cordoned.end());
  MachineRestrictions restrictions = m_restrictions;
  restrictions.m_cordoned.clear();
  SetRestrictions(restrictions, aNow);
}

std::vector<std::string> PoolScheduler::TakeDrainedMinions()
{
  std::vector<std::string> drained;
  for (auto& [id, minion] : m_minions) {
    if (minion.IsLeaving() && !minion.m_isReleased && HasNoWork(minion) &&
        minion.m_openStarts.empty()) {
      minion.m_isReleased = true;
      minion.m_isRecorded = false;
      drained.push_back(id);
    }
  }
  return drained;
}

bool PoolScheduler::IsDrained(const std::string& aMachine, TimePoint aNow) const
{
  bool isFound = false;
  for (const auto& [id, minion] : m_minions) {
    if (minion.m_entry.m_machine != aMachine) {
      continue;
    }
    if (!minion.m_isCordoned || !HasNoWork(minion)) {
      return false;
    }
    isFound = true;
  }
  return isFound || aNow - m_beganAt > kMinionDiscoveryTime;
}

void PoolScheduler::OnLeaseGranted(const std::string& aMinion,
                                   TimePoint aLeaseEnd,
                                   TimePoint aSentAt)
{
  const auto found = m_minions.find(aMinion);
  if (found != m_minions.end()) {
    found->second.m_leaseEnd = std::max(found->second.m_leaseEnd, aLeaseEnd);
    found->second.m_leaseSentAt = aSentAt;
  }
}

void PoolScheduler::OnLeaseExtensionFailed(const std::string& aMinion, TimePoint aAskedAt)
{
  const auto found = m_minions.find(aMinion);
  if (found != m_minions.end()) {
    ++found->second.m_missedCalls;
    found->second.m_failedCallSentAt = aAskedAt;
  }
}

void PoolScheduler::OnContactInterrupted(const std::string& aMinion)
{
  const auto found = m_minions.find(aMinion);
  if (found != m_minions.end()) {
    found->second.m_isFenced = false;
  }
}

bool PoolScheduler::HasOpenGrant(const MinionState& aMinion, TimePoint aNow) const
{
  return !aMinion.m_openStarts.empty() || (aMinion.m_failedCallSentAt != TimePoint{} &&
                                           aNow - aMinion.m_failedCallSentAt <= kMaxOrderDelay);
}

void PoolScheduler::AssumeLongestLease(MinionState& aMinion, TimePoint aNow) const
{
  aMinion.m_leaseEnd =
    std::max(aMinion.m_leaseEnd, aNow + Scaled(m_policy.m_maxGrantedLease, kClockSlowdown));
}

void PoolScheduler::NoteLongestLease(MinionState& aMinion, TimePoint aNow) const
{
  AssumeLongestLease(aMinion, aNow);
  aMinion.m_longLeaseUntil = std::max(aMinion.m_longLeaseUntil, aMinion.m_leaseEnd);
}

void PoolScheduler::OnUnlistedLease(const std::string& aMinion, TimePoint aNow)
{
  const auto found = m_minions.find(aMinion);
  if (found != m_minions.end()) {
    found->second.m_isFenced = false;
    NoteLongestLease(found->second, aNow);
  }
}

bool PoolScheduler::MayHaveEffect(const OpenStart& aStart,
                                  const MinionState& aMinion,
                                  TimePoint aNow) const
{
  const TimePoint latestStart = aStart.m_orderedAt + kMaxOrderDelay;
  if (aNow <= latestStart) {
    return true;
  }
  // A later incarnation that carries the order out grants the longest lease: the time in the order
  // is one on another clock. Later calls with a lease may have reached that incarnation as well. A
  // later list of runs has the run if it has begun.
  const TimePoint latestGrant = std::max(latestStart, aMinion.m_leaseSentAt + kMaxOrderDelay);
  const Millis longestRun = Scaled(m_policy.m_maxGrantedLease, kClockSlowdown);
  return aMinion.m_listAskedAt <= latestStart && aNow <= latestGrant + longestRun;
}

void PoolScheduler::ExpireLeases(TimePoint aNow)
{
  for (auto entry = m_minions.begin(); entry != m_minions.end();) {
    MinionState& minion = entry->second;
    if (minion.m_longLeaseUntil != TimePoint{} && aNow > minion.m_longLeaseUntil) {
      minion.m_longLeaseUntil = {};
      for (auto& [name, run] : minion.m_runs) {
        run.m_isOfFormerOrder = false;
      }
    }
    std::erase_if(minion.m_openStarts,
                  [&](const auto& aStart) { return !MayHaveEffect(aStart.second, minion, aNow); });
    if (IsLost(minion, aNow)) {
      if (!minion.IsLeaving() && !minion.m_areLossesCounted) {
        m_crashHistory.OnRunsLost(minion.m_entry, SuspectsOn(minion, {}), aNow);
      }
      minion.m_areLossesCounted = true;
      DropEndedRuns(
        minion, [&](const Run& aRun) { return MustWaitForOrder(aRun, aNow); }, {}, aNow);
      m_awaited.erase(entry->first);
    }
    if (IsUnused(minion, minion.m_leaseEnd + kLeaseExpiryMargin, aNow) &&
        !m_awaited.contains(entry->first) && !minion.m_isRegistered) {
      m_minionSpeeds.Forget(entry->first);
      entry = m_minions.erase(entry);
    } else {
      ++entry;
    }
  }
}

bool PoolScheduler::IsLost(const MinionState& aMinion, TimePoint aNow) const
{
  // Expired leases are not enough: when this node's thread was blocked, an answer that lists the
  // ends of the runs may not have been read yet.
  return aNow > aMinion.m_leaseEnd + kLeaseExpiryMargin &&
         aMinion.m_failedCallSentAt > aMinion.m_leaseEnd;
}

} // namespace mustardtray::job
