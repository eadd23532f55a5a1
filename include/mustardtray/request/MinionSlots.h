#pragma once

/// This entry VM's shares of a service's minions: which slots are free, and which minion is to
/// take the next request.

#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/MinionHealth.h"
#include "mustardtray/request/Routing.h"

namespace mustardtray {

/// Slots of the healthy minions.
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

  /// A minion that is not listed keeps what runs there and takes no new work.
  void Set(const std::vector<MinionShare>& aShares);

  SlotCount Count(TimePoint aNow) const;
  /// True when any listed minion has slots, whatever its health.
  bool HasAny() const;

  /// Takes a slot of a minion under suspicion that is due for a probe.
  std::optional<Choice> TakeProbe(TimePoint aNow, ProbeRisk aRisk);
  /// Takes a slot of the healthy minion with the largest part of its slots free, leaving out those
  /// that were tried before unless there are no others.
  std::optional<Choice> Take(TimePoint aNow, const std::vector<std::string>& aTried);

  /// Ends an attempt. A timed-out one keeps its slot until SlotFreed() or aHeldUntil.
  void Release(TimePoint aNow,
               const std::string& aMinion,
               const HealthSample& aSample,
               TimePoint aHeldUntil);
  void SlotFreed(const std::string& aMinion);

  int InUse(TimePoint aNow, const std::string& aMinion) const;
  const MinionHealth& Health() const { return m_health; }
  /// When a slot is freed or a probe becomes due by time alone.
  std::optional<TimePoint> NextWake(TimePoint aNow) const;

private:
  struct Minion
  {
    std::string m_id;
    int m_slots = 0; ///< Zero when it takes no new work.
    int m_running = 0;
    std::vector<TimePoint> m_heldUntil; ///< One for each timed-out attempt.
    std::uint64_t m_lastTaken = 0;

    int InUse(TimePoint aNow) const;
    int Free(TimePoint aNow) const;
  };

  Choice TakeSlot(Minion& aMinion, bool aIsProbe);
  Minion* Best(TimePoint aNow, const std::vector<std::string>& aLeftOut);
  bool AllTried(const std::vector<std::string>& aTried) const;
  Minion* Find(const std::string& aId);
  const Minion* Find(const std::string& aId) const;

  std::vector<Minion> m_minions;
  MinionHealth m_health;
  std::uint64_t m_takes = 0;
};

} // namespace mustardtray
