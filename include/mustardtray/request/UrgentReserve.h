#pragma once

/// Number of slots that may-wait requests leave free, based on how often urgent requests arrived
/// without a free slot.

#include "mustardtray/process/Time.h"

namespace mustardtray {

enum class ReservePolicy
{
  None,
  Fixed,    ///< A fixed fraction of the slots.
  Adaptive, ///< Grows with each urgent request that waits for may-wait work, and decays
            ///< exponentially.
};

class UrgentReserve
{
public:
  explicit UrgentReserve(ReservePolicy aPolicy);

  /// Reports an urgent request that found no free slot while may-wait requests ran above their
  /// floor. The reserve grows to at most aMaxSlots.
  void OnUrgentBlocked(TimePoint aNow, int aMaxSlots);
  /// Number of slots to leave free, at most aMaxSlots.
  int Slots(TimePoint aNow, int aTotalSlots, int aMaxSlots) const;

private:
  double DecayedLevel(TimePoint aNow) const;

  ReservePolicy m_policy;
  double m_level = 0; ///< Reserved slots at m_changedAt, before decay.
  TimePoint m_changedAt;
};

} // namespace mustardtray
