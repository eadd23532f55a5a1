#include "mustardtray/request/MinionSlots.h"

#include <algorithm>
#include <set>

namespace mustardtray {

namespace {

bool Contains(const std::vector<std::string>& aIds, const std::string& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

} // namespace

int MinionSlots::Minion::InUse(TimePoint aNow) const
{
  const auto held = std::count_if(
    m_heldUntil.begin(), m_heldUntil.end(), [aNow](TimePoint aUntil) { return aUntil > aNow; });
  return m_running + static_cast<int>(held);
}

int MinionSlots::Minion::Free(TimePoint aNow) const
{
  return std::max(0, m_slots - InUse(aNow));
}

MinionSlots::Minion* MinionSlots::Find(const std::string& aId)
{
  const auto found = std::find_if(
    m_minions.begin(), m_minions.end(), [&](const Minion& aMinion) { return aMinion.m_id == aId; });
  return found == m_minions.end() ? nullptr : &*found;
}

const MinionSlots::Minion* MinionSlots::Find(const std::string& aId) const
{
  return const_cast<MinionSlots*>(this)->Find(aId);
}

void MinionSlots::SetShares(const std::vector<MinionShare>& aShares)
{
  for (Minion& minion : m_minions) {
    minion.m_slots = 0;
  }
  std::set<std::string> ids;
  for (const MinionShare& share : aShares) {
    Minion* minion = Find(share.m_id);
    if (!minion) {
      minion = &m_minions.emplace_back();
      minion->m_id = share.m_id;
    }
    minion->m_slots = std::max(0, std::min(share.m_slots, share.m_connections));
    if (minion->m_slots > 0) {
      ids.insert(share.m_id);
    }
  }
  std::erase_if(m_minions, [&](const Minion& aMinion) {
    return !ids.contains(aMinion.m_id) && aMinion.m_running == 0 && aMinion.m_heldUntil.empty();
  });
  m_health.SetMinions(ids);
}

SlotCount MinionSlots::CountHealthySlots(TimePoint aNow) const
{
  SlotCount count;
  for (const Minion& minion : m_minions) {
    if (m_health.IsHealthy(minion.m_id)) {
      count.m_total += minion.m_slots;
      count.m_free += minion.Free(aNow);
    }
  }
  return count;
}

bool MinionSlots::HasSlots() const
{
  return std::any_of(
    m_minions.begin(), m_minions.end(), [](const Minion& aMinion) { return aMinion.m_slots > 0; });
}

MinionSlots::Choice MinionSlots::TakeSlot(Minion& aMinion, bool aIsProbe)
{
  ++aMinion.m_running;
  aMinion.m_lastTaken = ++m_takeCount;
  if (aIsProbe) {
    m_health.OnProbeSent(aMinion.m_id);
  }
  return { aMinion.m_id, aIsProbe };
}

std::optional<MinionSlots::Choice> MinionSlots::TakeProbe(TimePoint aNow, ProbeRisk aRisk)
{
  for (Minion& minion : m_minions) {
    if (minion.Free(aNow) > 0 && m_health.CanProbe(aNow, minion.m_id, aRisk)) {
      return TakeSlot(minion, true);
    }
  }
  return std::nullopt;
}

bool MinionSlots::AreAllHealthyTried(const std::vector<std::string>& aTriedMinions) const
{
  return std::all_of(m_minions.begin(), m_minions.end(), [&](const Minion& aMinion) {
    return aMinion.m_slots == 0 || !m_health.IsHealthy(aMinion.m_id) ||
           Contains(aTriedMinions, aMinion.m_id);
  });
}

MinionSlots::Minion* MinionSlots::FindLeastLoaded(TimePoint aNow,
                                                  const std::vector<std::string>& aExcludedMinions)
{
  Minion* best = nullptr;
  double bestFreeRatio = 0;
  for (Minion& minion : m_minions) {
    const int free = minion.Free(aNow);
    if (free == 0 || !m_health.IsHealthy(minion.m_id) || Contains(aExcludedMinions, minion.m_id)) {
      continue;
    }
    const double freeRatio = static_cast<double>(free) / minion.m_slots;
    if (!best || freeRatio > bestFreeRatio ||
        (freeRatio == bestFreeRatio && minion.m_lastTaken < best->m_lastTaken)) {
      best = &minion;
      bestFreeRatio = freeRatio;
    }
  }
  return best;
}

std::optional<MinionSlots::Choice> MinionSlots::TakeHealthy(
  TimePoint aNow,
  const std::vector<std::string>& aTriedMinions)
{
  const bool excludeTried = !aTriedMinions.empty() && !AreAllHealthyTried(aTriedMinions);
  Minion* minion = FindLeastLoaded(aNow, excludeTried ? aTriedMinions : std::vector<std::string>{});
  if (!minion) {
    return std::nullopt;
  }
  return TakeSlot(*minion, false);
}

void MinionSlots::Release(TimePoint aNow,
                          const std::string& aMinion,
                          const HealthSample& aSample,
                          TimePoint aHeldUntil)
{
  Minion* minion = Find(aMinion);
  if (!minion) {
    return;
  }
  --minion->m_running;
  std::erase_if(minion->m_heldUntil, [aNow](TimePoint aUntil) { return aUntil <= aNow; });
  if (aSample.m_outcome == AttemptOutcome::TimedOut) {
    minion->m_heldUntil.push_back(aHeldUntil);
  }
  m_health.OnOutcome(aNow, aMinion, aSample);
}

void MinionSlots::OnSlotFreed(const std::string& aMinion)
{
  Minion* minion = Find(aMinion);
  if (minion && !minion->m_heldUntil.empty()) {
    minion->m_heldUntil.erase(minion->m_heldUntil.begin());
  }
}

int MinionSlots::InUse(TimePoint aNow, const std::string& aMinion) const
{
  const Minion* minion = Find(aMinion);
  return minion ? minion->InUse(aNow) : 0;
}

std::optional<TimePoint> MinionSlots::NextWake(TimePoint aNow) const
{
  std::optional<TimePoint> next = m_health.NextProbe(aNow);
  for (const Minion& minion : m_minions) {
    for (const TimePoint until : minion.m_heldUntil) {
      if (until > aNow && (!next || until < *next)) {
        next = until;
      }
    }
  }
  return next;
}

} // namespace mustardtray
