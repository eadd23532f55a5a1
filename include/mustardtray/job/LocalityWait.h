#pragma once

/// Decides whether a work unit whose data is in one rack starts in another rack, where it takes
/// longer, or waits until a minion of the rack has room.

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mustardtray/job/Job.h"
#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// Why a unit waits, does not wait, or no longer waits.
enum class LocalityReason
{
  GainExpected,  ///< It waits: waiting takes less time than starting elsewhere adds.
  Started,       ///< The wait ended because a minion of the rack had room.
  WaitOver,      ///< The end that was set when the wait began has passed.
  NoSlowdown,    ///< Units are not slower away from their data.
  JobLate,       ///< The job is late, or beyond its account's rate.
  CapacityShort, ///< Other units wait that fit on no minion.
  RackUnusable,  ///< No minion of the rack accepts work.
  RackHasRoom,   ///< A minion of the rack has room, but is avoided for another reason.
  RackHot,       ///< More units wait for the rack than runs end there in time.
  GainTooSmall,  ///< Waiting is not expected to be clearly faster.
  NoSlack,       ///< The job would become late.
};

/// A minion of the rack that accepts work.
struct LocalMinion
{
  struct Run
  {
    TimePoint m_expectedEnd{};
    Resources m_reserved;
  };

  Resources m_free;
  std::vector<Run> m_runs; ///< Those whose ends are foreseeable, by expected end.
};

/// What is known of a unit and the rack of its data.
struct LocalityInputs
{
  const std::vector<LocalMinion>* m_minions = nullptr;
  Resources m_need;
  /// Units of this size that wait for the rack and are placed first.
  std::size_t m_unitsAhead = 0;
  double m_farFactor = 1.0; ///< Factor by which the run time is longer in other racks.
  Millis m_runTime{ 0 };    ///< Expected run time in the rack.
  Millis m_slack{ 0 };      ///< Time until the latest start that meets the job's objective.
  bool m_isLate = false;    ///< Late or beyond the account's rate.
  bool m_isCapacityShort = false;
};

/// A wait of a unit. It is decided once, so that a sequence of wrong estimates cannot prolong it.
struct LocalityWait
{
  LocalityReason m_reason = LocalityReason::NoSlowdown;
  TimePoint m_beganAt{};
  TimePoint m_end{};      ///< The unit starts elsewhere from then on.
  Millis m_expected{ 0 }; ///< Expected wait at its begin.
  bool m_hasEnded = false;

  bool IsActive() const { return m_reason == LocalityReason::GainExpected && !m_hasEnded; }
};

/// A wait for the rack of a unit's data that has ended, for logs.
struct LocalityWaitNotice
{
  std::string m_unit;
  std::string m_rack;
  Millis m_expected{ 0 };
  Millis m_actual{ 0 };
  Millis m_limit{ 0 }; ///< Set when the wait began.
  LocalityReason m_reason = LocalityReason::Started;
};

/// Returns whether a unit that could start in another rack now should wait.
LocalityWait BeginLocalityWait(const LocalityInputs& aInputs, TimePoint aNow);
/// Returns GainExpected while the unit should go on waiting, or why the wait ends.
LocalityReason ReviewLocalityWait(const LocalityWait& aWait,
                                  const LocalityInputs& aInputs,
                                  TimePoint aNow);

/// Returns the time added to an expected wait for the error of the estimate.
inline Millis LocalityMargin(Millis aExpectedWait)
{
  // Half of the wait covers estimates that are too short by a third; 100 ms is the period of
  // decisions, by which an end may be noticed late.
  return aExpectedWait / 2 + Millis(100);
}

} // namespace mustardtray::job

namespace mustardtray {

template<>
struct EnumNames<job::LocalityReason>
{
  static constexpr std::array kTable{
    std::pair{ job::LocalityReason::GainExpected, std::string_view("gain-expected") },
    std::pair{ job::LocalityReason::Started, std::string_view("started") },
    std::pair{ job::LocalityReason::WaitOver, std::string_view("wait-over") },
    std::pair{ job::LocalityReason::NoSlowdown, std::string_view("no-slowdown") },
    std::pair{ job::LocalityReason::JobLate, std::string_view("job-late") },
    std::pair{ job::LocalityReason::CapacityShort, std::string_view("capacity-short") },
    std::pair{ job::LocalityReason::RackUnusable, std::string_view("rack-unusable") },
    std::pair{ job::LocalityReason::RackHasRoom, std::string_view("rack-has-room") },
    std::pair{ job::LocalityReason::RackHot, std::string_view("rack-hot") },
    std::pair{ job::LocalityReason::GainTooSmall, std::string_view("gain-too-small") },
    std::pair{ job::LocalityReason::NoSlack, std::string_view("no-slack") },
  };
};

} // namespace mustardtray
