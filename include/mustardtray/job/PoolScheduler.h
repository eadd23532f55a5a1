#pragma once

/// Decides what the owner of a pool orders: events go in, orders come out. No clock, socket, timer
/// or thread inside. Load that it answers: many jobs of several steps on minions that fail, hang,
/// answer late and vanish, with several takeovers of the pool.

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/job/Admission.h"
#include "mustardtray/job/AdviceBook.h"
#include "mustardtray/job/ArrivalRate.h"
#include "mustardtray/job/Placement.h"
#include "mustardtray/job/PoolState.h"
#include "mustardtray/job/RunTimes.h"

namespace mustardtray::job {

/// Bounds that the scheduler keeps to.
struct PoolPolicy
{
  Millis m_maxRunLease{ 6'000 }; ///< Longest lease that a minion grants.
};

/// Orders that an event gives rise to.
struct PoolOrders
{
  std::vector<StartOrder> m_starts;
  std::vector<StopOrder> m_stops;
  std::vector<PaceOrder> m_paces;
  std::vector<AdviceQuestion> m_questions;
  std::vector<std::string> m_unsavedJobs; ///< Progress to write to the store.
};

/// Figures of a pool for the planner of machine moves.
struct PoolLoad
{
  std::int64_t m_capacityCpu = 0; ///< Of minions that take work.
  std::int64_t m_usedCpu = 0;
  std::int64_t m_waitingCpu = 0; ///< Of units that could start at once if there were room.
  std::int64_t m_lastingCpu = 0; ///< Needed by units that last.
  double m_backlogCores = 0;     ///< That accepted jobs and those refused lately could use at once.
  double m_arrivingCores = 0;    ///< That the latest arrivals keep busy; see ArrivalRate.
  /// A unit waits although minions have the processor time for it: they lack its memory.
  bool m_lacksMemory = false;
  std::size_t m_spreadMinions = 0; ///< Minions that the widest lasting step has to be spread over.
};

/// A job whose latest start has passed by more than this counts as late: starts and ends are seen
/// some time after they happen.
inline constexpr Millis kLateTolerance{ 300 };

class PoolScheduler
{
public:
  /// aNow: when this owner took the pool over.
  PoolScheduler(PoolPolicy aPolicy, TimePoint aNow)
    : m_policy(aPolicy)
    , m_beganAt(aNow)
  {
  }

  // Jobs.

  /// Takes in a job of an earlier owner, with its stored progress.
  Result<void> LoadJob(JobRecord aRecord,
                       std::string_view aProgress,
                       TimePoint aNow,
                       WallTime aWallNow);
  /// Whether the job should be accepted; changes nothing. aWaited: since the caller's first
  /// attempt.
  AdmissionVerdict Judge(const JobRecord& aRecord, Millis aWaited, TimePoint aNow) const;
  /// Adds a job that the store has. aFirstSeen: the caller's first attempt.
  void AddJob(JobRecord aRecord, TimePoint aFirstSeen, bool aIsLate);
  /// Marks a job as cancelled; false when it is not known.
  bool CancelJob(const std::string& aId, TimePoint aNow);
  const Job* FindJob(const std::string& aId) const;
  /// State to show: an end is shown only once the store has it.
  std::optional<JobState> ShownState(const std::string& aId) const;
  std::size_t WaitingJobs(const std::string& aQueue) const;
  /// The job's progress is on its way to the store: it is not listed as unsaved any more.
  void OnProgressTaken(const std::string& aId) { m_unsaved.erase(aId); }
  /// The store has the job's progress as it was when it was listed as unsaved.
  void OnProgressSaved(const std::string& aId, std::uint64_t aRevision);

  // Minions.

  void UpdateMinion(const MinionEntry& aEntry, TimePoint aNow);
  void RemoveMinion(const std::string& aId, TimePoint aNow);
  /// A machine has a new life: a minion that was an earlier one runs nothing any more.
  void OnMachineLife(const MachineLife& aLife, TimePoint aNow);
  /// Another owner may have ordered work there: inherited work waits until it answered or its
  /// longest lease has run out.
  void ExpectMinion(const std::string& aId, TimePoint aLeaseEnd);
  void SetCordons(const std::set<std::string>& aMachines, TimePoint aNow);
  /// aAskedAt: when the question was sent.
  void OnAdvice(const AdviceQuestion& aQuestion, const Advice& aAdvice, TimePoint aAskedAt);
  void OnAdviceFailed(const AdviceQuestion& aQuestion, TimePoint aNow);
  /// Whether planned work may take the machine now. False while work that should not be lost is on
  /// it.
  bool IsClear(const std::string& aMachine, TimePoint aNow) const;
  void OnStartAnswer(const StartOrder& aOrder, StartVerdict aVerdict, TimePoint aNow);
  void OnStopAnswer(const StopOrder& aOrder, StartVerdict aVerdict, TimePoint aNow);
  /// aAskedAt: when the call was sent.
  void OnHold(const std::string& aMinion,
              const HoldReport& aReport,
              TimePoint aAskedAt,
              TimePoint aNow);
  void OnHoldFailed(const std::string& aMinion);
  /// The minion has been told that ends up to a number are stored.
  void OnEndsAcknowledged(const std::string& aMinion, std::uint64_t aNumber);
  /// A lease that was sent to the minion, answered or not.
  void OnLeaseGranted(const std::string& aMinion, TimePoint aLeaseEnd);

  // Decisions.

