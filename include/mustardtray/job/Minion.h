#pragma once

/// What a minion says of itself, and what it answers to orders.

#include <cstdint>
#include <string>
#include <vector>

#include "mustardtray/job/Job.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// A minion's registration. A minion is one life of a machine.
struct MinionEntry
{
  std::string m_id;
  std::int64_t m_bornMs = 0; ///< Start of this life; a minion may start again under its old id.
  std::string m_pool;
  std::string m_address; ///< IP and port.
  std::string m_zone;
  std::string m_machine;
  bool m_isDraining = false;
  Resources m_capacity;
  std::vector<std::string> m_labels;

  bool HasLabel(const std::string& aLabel) const
  {
    for (const std::string& label : m_labels) {
      if (label == aLabel) {
        return true;
      }
    }
    return false;
  }
  /// The rack is the last label; empty when there is none.
  std::string Rack() const { return m_labels.empty() ? std::string{} : m_labels.back(); }
};

/// Which minion is the present life of a machine. A later life began later by the machine's clock.
struct MachineLife
{
  std::string m_machine;
  std::string m_minion;
  std::int64_t m_bornMs = 0;
};

/// An order to begin one run of a work unit.
struct StartOrder
{
  std::string m_minion;
  std::string m_unit; ///< UnitId::Text().
  std::uint32_t m_run = 0;
  std::string m_payload;
  std::string m_checkpoint; ///< Empty: from the beginning.
  std::string m_ticket;     ///< Of the placement advisor; empty where none is needed.
};

struct StopOrder
{
  std::string m_minion;
  std::string m_unit;
  std::uint32_t m_run = 0;
};

/// Order to let a run work at a share of its speed.
struct PaceOrder
{
  std::string m_minion;
  std::string m_unit;
  std::uint32_t m_run = 0;
  int m_percent = 100;
};

enum class StartVerdict
{
  Started,  ///< Or already there.
  Fenced,   ///< The minion has seen a newer owner.
  Outdated, ///< A run of this number or a higher one was stopped or has ended there.
  Late,     ///< The order came after its validity.
  NoRoom,
  NoTicket,
  Unhealthy, ///< Nothing was done.
  OtherLife, ///< The minion has started anew under its id.
  Rejected,  ///< Nothing was done, for another reason.
  NoAnswer,  ///< May have been done, or may still be.
};

/// A run that a minion lists as present.
struct ListedRun
{
  std::string m_unit;
  std::uint32_t m_run = 0;
  std::string m_checkpoint;
  int m_percent = 0;  ///< Progress; of a lasting unit, 100 when it is at work.
  double m_gauge = 0; ///< Of a unit that serves: response-time tail in ms; of others: cpu in use.
};

/// An end that a minion lists until it is acknowledged.
struct ListedEnd
{
  std::uint64_t m_number = 0; ///< Rises within one life of the minion.
  std::string m_unit;
  std::uint32_t m_run = 0;
  RunEnd m_end = RunEnd::Failed;
  std::string m_checkpoint;
};

/// A minion's answer to a lease extension.
struct HoldReport
{
  std::int64_t m_clockMs = 0; ///< The minion's own steady clock.
  std::int64_t m_bornMs = 0;
  std::vector<ListedRun> m_running;
  std::vector<ListedEnd> m_ended;
};

} // namespace mustardtray::job

namespace mustardtray {

template<>
struct EnumNames<job::StartVerdict>
{
  static constexpr std::array kTable{
    std::pair{ job::StartVerdict::Started, std::string_view("started") },
    std::pair{ job::StartVerdict::Fenced, std::string_view("fenced") },
    std::pair{ job::StartVerdict::Outdated, std::string_view("outdated") },
    std::pair{ job::StartVerdict::Late, std::string_view("late") },
    std::pair{ job::StartVerdict::NoRoom, std::string_view("no-room") },
    std::pair{ job::StartVerdict::NoTicket, std::string_view("no-ticket") },
    std::pair{ job::StartVerdict::Unhealthy, std::string_view("unhealthy") },
    std::pair{ job::StartVerdict::OtherLife, std::string_view("other-life") },
    std::pair{ job::StartVerdict::Rejected, std::string_view("rejected") },
    std::pair{ job::StartVerdict::NoAnswer, std::string_view("no-answer") },
  };
};

} // namespace mustardtray
