#pragma once

/// Slots of a service's minions that are assigned to this entry VM. Keeps track of their use and
/// selects the minion for the next request.

#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/MinionHealth.h"
#include "mustardtray/request/Routing.h"

namespace mustardtray {

/// Numbers of slots at the healthy minions.
struct SlotCount
{
  int m_total = 0;
  int m_free = 0;
};

class MinionSlots
{
public:
  struct Choice
  {
    std::string m_minion;
    bool m_isProbe = false;
  };

  /// Replaces the shares. A minion that is not listed receives no new requests, but its running
  /// requests continue.
  void SetShares(const std::vector<MinionShare>& aShares);

  SlotCount CountHealthySlots(TimePoint aNow) const;
  /// True if any listed minion has slots, regardless of its health.
  bool HasSlots() const;

  /// Takes a slot of an unhealthy minion for which a probe is due.
  std::optional<Choice> TakeProbe(TimePoint aNow, ProbeRisk aRisk);
  /// Takes a slot of the healthy minion with the largest ratio of free slots. Minions in
  /// aTriedMinions are considered only if every healthy minion has been tried.
  std::optional<Choice> TakeHealthy(TimePoint aNow, const std::vector<std::string>& aTriedMinions);

  /// Releases the slot of a finished attempt and records the outcome. An attempt that timed out
  /// keeps its slot until OnSlotFreed() or until aHeldUntil.
  void Release(TimePoint aNow,
               const std::string& aMinion,
               const HealthSample& aSample,
               TimePoint aHeldUntil);
  void OnSlotFreed(const std::string& aMinion);

  int InUse(TimePoint aNow, const std::string& aMinion) const;
  const MinionHealth& Health() const { return m_health; }
  /// The next time after aNow at which a slot becomes free or a probe becomes due without another
  /// event.
  std::optional<TimePoint> NextWake(TimePoint aNow) const;

private:
  struct Minion
  {
    std::string m_id;
    int m_slots = 0; ///< Zero if the minion receives no new requests.
    int m_running = 0;
    std::vector<TimePoint> m_heldUntil; ///< One entry for each slot held by a timed-out attempt.
    std::uint64_t m_lastTaken = 0;

    int InUse(TimePoint aNow) const;
    int Free(TimePoint aNow) const;
  };

  Choice TakeSlot(Minion& aMinion, bool aIsProbe);
  Minion* FindLeastLoaded(TimePoint aNow, const std::vector<std::string>& aExcludedMinions);
  bool AreAllHealthyTried(const std::vector<std::string>& aTriedMinions) const;
  Minion* Find(const std::string& aId);
  const Minion* Find(const std::string& aId) const;

  std::vector<Minion> m_minions;
  MinionHealth m_health;
  std::uint64_t m_takeCount = 0;
};

} // namespace mustardtray
