#pragma once

/// Registration of minions, the orders they get and the answers they give.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/job/Job.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// A minion's registration. Each incarnation of a machine is a minion.
struct MinionEntry
{
  std::string m_id;
  std::int64_t m_startedAtMs = 0; ///< Start time; a minion may restart under the same id.
  std::string m_pool;
  std::string m_address; ///< IP and port.
  std::string m_zone;
  std::string m_machine;
  bool m_isDraining = false;
  Resources m_capacity;
  std::vector<std::string> m_labels;
  std::uint64_t m_rowVersion = 0; ///< Of the registration in the store.
  /// From then on the registration may not show what the minion has now; zero: no limit.
  TimePoint m_outdatedAt{};

  bool HasLabel(const std::string& aLabel) const
  {
    for (const std::string& label : m_labels) {
      if (label == aLabel) {
        return true;
      }
    }
    return false;
  }
  /// Returns the rack, which is the last label; empty when there are no labels.
  std::string Rack() const { return m_labels.empty() ? std::string{} : m_labels.back(); }
};

/// The minion that is the current incarnation of a machine. Incarnations are ordered by their start
/// time on the machine's clock, which may be set back: the older registration is not the later one.
struct MachineIncarnation
{
  std::string m_machine;
  std::string m_minion;
  std::int64_t m_startedAtMs = 0;
  std::uint64_t m_rowVersion = 0; ///< Of its registration in the store.
};

/// Order to start a run of a work unit.
struct StartOrder
{
  std::string m_minion;
  std::string m_unit; ///< UnitId::Text().
  std::uint32_t m_run = 0;
  std::string m_payload;
  std::string m_checkpoint; ///< Empty: start from the beginning.
  std::string m_ticket;     ///< From the placement advisor; empty when the queue needs none.
};

/// Why a run is stopped.
enum class StopReason
{
  JobCancelled,
  JobCompleted,
  JobFailed,
  UnitDone,        ///< Another copy of the unit is done.
  StartUnanswered, ///< Its start order got no answer, so it may never begin.
  Unwanted,        ///< The minion lists it, but its unit runs elsewhere or its job has ended.
  Wave,            ///< Its minion is cordoned for maintenance.
  Move,            ///< Its minion is cordoned for another reason.
  MinionDraining,
  Overdue, ///< Its minion is cordoned, and the unit has not ended by itself in time.
};

/// Order to stop a run of a work unit.
struct StopOrder
{
  std::string m_minion;
  std::string m_unit;
  std::uint32_t m_run = 0;
  StopReason m_reason = StopReason::JobCancelled;
  bool m_isRepeated = false;        ///< An earlier order for the run got no answer.
  std::int64_t m_minionStartMs = 0; ///< Start time of the incarnation that the order is meant for.
  /// Other units of a long-running step that are not known to be at work, for the log.
  std::optional<std::uint32_t> m_unavailableOthers{};
};

/// Order to limit a run to a percentage of its full speed.
struct ThrottleOrder
{
  std::string m_minion;
  std::string m_unit;
  std::uint32_t m_run = 0;
  int m_percent = 100;
};

/// Result of a start or stop order.
enum class OrderResult
{
  Started,  ///< The order was carried out, now or earlier.
  Fenced,   ///< The minion has had an order from a newer owner.
  Outdated, ///< A run with this number or a higher one was stopped or has ended there.
  Late,     ///< The order arrived after its validity had ended.
  NoCapacity,
  NoTicket,
  Unhealthy,        ///< The minion is unhealthy and did nothing.
  OtherIncarnation, ///< The minion has restarted under the same id.
  Rejected,         ///< The minion did nothing, for another reason.
  NotSent,          ///< There was no connection to the incarnation that the order is meant for.
  NoAnswer,         ///< Unknown: the order may have been carried out or still be.
  /// Carried out by an incarnation that has not listed its runs to this owner.
  StartedUnlisted,
};

/// A run that a minion lists as running.
struct ListedRun
{
  std::string m_unit;
  std::uint32_t m_run = 0;
  std::string m_checkpoint;
  int m_percent = 0;  ///< Progress; 100 for a long-running unit that is ready.
  double m_gauge = 0; ///< Tail latency in ms for a unit that serves requests; CPU use for others.
};

/// An ended run, listed by its minion until the owner has acknowledged it.
struct ListedEnd
{
  std::uint64_t m_number = 0; ///< Increases within one incarnation of the minion.
  std::string m_unit;
  std::uint32_t m_run = 0;
  RunOutcome m_outcome = RunOutcome::Failed;
  std::string m_checkpoint;
};

/// A minion's answer to a lease extension: its running and its ended runs.
struct LeaseReport
{
  std::int64_t m_clockMs = 0; ///< Time on the minion's steady clock.
  std::int64_t m_startedAtMs = 0;
  std::vector<ListedRun> m_running;
  std::vector<ListedEnd> m_ended;
  /// Later reports list further ends, so a run that is not listed may have ended.
  bool m_hasMoreEnds = false;
  std::uint64_t m_fencingToken = 0; ///< Of the call that it answers.
  /// The token is higher than those of all calls of this owner that were meant for former
  /// incarnations: the incarnation refuses these from now on.
  bool m_isFencing = true;
};

} // namespace mustardtray::job

namespace mustardtray {

template<>
struct EnumNames<job::StopReason>
{
  static constexpr std::array kTable{
    std::pair{ job::StopReason::JobCancelled, std::string_view("job-cancelled") },
    std::pair{ job::StopReason::JobCompleted, std::string_view("job-completed") },
    std::pair{ job::StopReason::JobFailed, std::string_view("job-failed") },
    std::pair{ job::StopReason::UnitDone, std::string_view("unit-done") },
    std::pair{ job::StopReason::StartUnanswered, std::string_view("start-unanswered") },
    std::pair{ job::StopReason::Unwanted, std::string_view("unwanted") },
    std::pair{ job::StopReason::Wave, std::string_view("wave") },
    std::pair{ job::StopReason::Move, std::string_view("move") },
    std::pair{ job::StopReason::MinionDraining, std::string_view("minion-draining") },
    std::pair{ job::StopReason::Overdue, std::string_view("overdue") },
  };
};

template<>
struct EnumNames<job::OrderResult>
{
  static constexpr std::array kTable{
    std::pair{ job::OrderResult::Started, std::string_view("started") },
    std::pair{ job::OrderResult::Fenced, std::string_view("fenced") },
    std::pair{ job::OrderResult::Outdated, std::string_view("outdated") },
    std::pair{ job::OrderResult::Late, std::string_view("late") },
    std::pair{ job::OrderResult::NoCapacity, std::string_view("no-room") },
    std::pair{ job::OrderResult::NoTicket, std::string_view("no-ticket") },
    std::pair{ job::OrderResult::Unhealthy, std::string_view("unhealthy") },
    std::pair{ job::OrderResult::OtherIncarnation, std::string_view("other-life") },
    std::pair{ job::OrderResult::Rejected, std::string_view("rejected") },
    std::pair{ job::OrderResult::NotSent, std::string_view("not-sent") },
    std::pair{ job::OrderResult::NoAnswer, std::string_view("no-answer") },
    std::pair{ job::OrderResult::StartedUnlisted, std::string_view("started-unlisted") },
  };
};

} // namespace mustardtray
