#pragma once

/// Counts how often each work item ran on the minions of one process.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mustardtray/process/JsonReader.h"

namespace mustardtray {

/// A work item that ran more than once.
struct RepeatedWork
{
  std::string m_workId;
  std::uint32_t m_runs = 0;
  bool m_isIdempotent = false; ///< As marked by the sender of the request.
};

class RunCounter
{
public:
  /// Counts a run at its start. Work without an id is counted only in the totals and by service.
  void RecordRun(std::string_view aWorkId, std::string_view aService, bool aIsIdempotent);

  std::uint64_t Runs() const { return m_runs; }
  std::uint64_t DistinctWork() const { return m_runsByWork.size(); }
  std::uint32_t RunsOf(std::string_view aWorkId) const;
  const std::map<std::string, std::uint64_t, std::less<>>& RunsByService() const
  {
    return m_runsByService;
  }
  /// Repeated work items, ordered by id. At most kMaxRepeated are stored; the counters include all.
  std::vector<RepeatedWork> Repeated() const;
  /// Number of work items that ran more than once although they were not idempotent.
  std::uint64_t DoubleRuns() const { return m_doubleRuns; }
  /// Number of idempotent work items that ran more than once.
  std::uint64_t RepeatedIdempotent() const { return m_repeatedIdempotent; }

  static constexpr std::size_t kMaxRepeated = 1'000;

private:
  std::uint64_t m_runs = 0;
  std::uint64_t m_doubleRuns = 0;
  std::uint64_t m_repeatedIdempotent = 0;
  std::map<std::string, std::uint64_t, std::less<>> m_runsByService;
  /// Keyed by a 64-bit hash of the work id to save memory, since it may hold millions of items.
  std::unordered_map<std::uint64_t, std::uint32_t> m_runsByWork;
  std::map<std::string, RepeatedWork, std::less<>> m_repeated;
};

Json ToJson(const RunCounter& aRunCounter);

} // namespace mustardtray