  /// Due occurrences, lapsed leases, placements, repeated stops, paces.
  void Decide(TimePoint aNow, WallTime aWallNow);
  PoolOrders TakeOrders();
  PoolLoad Load(TimePoint aNow) const;
  /// A job was refused: its work is demand all the same.
  void OnRefused(const JobRecord& aRecord, TimePoint aNow);
  /// A caller asks for a job for the first time, whatever becomes of it.
  void OnFirstAttempt(const JobRecord& aRecord, TimePoint aNow);

  MinionTable& Minions() { return m_minions; }
  const MinionTable& Minions() const { return m_minions; }
  const JobTable& Jobs() const { return m_jobs; }
  void SetEpoch(std::uint32_t aEpoch) { m_epoch = aEpoch; }
  bool IsRecovering(TimePoint aNow) const;

private:
  /// A step that has, or may have, units to start.
  struct QueuedStep
  {
    Job* m_job;
    std::uint32_t m_occurrence;
    std::uint32_t m_step;
    double m_rank = 0;

    const StepSpec& Spec() const { return m_job->m_record.m_spec.m_steps[m_step]; }
    StepState& State() const { return m_job->m_occurrences.at(m_occurrence).m_steps[m_step]; }
  };

  void Setup(Job& aJob, TimePoint aNow);
  void BeginDueOccurrences(Job& aJob, TimePoint aNow, WallTime aWallNow);
  void QueueReadySteps(Job& aJob, std::uint32_t aOccurrence);
  void QueueStep(Job& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);
  void OnEnd(MinionState& aMinion, const ListedEnd& aEnd, TimePoint aNow);
  void OnUnitDone(Job& aJob, const UnitId& aId, TimePoint aNow);
  void OnUnitFailed(Job& aJob,
                    const UnitId& aId,
                    std::uint32_t aRun,
                    const std::string& aMinion,
                    TimePoint aNow);
  void TakeRunning(MinionState& aMinion,
                   const HoldReport& aReport,
                   TimePoint aAskedAt,
                   TimePoint aNow);
  /// Enters a run under its unit's name at its minion and, when it is known, at its unit.
  Run& AddRun(MinionState& aMinion, Unit* aUnit, const std::string& aName, Run aRun);
  void DropRun(MinionState& aMinion, const std::string& aUnit, TimePoint aNow);
  void DropAllRuns(MinionState& aMinion, TimePoint aNow);
  /// The minion has started anew: it holds and knows nothing of before.
  void BeginNewLife(MinionState& aMinion, TimePoint aNow);
  void EndJob(Job& aJob, JobState aState, TimePoint aNow);
  void StopRun(MinionState& aMinion, Run& aRun, TimePoint aNow);
  void StopRunsOf(const Job& aJob, TimePoint aNow);
  void MarkUnsaved(Job& aJob);
  Unit* FindUnit(const UnitId& aId, Job** aJob);
  void ExpireLeases(TimePoint aNow);
  void PlaceQueued(TimePoint aNow);
  bool PlaceUnits(QueuedStep& aQueued, TimePoint aNow);
  bool PlaceGang(QueuedStep& aQueued, TimePoint aNow);
  /// Where the units of a step may be placed.
  PlacementRequest RequestFor(const QueuedStep& aQueued) const;
  /// Asks the advisor about the minions that the step would be placed on next.
  void AskAdvice(const QueuedStep& aQueued, TimePoint aNow);
  /// Whether a unit of the step waits for the store.
  bool HasUnsavedFailure(const QueuedStep& aQueued) const;
  void StartUnit(QueuedStep& aQueued,
                 std::uint32_t aIndex,
                 MinionState& aMinion,
                 std::uint32_t aRun,
                 TimePoint aNow);
  std::uint32_t NextRun(const Job& aJob, const Unit& aUnit) const;
  double Rank(const Job& aJob,
              std::uint32_t aOccurrence,
              std::uint32_t aStep,
              TimePoint aNow) const;
  void PaceFillers(TimePoint aNow);
  /// Accepted work that is not done, in core-milliseconds, without work that lasts.
  struct Backlog
  {
    double m_all = 0;
    double m_inTime = 0; ///< Only of jobs that can still meet their objective.
  };
  Backlog MeasureBacklog(TimePoint aNow) const;
  bool IsLate(const Job& aJob, TimePoint aNow) const;
  /// Whether units of a queued step fit no minion, for want of memory alone.
  bool LacksMemory(const StepSpec& aStep, TimePoint aNow) const;
  /// Cores with which the job's work is done within a short objective, but not more than it can
  /// use.
  double UsableCores(const Job& aJob) const;
  void OnFirstStart(Job& aJob);
  void EvacuateCordoned(TimePoint aNow);
  bool MayTakeAway(const Run& aRun, TimePoint aNow) const;
  void RepeatStops(TimePoint aNow);

  PoolPolicy m_policy;
  TimePoint m_beganAt;
  std::uint32_t m_epoch = 0;
  JobTable m_jobs;
  MinionTable m_minions;
  std::map<std::string, TimePoint> m_unheard; ///< Minions that an earlier owner may have used.
  std::vector<QueuedStep> m_queued;
  std::set<std::string> m_cordons;
  std::set<Job*> m_active;    ///< Not ended.
  std::set<Job*> m_timedJobs; ///< With occurrences that are not due yet.
  std::set<std::string> m_unsaved;
  std::map<std::string, std::size_t> m_waitingByQueue;
  RunTimes m_runTimes;
  ArrivalRate m_arrivals;
  AdviceBook m_advice;
  std::deque<std::pair<TimePoint, double>> m_refused; ///< Cores that jobs refused lately could use.
  PoolOrders m_orders;
};

} // namespace mustardtray::job
