#pragma once

/// State of a pool in its owner: the jobs, the minions and their runs. These are plain data types;
/// the rules are in PoolScheduler, Placement and Admission.

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mustardtray/job/CrashHistory.h"
#include "mustardtray/job/Job.h"
#include "mustardtray/job/LocalityWait.h"
#include "mustardtray/job/Minion.h"
#include "mustardtray/job/RunTimeCorrection.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

struct Unit
{
  bool m_isDone = false;
  std::uint32_t m_failures = 0;
  std::uint32_t m_lastRun = 0;
  /// Already counted in m_failures; needed because an end can be listed repeatedly.
  std::uint32_t m_lastFailedRun = 0;
  std::string m_checkpoint;
  std::vector<std::string> m_minions; ///< Minions that have or may have a run of the unit.
  std::uint64_t m_failedRevision = 0; ///< Job revision that includes the latest failure.
  std::string m_lastFailedOn;         ///< Minion of the latest failure.
  CrashCounts m_crashes;              ///< Crashes of minions that ran the unit.
  std::uint32_t m_lastCrashedRun = 0; ///< Already counted; the members of a gang share a run.
  TimePoint m_isolationSoughtAt{};    ///< Since when it waits for a minion of its own.
};

struct StepState
{
  std::vector<Unit> m_units;
  std::uint32_t m_doneCount = 0;
  bool m_isQueued = false; ///< Listed among the steps with units to start.
  /// By unit: waits for the rack of the data. Not stored: a new owner may let a unit wait again.
  std::map<std::uint32_t, LocalityWait> m_localityWaits;

  bool IsDone() const { return m_doneCount == m_units.size(); }
};

/// An occurrence of a repeated job; other jobs have one occurrence.
struct Occurrence
{
  TimePoint m_dueAt{};
  std::vector<StepState> m_steps;
};

struct Job
{
  JobRecord m_record;
  JobState m_state = JobState::Queued;
  bool m_hasStarted = false;  ///< A minion has confirmed or listed a run, or listed its end.
  bool m_isLate = false;      ///< Accepted although it cannot meet its objective.
  bool m_isExcess = false;    ///< Beyond the rate to which its account is entitled.
  bool m_isInherited = false; ///< Accepted before this owner took over the pool.
  std::uint32_t m_nextOccurrence = 0;
  std::map<std::uint32_t, Occurrence> m_occurrences; ///< Due, but not done.
  TimePoint m_arrivedAt{};
  Millis m_criticalPath{ 0 }; ///< Of the estimated run times.
  TimePoint m_endedAt{};
  std::vector<Millis> m_longestPathFrom; ///< By step: longest path that begins with it.
  std::uint64_t m_revision = 0;          ///< Incremented with each change that has to be stored.
  std::uint64_t m_savedRevision = 0;     ///< Latest revision in the store.
  bool m_isHeld = false;                 ///< Nothing of it starts, since it is about to move.
  TimePoint m_idleSince{};               ///< Since when nothing of it runs although units wait.
  TimePoint m_nextMoveCheckAt{};         ///< See PoolScheduler::FindMovable().
  bool m_hasCrashes = false;             ///< A minion has crashed under one of its units.
  /// Result for the current run time correction; computed when it is needed.
  mutable CorrectedPaths m_correctedPaths;

  bool HasEnded() const { return m_state != JobState::Queued && m_state != JobState::Running; }
  /// Whether no unit has started. Repeated jobs wait for their times, not for capacity.
  bool IsWaiting() const
  {
    return !m_hasStarted && !HasEnded() && m_record.m_spec.m_repeatCount == 0;
  }
};

enum class RunPhase
{
  Starting, ///< The start order has not been confirmed by the minion.
  Running,
  Stopping,
};

