#include "review/standin/RunLedger.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardtray::review {

namespace {

std::string Describe(const RunRecord& aRun)
{
  return fmt::format("{} run {} on {}", aRun.m_unit, aRun.m_run, aRun.m_minion);
}

} // namespace

RunRecord& RunLedger::Add(RunRecord aRun)
{
  m_runs.push_back(std::move(aRun));
  return m_runs.back();
}

std::optional<std::string> RunLedger::FindOverlap() const
{
  for (std::size_t later = 0; later < m_runs.size(); ++later) {
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      const RunRecord& first = m_runs[earlier];
      const RunRecord& second = m_runs[later];
      if (first.m_unit == second.m_unit &&
          (first.m_end.empty() || first.m_endedAt > second.m_startedAt)) {
        return fmt::format("{} began while {} went on", Describe(second), Describe(first));
      }
    }
  }
  return std::nullopt;
}

bool RunLedger::IsStartAfterDone(std::size_t aIndex) const
{
  const RunRecord& start = m_runs[aIndex];
  return std::any_of(m_runs.begin(),
                     m_runs.begin() + static_cast<std::ptrdiff_t>(aIndex),
                     [&](const RunRecord& aRun) {
                       return aRun.m_unit == start.m_unit && aRun.m_end == "done" &&
                              aRun.m_isNoted && !aRun.m_hasLapsed &&
                              aRun.m_endedAt < start.m_startedAt;
                     });
}

std::optional<std::string> RunLedger::FindStartAfterDone() const
{
  for (std::size_t i = 0; i < m_runs.size(); ++i) {
    if (IsStartAfterDone(i)) {
      return fmt::format("{} began after an earlier run had ended done", Describe(m_runs[i]));
    }
  }
  return std::nullopt;
}

std::size_t RunLedger::CountStartsAfterDone() const
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < m_runs.size(); ++i) {
    count += IsStartAfterDone(i) ? 1 : 0;
  }
  return count;
}

std::optional<std::string> RunLedger::FindStartBeyondAttempts(std::size_t aMaxAttempts) const
{
  for (std::size_t i = 0; i < m_runs.size(); ++i) {
    const RunRecord& start = m_runs[i];
    const auto failed = std::count_if(m_runs.begin(), m_runs.end(), [&](const RunRecord& aRun) {
      return aRun.m_unit == start.m_unit && aRun.m_end == "failed" && aRun.m_isNoted &&
             aRun.m_endedAt < start.m_startedAt;
    });
    if (static_cast<std::size_t>(failed) >= aMaxAttempts) {
      return fmt::format("{} began after {} failed runs", Describe(start), failed);
    }
  }
  return std::nullopt;
}

bool RunLedger::HasStarted(const std::string& aPrefix) const
{
  return std::any_of(m_runs.begin(), m_runs.end(), [&](const RunRecord& aRun) {
    return aRun.m_unit.starts_with(aPrefix);
  });
}

std::size_t RunLedger::CountEnds(const std::string& aPrefix,
                                 const std::string& aEnd,
                                 bool aIsNoted) const
{
  return static_cast<std::size_t>(
    std::count_if(m_runs.begin(), m_runs.end(), [&](const RunRecord& aRun) {
      return aRun.m_unit.starts_with(aPrefix) && aRun.m_end == aEnd &&
             (!aIsNoted || aRun.m_isNoted);
    }));
}

} // namespace mustardtray::review
