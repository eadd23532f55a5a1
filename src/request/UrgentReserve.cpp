#include "mustardtray/request/UrgentReserve.h"

#include <algorithm>
#include <cmath>

namespace mustardtray {

namespace {

constexpr double kSlotsPerBlockedArrival = 1;
constexpr double kFixedShare = 0.25;
constexpr std::chrono::duration<double> kDecayTime{ 10 };

} // namespace

UrgentReserve::UrgentReserve(ReservePolicy aPolicy)
  : m_policy(aPolicy)
{
}

double UrgentReserve::Level(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - m_changedAt;
  return m_level * std::exp(-age / kDecayTime);
}

void UrgentReserve::OnUrgentBlocked(TimePoint aNow, int aHighest)
{
  m_level = std::min(Level(aNow) + kSlotsPerBlockedArrival, 1.0 * aHighest);
  m_changedAt = aNow;
}

int UrgentReserve::Slots(TimePoint aNow, int aTotalSlots, int aHighest) const
{
  double wanted = 0;
  if (m_policy == ReservePolicy::Fixed) {
    wanted = std::ceil(kFixedShare * aTotalSlots);
  } else if (m_policy == ReservePolicy::Adaptive) {
    wanted = std::round(Level(aNow));
  }
  return std::clamp(static_cast<int>(wanted), 0, std::max(aHighest, 0));
}

} // namespace mustardtray