/// The owner's view of a run on a minion.
struct Run
{
  UnitId m_unit;
  std::uint32_t m_run = 0;
  RunPhase m_phase = RunPhase::Starting;
  Resources m_reserved;
  TimePoint m_orderedAt{};
  TimePoint m_confirmedAt{};
  TimePoint m_lastStopAt{};
  StopReason m_stopReason = StopReason::JobCancelled; ///< Of the first stop order.
  int m_percent = 0;
  double m_gauge = 0;
  int m_speedPercent = 100;
  TimePoint m_throttledAt{};
  bool m_isLongRunning = false;
  bool m_isBestEffort = false;
  bool m_isGang = false;
  bool m_isSuspect = false;  ///< A minion crashed under the unit, and nothing explains it.
  bool m_isIsolated = false; ///< Nothing else is placed on its minion.
  Millis m_tailLatencyTarget{ 0 };
  Millis m_expectedRunTime{ 0 };  ///< The estimate, corrected by measured run times.
  bool m_isStopConfirmed = false; ///< The minion has confirmed the stop order.
  bool m_isListed = false;        ///< Its minion's latest complete list has it.
  bool m_isSizeUnknown = false;   ///< Of an unknown job: m_reserved is not what it uses.
  /// Started by an order that was meant for a former incarnation of its minion, so it may have the
  /// longest lease that the minion grants.
  bool m_isOfFormerOrder = false;
};

/// Creates a run that starts now. aStep is the unit's step, or nullptr when its job is unknown.
Run MakeRun(const UnitId& aUnit, std::uint32_t aRun, const StepSpec* aStep, TimePoint aNow);

/// A start order that may still be carried out: it has no answer, and its run has not been listed.
struct OpenStart
{
  TimePoint m_orderedAt{};
  TimePoint m_lastStopAt{};
  /// The minion's current incarnation refuses the order: it has confirmed a stop of the run, or has
  /// seen a higher token.
  bool m_isRevoked = false;
  std::uint64_t m_fencingToken = 0; ///< Of the order.
  bool m_isUnanswered = false;      ///< Its call has ended without an answer that can be relied on.
};

/// UnitId::Text() and run number.
using RunName = std::pair<std::string, std::uint32_t>;

struct MinionState
{
  MinionEntry m_entry;
  bool m_isRegistered = true;           ///< The store has its registration.
  std::int64_t m_registeredStartMs = 0; ///< Start time in its registration.
  std::int64_t m_reportedStartMs = 0;   ///< Start time in its latest report.
  /// Start times of former incarnations. The machine's clock may have been set back since.
  std::set<std::int64_t> m_formerStartsMs;
  /// Its current incarnation has answered this owner, and refuses calls of earlier owners and calls
  /// that were meant for its former incarnations.
  bool m_isFenced = false;
  std::uint64_t m_fencingToken = 0; ///< Of the latest call that it answered.
  bool m_isCordoned = false;        ///< Gets no new work because of planned maintenance or a move.
  TimePoint m_cordonedAt{};         ///< When it was cordoned.
  bool m_isAwaitingMaintenance = false; ///< Will be cordoned soon.
  bool m_isRecorded = false;            ///< The store has a record that work may be on it.
  /// The record is removed because the minion is leaving and has no work. If it stays after all, it
  /// has to answer before it is recorded again.
  bool m_isReleased = false;
  bool m_isLeaseFinal = false;       ///< It gets no more leases from this owner.
  std::string m_heldForJob;          ///< Being emptied for a unit that needs isolation.
  std::map<std::string, Run> m_runs; ///< By UnitId::Text().
  /// Kept after the run has been dropped.
  std::map<RunName, OpenStart> m_openStarts;
  std::set<RunName> m_recordedStarts; ///< Starts in its record in the store.
  bool m_isLongLeaseRecorded = false;
  std::int64_t m_recordedStartMs = 0; ///< Start time in that record.
  int m_isolatedRuns = 0;             ///< Runs with m_isIsolated.
  Resources m_used;
  std::size_t m_runsOfUnknownSize = 0;
  TimePoint m_lastAnswerAt{};
  TimePoint m_listAskedAt{}; ///< When the latest complete list of runs and ends was asked for.
  bool m_areLossesCounted = false; ///< Its loss has been recorded; it has not answered since.
  TimePoint m_leaseEnd{};          ///< Latest time at which its runs can still hold a lease.
  TimePoint m_leaseSentAt{};       ///< When the latest call with a lease was sent.
  /// Until then a call that was meant for a former incarnation may have given its runs the longest
  /// lease that the minion grants.
  TimePoint m_longLeaseUntil{};
  std::uint64_t m_lastProcessedEnd = 0;    ///< Ends up to this number have been processed.
  std::uint64_t m_lastAcknowledgedEnd = 0; ///< Ends up to this number have been acknowledged.
  bool m_hasMoreEnds = false;              ///< Its latest report did not list all ends.
  int m_consecutiveFailures = 0;           ///< Failures of different jobs since the last success.
  int m_missedCalls = 0;                   ///< Consecutive calls without an answer.
  TimePoint m_failedCallSentAt{}; ///< When the latest lease extension without an answer was sent.
  std::string m_lastFailedJob;
  TimePoint m_probeAt{};     ///< When a suspicious minion may get a unit again, as a probe.
  TimePoint m_pausedUntil{}; ///< Gets no work until then because it refused an order.
  bool m_isSlow = false;     ///< See MinionSpeeds; it gets work last...
  TimePoint m_trialAt{};     ///< ...except for one unit from then on, to measure it again.

