#pragma once

/// Measures what the thread of an event loop spends its time on.

#include <array>
#include <cstddef>
#include <string>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Parts of a node's work that can take long.
enum class WorkPart
{
  FleetPlan,    ///< Planning of machine orders.
  MachineList,  ///< Processing of the list of machines.
  PoolDecision, ///< Decisions of the pools' schedulers.
  PoolReport,   ///< Load and idle machines of a pool, for the planning of machine orders.
  MinionReport, ///< Processing of the minions' lists of runs.
  MinionTable,  ///< Processing of the minions' registrations.
  Submission,   ///< Admission of jobs.
  PoolLoad,     ///< Loading of a pool's jobs after a claim.
};

template<>
struct EnumNames<WorkPart>
{
  static constexpr std::array kTable{
    std::pair{ WorkPart::FleetPlan, std::string_view("fleet-plan") },
    std::pair{ WorkPart::MachineList, std::string_view("machine-list") },
    std::pair{ WorkPart::PoolDecision, std::string_view("pool-decision") },
    std::pair{ WorkPart::PoolReport, std::string_view("pool-report") },
    std::pair{ WorkPart::MinionReport, std::string_view("minion-report") },
    std::pair{ WorkPart::MinionTable, std::string_view("minion-table") },
    std::pair{ WorkPart::Submission, std::string_view("submission") },
    std::pair{ WorkPart::PoolLoad, std::string_view("pool-load") },
  };
};

class WorkMeter
{
public:
  /// Counts the time until its destruction for a part, except for the time in nested scopes.
  class Scope
  {
  public:
    Scope(WorkMeter& aMeter, WorkPart aPart)
      : m_meter(aMeter)
      , m_outer(aMeter.Begin(aPart, MonotonicNow()))
    {
    }
    ~Scope() { m_meter.End(m_outer, MonotonicNow()); }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    WorkMeter& m_meter;
    std::size_t m_outer;
  };

  /// Starts to count for a part; returns the index that the matching End() needs.
  std::size_t Begin(WorkPart aPart, TimePoint aNow);
  void End(std::size_t aOuter, TimePoint aNow);
  /// Describes the time since the previous call as "part:milliseconds/times,...", for parts with a
  /// millisecond or more; "none" when there are no such parts.
  std::string TakeSummary();

  /// How often a part has begun since the latest TakeSummary().
  std::size_t Times(WorkPart aPart) const
  {
    return m_usages[static_cast<std::size_t>(aPart)].m_times;
  }

private:
  static constexpr std::size_t kParts = EnumNames<WorkPart>::kTable.size();
  static constexpr std::size_t kNoPart = kParts;
  struct Usage
  {
    Micros m_time{ 0 };
    std::size_t m_times = 0;
  };
  void Count(TimePoint aNow);

  std::array<Usage, kParts + 1> m_usages{}; ///< The last one is for work outside of all parts.
  std::size_t m_current = kNoPart;
  TimePoint m_since{};
};

} // namespace mustardtray
