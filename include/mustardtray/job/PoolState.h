#pragma once

/// What the owner of a pool knows: its jobs, its minions and what runs where. Plain data; the rules
/// are in PoolScheduler, Placement and Admission.

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "mustardtray/job/Job.h"
#include "mustardtray/job/Minion.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

struct Unit
{
  bool m_isDone = false;
  std::uint32_t m_failures = 0;
  std::uint32_t m_lastRun = 0;
  std::uint32_t m_lastFailedRun =
    0; ///< Counted in m_failures; an end can be listed more than once.
  std::string m_checkpoint;
  std::vector<std::string> m_minions; ///< Where runs of it are or may be.
  std::uint64_t m_failedRevision = 0; ///< Revision of the job that has the latest failure.
  std::string m_lastFailedOn;         ///< Minion of the latest failure.
};

struct StepState
{
  std::vector<Unit> m_units;
  std::uint32_t m_doneCount = 0;
  bool m_isQueued = false; ///< Listed among the steps that have units to start.

  bool IsDone() const { return m_doneCount == m_units.size(); }
};

/// One due time of a job; a job without repeats has one.
struct Occurrence
{
  TimePoint m_dueAt{};
  std::vector<StepState> m_steps;
};

struct Job
{
  JobRecord m_record;
  JobState m_state = JobState::Queued;
  bool m_hasStarted = false;
  bool m_isLate = false;      ///< Was accepted although it cannot meet its objective.
  bool m_isInherited = false; ///< Came before this owner took the pool over.
  std::uint32_t m_nextOccurrence = 0;
  std::map<std::uint32_t, Occurrence> m_occurrences; ///< Due and not done yet.
  TimePoint m_arrivedAt{};
  Millis m_chain{ 0 }; ///< Longest chain of estimated work.
  TimePoint m_endedAt{};
  std::vector<Millis> m_chainFrom;   ///< For each step: longest chain that begins with it.
  std::uint64_t m_revision = 0;      ///< Rises with each change of what has to be stored.
  std::uint64_t m_savedRevision = 0; ///< The latest that the store has.

  bool HasEnded() const { return m_state != JobState::Queued && m_state != JobState::Running; }
};

enum class RunPhase
{
  Starting, ///< Ordered; the minion has not confirmed it.
  Running,
  Stopping,
};

/// A run as its owner sees it on one minion.
struct Run
{
  UnitId m_unit;
  std::uint32_t m_run = 0;
  RunPhase m_phase = RunPhase::Starting;
  Resources m_reserved;
  TimePoint m_orderedAt{};
  TimePoint m_confirmedAt{};
  TimePoint m_lastStopAt{};
  int m_percent = 0;
  double m_gauge = 0;
  int m_pace = 100;
  TimePoint m_pacedAt{};
  bool m_isLasting = false;
  bool m_isFiller = false;
  Millis m_tailTarget{ 0 };
  Millis m_expected{ 0 }; ///< Run time, from the estimate and what the queue's units took so far.
  bool m_stopIsTaken = false; ///< The minion has confirmed the stop order.
};

/// A run that begins now. aStep: of its unit; nullptr when the unit is not known any more.
Run MakeRun(const UnitId& aUnit, std::uint32_t aRun, const StepSpec* aStep, TimePoint aNow);

struct MinionState
{
  MinionEntry m_entry;
  bool m_isListed = true;            ///< Its registration is in the store.
  bool m_isFenced = false;           ///< It has answered to this owner, so it obeys no earlier one.
  bool m_isCordoned = false;         ///< Gets no new work: planned work is ahead.
  TimePoint m_cordonedAt{};          ///< Since when it gets no new work for planned work.
  bool m_isRecorded = false;         ///< The store knows that work may be on it.
  std::map<std::string, Run> m_runs; ///< By UnitId::Text().
  Resources m_used;
  TimePoint m_heardAt{};
  TimePoint m_leaseEnd{};       ///< Latest time at which its runs can still hold a lease of ours.
  std::uint64_t m_seenEnd = 0;  ///< Ends up to this number have been taken in.
  std::uint64_t m_ackedEnd = 0; ///< Ends up to this number have been acknowledged at the minion.
  int m_failStreak = 0;         ///< Ends by failure, of different jobs, since the last success.
  int m_missedCalls = 0;        ///< Calls without an answer in a row.
  std::string m_lastFailedJob;
  TimePoint m_probeAt{};   ///< When a suspicious minion may get a single unit again.
  TimePoint m_restUntil{}; ///< It refused an order: no work until then.

  Resources Free() const
  {
    Resources free = m_entry.m_capacity;
    free -= m_used;
    return free;
  }
};

using JobTable = std::unordered_map<std::string, std::unique_ptr<Job>>;
using MinionTable = std::map<std::string, MinionState>;

/// JSON text of a job's progress, for the store.
std::string EncodeProgress(const Job& aJob);
/// Fills in the progress of a job that was made from its record. Errors: Invalid.
Result<void> DecodeProgress(std::string_view aText, Job& aJob);
/// The state that a stored progress text tells, without the rest; Queued for an empty text.
Result<JobState> DecodeProgressState(std::string_view aText);

/// Makes the occurrence's steps with all units waiting.
Occurrence MakeOccurrence(const JobSpec& aSpec, TimePoint aDueAt);
/// For each step, the longest chain of estimated work that begins with it.
std::vector<Millis> ChainsFrom(const JobSpec& aSpec);
/// The longest of the chains that ChainsFrom() gives; 0 when there is none.
Millis LongestChain(const std::vector<Millis>& aChainsFrom);
/// Estimated work of all units, in core-milliseconds.
double EstimatedWork(const JobSpec& aSpec);

} // namespace mustardtray::job
