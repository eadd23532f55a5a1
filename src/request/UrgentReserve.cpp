#include "mustardtray/request/UrgentReserve.h"

#include <algorithm>
#include <cmath>

namespace mustardtray {

namespace {

constexpr double kSlotsPerBlockedArrival = 1;
constexpr double kFixedReserveShare = 0.25;
constexpr std::chrono::duration<double> kReserveDecayTime{ 4 };

} // namespace

UrgentReserve::UrgentReserve(ReservePolicy aPolicy)
  : m_policy(aPolicy)
{
}

double UrgentReserve::DecayedLevel(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - m_changedAt;
  return m_level * std::exp(-age / kReserveDecayTime);
}

void UrgentReserve::OnUrgentBlocked(TimePoint aNow, int aMaxSlots)
{
  m_level = std::min(DecayedLevel(aNow) + kSlotsPerBlockedArrival, 1.0 * aMaxSlots);
  m_changedAt = aNow;
}

int UrgentReserve::Slots(TimePoint aNow, int aTotalSlots, int aMaxSlots) const
{
  double wanted = 0;
  if (m_policy == ReservePolicy::Fixed) {
    wanted = std::ceil(kFixedReserveShare * aTotalSlots);
  } else if (m_policy == ReservePolicy::Adaptive) {
    wanted = std::round(DecayedLevel(aNow));
  }
  return std::clamp(static_cast<int>(wanted), 0, std::max(aMaxSlots, 0));
}

} // namespace mustardtray
