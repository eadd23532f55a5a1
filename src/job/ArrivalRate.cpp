#include "mustardtray/job/ArrivalRate.h"

#include <algorithm>

namespace mustardtray::job {

namespace {

/// Short, because moving a machine to the pool takes over a second; long enough for several
/// arrivals.
constexpr Millis kWindow{ 600 };

} // namespace

void ArrivalRate::Add(TimePoint aAt, double aWork)
{
  m_arrivals.push_back({ aAt, aWork });
  while (aAt - m_arrivals.front().m_at > kWindow) {
    m_arrivals.pop_front();
  }
}

double ArrivalRate::DemandedCores(TimePoint aNow) const
{
  double sum = 0;
  double largest = 0;
  for (const Arrival& arrival : m_arrivals) {
    if (aNow - arrival.m_at <= kWindow) {
      sum += arrival.m_work;
      largest = std::max(largest, arrival.m_work);
    }
  }
  return (sum - largest) / static_cast<double>(kWindow.count());
}

} // namespace mustardtray::job
