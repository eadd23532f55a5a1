#pragma once

/// Slots that may-wait work leaves free, sized by how often urgent arrivals found none.

#include "mustardtray/process/Time.h"

namespace mustardtray {

enum class ReservePolicy
{
  None,
  Fixed,    ///< A fixed part of the slots.
  Adaptive, ///< Grows with each urgent arrival that has to wait for may-wait work, and decays.
};

class UrgentReserve
{
public:
  explicit UrgentReserve(ReservePolicy aPolicy);

  /// An urgent request found all slots taken, some of them by may-wait work.
  void OnUrgentBlocked(TimePoint aNow, int aHighest);
  /// Slots to leave free, at most aHighest.
  int Slots(TimePoint aNow, int aTotalSlots, int aHighest) const;

private:
  double Level(TimePoint aNow) const;

  ReservePolicy m_policy;
  double m_level = 0; ///< Slots at m_changedAt.
  TimePoint m_changedAt;
};

} // namespace mustardtray
