#include "node/PoolOwner.h"

#include <fmt/format.h>

#include "mustardtray/process/Log.h"

/// Logs waits for the rack of a unit's data.

namespace mustardtray::node {

namespace {

constexpr Millis kLocalityLogPeriod{ 250 };

} // namespace

void PoolOwner::LogLocalityWaits(const job::PoolOrders& aOrders)
{
  for (const auto& [reason, count] : aOrders.m_localityWaitsByReason) {
    m_localityWaits[reason] += count;
  }
  const TimePoint now = LeaseClockNow();
  if (!aOrders.m_localityWait || now - m_localityLogAt < kLocalityLogPeriod) {
    return;
  }
  std::string ended;
  for (const auto& [reason, count] : m_localityWaits) {
    ended += fmt::format("{}{}:{}", ended.empty() ? "" : ",", ToName(reason), count);
  }
  const job::LocalityWaitNotice& notice = *aOrders.m_localityWait;
  Log(LogCategory::Placement,
      LogLevel::Info,
      "locality-wait",
      "pool",
      Pool(),
      "unit",
      notice.m_unit,
      "rack",
      notice.m_rack,
      "expected-ms",
      notice.m_expected.count(),
      "actual-ms",
      notice.m_actual.count(),
      "limit-ms",
      notice.m_limit.count(),
      "reason",
      ToName(notice.m_reason),
      "ended", // By reason, since the last line.
      ended);
  m_localityWaits.clear();
  m_localityLogAt = now;
}

} // namespace mustardtray::node
