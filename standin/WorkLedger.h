#pragma once

/// Counts how often each piece of work ran, over all minions of one process.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mustardtray/process/JsonReader.h"

namespace mustardtray {

/// Work that ran more than once.
struct RepeatedWork
{
  std::string m_workId;
  std::uint32_t m_runs = 0;
  bool m_idempotent = false; ///< As marked by the request's sender.
};

class WorkLedger
{
public:
  /// Notes that a run began. Work without an id is counted for its service only.
  void Record(std::string_view aWorkId, std::string_view aService, bool aIdempotent);

  std::uint64_t Runs() const { return m_runs; }
  std::uint64_t DistinctWork() const { return m_runsByWork.size(); }
  std::uint32_t RunsOf(std::string_view aWorkId) const;
  const std::map<std::string, std::uint64_t, std::less<>>& RunsByService() const
  {
    return m_runsByService;
  }
  /// By work id; at most kMaxRepeated are kept, while the counts go on.
  std::vector<RepeatedWork> Repeated() const;
  /// Number of pieces of work that ran more than once although they were not idempotent.
  std::uint64_t DoubleRuns() const { return m_doubleRuns; }
  /// The same for idempotent work.
  std::uint64_t RepeatedIdempotent() const { return m_repeatedIdempotent; }

  static constexpr std::size_t kMaxRepeated = 1'000;

private:
  std::uint64_t m_runs = 0;
  std::uint64_t m_doubleRuns = 0;
  std::uint64_t m_repeatedIdempotent = 0;
  std::map<std::string, std::uint64_t, std::less<>> m_runsByService;
  /// Keyed by a 64-bit hash of the work id, to hold millions.
  std::unordered_map<std::uint64_t, std::uint32_t> m_runsByWork;
  std::map<std::string, RepeatedWork, std::less<>> m_repeated;
};

Json ToJson(const WorkLedger& aLedger);

} // namespace mustardtray
