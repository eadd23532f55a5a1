#pragma once

/// All runs that minions have begun, and the checks of the rules on runs.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "mustardtray/process/Time.h"

namespace mustardtray::review {

struct RunRecord
{
  std::string m_unit;
  std::uint32_t m_run = 0;
  std::string m_minion; ///< Id and start time of the minion's life.
  TimePoint m_startedAt{};
  TimePoint m_endedAt{};
  std::string m_end;        ///< How it ended; empty while it runs.
  bool m_isNoted = false;   ///< The end was acknowledged by last_seen.
  bool m_hasLapsed = false; ///< The minion's lease has lapsed between the end and its note.
};

class RunLedger
{
public:
  RunRecord& Add(RunRecord aRun);
  const std::deque<RunRecord>& Runs() const { return m_runs; }

  /// Two runs of one unit at the same time. Returns a description of the first pair.
  std::optional<std::string> FindOverlap() const;
  /// A start after a run of the unit has ended done, if that end was taken note of then or later.
  std::optional<std::string> FindStartAfterDone() const;
  std::size_t CountStartsAfterDone() const;
  /// A start after so many runs of the unit have ended failed, if these ends were taken note of.
  std::optional<std::string> FindStartBeyondAttempts(std::size_t aMaxAttempts) const;
  /// Whether a unit whose name begins so has ever been started.
  bool HasStarted(const std::string& aPrefix) const;
  std::size_t CountEnds(const std::string& aPrefix, const std::string& aEnd, bool aIsNoted) const;

private:
  bool IsStartAfterDone(std::size_t aIndex) const;
  std::deque<RunRecord> m_runs; ///< In the order of their starts.
};

} // namespace mustardtray::review
