#include "mustardtray/connection/TrafficMeter.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace mustardtray {

namespace {

/// Kinds between two summaries; further ones are counted together, since a kind may be the path of
/// a request.
constexpr std::size_t kMaxKinds = 100;
constexpr const char* kOtherKind = "other";

void AddTo(TrafficCount& aCount, std::uint64_t aSent, std::uint64_t aReceived, bool aIsAbandoned)
{
  ++aCount.m_calls;
  aCount.m_sent += aSent;
  aCount.m_received += aReceived;
  if (aIsAbandoned) {
    ++aCount.m_abandoned;
    aCount.m_wasted += aSent + aReceived;
  }
}

} // namespace

void TrafficMeter::Add(const std::string& aKind,
                       std::uint64_t aSent,
                       std::uint64_t aReceived,
                       bool aIsAbandoned)
{
  const bool isCounted = m_counts.size() < kMaxKinds || m_counts.contains(aKind);
  AddTo(m_counts[isCounted ? aKind : kOtherKind], aSent, aReceived, aIsAbandoned);
  AddTo(m_total, aSent, aReceived, aIsAbandoned);
}

std::string TrafficMeter::TakeSummary(std::size_t aMaxKinds)
{
  std::vector<std::pair<std::string, TrafficCount>> kinds(m_counts.begin(), m_counts.end());
  m_counts.clear();
  std::stable_sort(kinds.begin(), kinds.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.m_sent + aLeft.second.m_received >
           aRight.second.m_sent + aRight.second.m_received;
  });
  kinds.resize(std::min(kinds.size(), aMaxKinds));
  std::string summary;
  for (const auto& [kind, count] : kinds) {
    summary += fmt::format("{}{}:{}/{}/{}/{}/{}",
                           summary.empty() ? "" : ",",
                           kind,
                           count.m_calls,
                           count.m_abandoned,
                           count.m_sent,
                           count.m_received,
                           count.m_wasted);
  }
  return summary.empty() ? "none" : summary;
}

} // namespace mustardtray