  /// Whether its registration is of a former incarnation, which may have had another capacity.
  bool IsRegistrationOutdated() const
  {
    return m_registeredStartMs != 0 && (m_registeredStartMs < m_reportedStartMs ||
                                        m_formerStartsMs.contains(m_registeredStartMs));
  }
  /// Start orders that may still be carried out, or have been by a later incarnation than they were
  /// meant for. aIsAnswerPending: also those that were just sent.
  std::set<RunName> OpenStarts(bool aIsAnswerPending) const
  {
    std::set<RunName> names;
    for (const auto& [unit, run] : m_runs) {
      if (run.m_isOfFormerOrder) {
        names.emplace(unit, run.m_run);
      }
    }
    for (const auto& [name, start] : m_openStarts) {
      if (start.m_isUnanswered || aIsAnswerPending) {
        names.insert(name);
      }
    }
    return names;
  }
  bool HasOpenStart(const Run& aRun) const
  {
    return m_openStarts.contains({ aRun.m_unit.Text(), aRun.m_run });
  }
  /// Whether its end is expected.
  bool IsLeaving() const { return m_isCordoned || m_entry.m_isDraining; }
  Resources Free() const
  {
    Resources free = m_entry.m_capacity;
    free -= m_used;
    return free;
  }
};

using JobTable = std::unordered_map<std::string, std::unique_ptr<Job>>;
using MinionTable = std::map<std::string, MinionState>;

/// Encodes a job's progress as JSON for the store. Checkpoints beyond aMaxBytes are left out: their
/// units start from the beginning after a takeover.
std::string EncodeProgress(const Job& aJob,
                           std::size_t aMaxBytes = std::numeric_limits<std::size_t>::max());
/// Restores the progress of a job that was created from its record. Fails with ErrorKind::Invalid.
Result<void> DecodeProgress(std::string_view aText, Job& aJob);
/// Returns the job state in a stored progress text; Queued for an empty text. Fails with
/// ErrorKind::Invalid.
Result<JobState> DecodeProgressState(std::string_view aText);

/// Whether the units of the step have their turn.
bool ArePredecessorsDone(const StepSpec& aSpec, const Occurrence& aOccurrence);
/// Creates an occurrence with all units waiting.
Occurrence MakeOccurrence(const JobSpec& aSpec, TimePoint aDueAt);
/// Returns for each step the longest path of estimated run times that begins with it.
std::vector<Millis> LongestPathsFrom(const JobSpec& aSpec);
/// Returns the longest of the paths that LongestPathsFrom() returned; 0 when there are none.
Millis CriticalPath(const std::vector<Millis>& aLongestPathsFrom);
/// Returns the estimated work of all units in core-milliseconds.
double EstimatedWork(const JobSpec& aSpec);

} // namespace mustardtray::job
