#include "node/LinkLoad.h"

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

constexpr Millis kMeasurePeriod{ 200 };
/// Weight of the latest measurement, so that a single long message changes little.
constexpr double kSmoothing = 0.4;
/// Leaves room for what arrives before other nodes have been told.
constexpr double kHighShare = 1.0 / 3;
/// Requests are short while other nodes ask first, so the load alone does not tell when to end it.
constexpr Millis kAskFirstTime{ 3'000 };

} // namespace

LinkLoad::LinkLoad(NodeContext& aContext)
  : m_context(aContext)
  , m_measuredAt(MonotonicNow())
{
  if (aContext.m_settings.m_linkBytesPerSecond > 0) {
    m_timer = aContext.m_timers.Every(kMeasurePeriod, 0, [this] { Measure(); });
  }
}

Millis LinkLoad::AskFirstTime() const
{
  return std::max(std::chrono::duration_cast<Millis>(m_askFirstUntil - MonotonicNow()),
                  Millis{ 0 });
}

void LinkLoad::Measure()
{
  constexpr double kMicrosPerSecond = 1'000'000.0;
  const TimePoint now = MonotonicNow();
  if (now <= m_measuredAt) {
    return;
  }
  const std::uint64_t received = m_context.m_http.Traffic().Total().m_received;
  const double seconds = static_cast<double>((now - m_measuredAt).count()) / kMicrosPerSecond;
  const double share = static_cast<double>(received - m_received) /
                       (seconds * m_context.m_settings.m_linkBytesPerSecond);
  m_received = received;
  m_measuredAt = now;
  m_share += kSmoothing * (share - m_share);
  if (m_share < kHighShare) {
    return;
  }
  if (AskFirstTime() == Millis{ 0 }) {
    Log(LogCategory::Process, LogLevel::Info, "link-loaded", "received-share", m_share);
  }
  m_askFirstUntil = now + kAskFirstTime;
}

} // namespace mustardtray::node
