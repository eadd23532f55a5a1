#pragma once

/// Faults that can be injected into the platform stand-in, and their effects on calls and reads.

#include <cstdint>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Time.h"
#include "standin/PlatformTable.h"

namespace mustardtray {

enum class Outage
{
  None,
  Close,       ///< Closes the connection without a response; calls have no effect.
  Unavailable, ///< Responds with status 503; calls have no effect.
};

template<>
struct EnumNames<Outage>
{
  static constexpr std::array kTable{
    std::pair{ Outage::None, std::string_view("none") },
    std::pair{ Outage::Close, std::string_view("close") },
    std::pair{ Outage::Unavailable, std::string_view("unavailable") },
  };
};

struct PlatformFaults
{
  Outage m_outage = Outage::None;
  Millis m_callDelay{ 0 };              ///< Delay before each call takes effect.
  std::int64_t m_responsesToLose = 0;   ///< Number of upcoming transactions that get no response.
  double m_responseLossProbability = 0; ///< Of losing the response to a transaction, from 0 to 1.
  std::int64_t m_seed = 1; ///< Seed of the random engine that decides on lost responses.
  Millis m_listLag{ 0 };   ///< Lag of VM states in the VM list.
  Millis m_tableLag{ 0 };  ///< Lag of reads and scans.
  Millis m_usageLag{ 0 };  ///< Lag of usage in the worker list.
  std::set<std::string> m_blockedAddresses; ///< Clients whose calls are closed without effect.
  std::set<std::string> m_failingReboots;   ///< Names of VMs whose reboots fail.
  std::set<std::string> m_failingWorkers;   ///< Names of VMs on which every task fails immediately.
};

/// Returns aCurrent with the members that the document contains replaced. Errors: Invalid; the
/// message lists every error of the document.
Result<PlatformFaults> ParseFaults(std::string_view aText, const PlatformFaults& aCurrent);
PlatformFaults ReadFaults(JsonReader& aReader, const PlatformFaults& aCurrent);
Json ToJson(const PlatformFaults& aFaults);

/// Decides which transactions lose their response.
class ResponseLoss
{
public:
  void Configure(const PlatformFaults& aFaults);
  /// Must be called exactly once for each transaction.
  bool ShouldLoseNext();
  std::int64_t RemainingCount() const { return m_remaining; }

private:
  std::int64_t m_remaining = 0;
  double m_probability = 0;
  std::int64_t m_seed = 0;
  std::mt19937_64 m_random;
};

/// Determines the table revision that lagging reads see.
class LaggingRevision
{
public:
  /// Sets the lag. A lag that is switched on starts at the current revision, because no earlier
  /// history is kept.
  void SetLag(Millis aLag, std::uint64_t aRevision);
  void OnCommit(TimePoint aNow, std::uint64_t aRevision);
  /// Returns the revision that reads see at aNow; kLatest without a lag.
  std::uint64_t VisibleRevisionAt(TimePoint aNow);

private:
  struct TimedCommit
  {
    TimePoint m_time;
    std::uint64_t m_revision = 0;
  };

  Millis m_lag{ 0 };
  std::uint64_t m_visibleRevision = 0;
  std::deque<TimedCommit> m_hiddenCommits; ///< Commits that are not visible to readers yet.
};

} // namespace mustardtray
