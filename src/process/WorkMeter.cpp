#include "mustardtray/process/WorkMeter.h"

#include <fmt/format.h>

namespace mustardtray {

void WorkMeter::Count(TimePoint aNow)
{
  m_usages[m_current].m_time += aNow - m_since;
  m_since = aNow;
}

std::size_t WorkMeter::Begin(WorkPart aPart, TimePoint aNow)
{
  Count(aNow);
  const std::size_t outer = m_current;
  m_current = static_cast<std::size_t>(aPart);
  ++m_usages[m_current].m_times;
  return outer;
}

void WorkMeter::End(std::size_t aOuter, TimePoint aNow)
{
  Count(aNow);
  m_current = aOuter;
}

std::string WorkMeter::TakeSummary()
{
  constexpr Micros kLeastTime{ 1'000 };
  std::string summary;
  for (const auto& [part, name] : EnumNames<WorkPart>::kTable) {
    const Usage& usage = m_usages[static_cast<std::size_t>(part)];
    if (usage.m_time >= kLeastTime) {
      summary += fmt::format("{}{}:{}/{}",
                             summary.empty() ? "" : ",",
                             name,
                             std::chrono::duration_cast<Millis>(usage.m_time).count(),
                             usage.m_times);
    }
  }
  m_usages = {};
  return summary.empty() ? "none" : summary;
}

} // namespace mustardtray
