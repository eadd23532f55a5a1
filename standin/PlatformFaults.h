#pragma once

/// Faults of the platform's stand-in that can be switched on, and the decisions that follow.

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
  Close,       ///< Closes the connection without an answer or effect.
  Unavailable, ///< Answers 503 without effect.
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
  Outage m_down = Outage::None;
  Millis m_slow{ 0 };                     ///< Added before each call takes effect.
  std::int64_t m_loseAnswers = 0;         ///< That many next transactions get no answer.
  double m_loseProbability = 0;           ///< Of each transaction's answer.
  std::int64_t m_seed = 1;                ///< Of the probability's random engine.
  Millis m_listLag{ 0 };                  ///< Of VM states in the VM list.
  Millis m_tableLag{ 0 };                 ///< Of reads and scans.
  Millis m_usageLag{ 0 };                 ///< Of usage in the list of workers.
  std::set<std::string> m_cutAddresses;   ///< Callers whose requests are closed without effect.
  std::set<std::string> m_failingReboots; ///< VM names.
  std::set<std::string> m_failingWorkers; ///< VM names; every task there fails at once.
};

/// Changes those members that the document names. Errors: Invalid with every fault.
Result<PlatformFaults> ParseFaults(std::string_view aText, const PlatformFaults& aCurrent);
PlatformFaults ReadFaults(JsonReader& aReader, const PlatformFaults& aCurrent);
Json ToJson(const PlatformFaults& aFaults);

/// Decides which transactions lose their answer.
class AnswerLoss
{
public:
  void Configure(const PlatformFaults& aFaults);
  /// To be asked once for each transaction.
  bool LosesNext();
  std::int64_t Left() const { return m_left; }

private:
  std::int64_t m_left = 0;
  double m_probability = 0;
  std::int64_t m_seed = 0;
  std::mt19937_64 m_random;
};

/// Tells which table revision a lagging reader sees.
class LaggingRevision
{
public:
  /// A lag that is switched on grows from nothing, as no earlier history is kept.
  void SetLag(Millis aLag, std::uint64_t aRevision);
  void OnCommit(TimePoint aNow, std::uint64_t aRevision);
  /// Revision to read as of; kLatest without a lag.
  std::uint64_t AsOf(TimePoint aNow);

private:
  struct Commit
  {
    TimePoint m_at;
    std::uint64_t m_revision = 0;
  };

  Millis m_lag{ 0 };
  std::uint64_t m_visible = 0;
  std::deque<Commit> m_hidden; ///< Commits that readers do not see yet.
};

} // namespace mustardtray
