#include "node/NodeMonitor.h"

#include <algorithm>
#include <ctime>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

constexpr Millis kCheckPeriod{ 50 };
constexpr Millis kMinLoggedDelay{ 50 };
constexpr Millis kDelayLogPeriod{ 1'000 };
constexpr Millis kSummaryPeriod{ 5'000 };
/// Kinds of calls in a line about the traffic, those with most bytes.
constexpr std::size_t kMaxLoggedKinds = 12;

Micros ProcessorTime()
{
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  return Micros(static_cast<std::int64_t>(std::clock()) * kMicrosPerSecond / CLOCKS_PER_SEC);
}

std::int64_t ToMillis(Micros aTime)
{
  return std::chrono::duration_cast<Millis>(aTime).count();
}

} // namespace

NodeMonitor::NodeMonitor(NodeContext& aContext, std::function<std::size_t()> aCountPools)
  : m_context(aContext)
  , m_countPools(std::move(aCountPools))
  , m_checkedAt(MonotonicNow())
  , m_loggedAt(m_checkedAt)
  , m_processorTimeAtLog(ProcessorTime())
  , m_delayTimer(aContext.m_timers.Every(kCheckPeriod, 0, [this] { CheckDelay(); }))
  , m_summaryTimer(aContext.m_timers.Every(kSummaryPeriod, 0, [this] { LogSummary(); }))
{
}

void NodeMonitor::CheckDelay()
{
  const TimePoint now = MonotonicNow();
  m_longestDelay = std::max(m_longestDelay, now - m_checkedAt - kCheckPeriod);
  m_checkedAt = now;
  const Micros elapsed = now - m_loggedAt;
  if (elapsed < kDelayLogPeriod) {
    return;
  }
  const Micros processorTime = ProcessorTime();
  const std::string parts = m_context.m_work.TakeSummary();
  if (m_longestDelay >= kMinLoggedDelay) {
    Log(LogCategory::Process,
        LogLevel::Warning,
        "thread-late",
        "late-ms",
        ToMillis(m_longestDelay),
        "within-ms",
        ToMillis(elapsed),
        "processor-ms",
        ToMillis(processorTime - m_processorTimeAtLog),
        "parts", // Milliseconds and times of each part of the work.
        parts);
  }
  m_loggedAt = now;
  m_longestDelay = Micros{ 0 };
  m_processorTimeAtLog = processorTime;
}

void NodeMonitor::LogSummary() const
{
  const platform::StoreCallCounts& counts = m_context.m_store.Counts();
  Log(LogCategory::Process,
      LogLevel::Info,
      "summary",
      "store-writes",
      counts.m_writes,
      "store-reads",
      counts.m_reads,
      "store-follows",
      counts.m_follows,
      "store-failures",
      counts.m_failures,
      "pools",
      m_countPools(),
      "lease-left-ms",
      m_context.m_lease.Remaining().count(),
      "configuration-version",
      m_context.m_deployment.m_version,
      "configuration-age-ms",
      ConfigurationAge(m_context).count());
  const TrafficCount& total = m_context.m_http.Traffic().Total();
  Log(LogCategory::Process,
      LogLevel::Info,
      "link-use",
      "sent",
      total.m_sent,
      "received",
      total.m_received,
      "wasted",
      total.m_wasted,
      "running",
      m_context.m_http.Running(),
      "kinds", // Calls, abandoned calls, and bytes sent, received and wasted, since the last line.
      m_context.m_http.Traffic().TakeSummary(kMaxLoggedKinds));
}

} // namespace mustardtray::node
