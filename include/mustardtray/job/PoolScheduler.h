#pragma once

/// Scheduler of a pool: takes events and returns the orders that the pool's owner has to send. It
/// has no clock, socket, timer or thread. Designed for many jobs of several steps on minions that
/// fail, hang, answer late and disappear, and for several takeovers of the pool.

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/job/AccountRates.h"
#include "mustardtray/job/Admission.h"
#include "mustardtray/job/AdviceCache.h"
#include "mustardtray/job/AllowanceBook.h"
#include "mustardtray/job/ArrivalRate.h"
#include "mustardtray/job/CrashHistory.h"
#include "mustardtray/job/Deployment.h"
#include "mustardtray/job/FairShare.h"
#include "mustardtray/job/MinionSpeeds.h"
#include "mustardtray/job/Placement.h"
#include "mustardtray/job/PlacementForecast.h"
#include "mustardtray/job/PoolOrders.h"
#include "mustardtray/job/PoolState.h"
#include "mustardtray/job/RunTimeCorrection.h"

namespace mustardtray::job {

/// Limits of the scheduler.
struct PoolPolicy
{
  Millis m_maxRunLease{ 6'000 };     ///< Longest lease that an owner asks for.
  Millis m_maxGrantedLease{ 6'000 }; ///< Longest lease that a minion grants.
  bool m_learnsRunTimes = false;     ///< See RunTimeCorrection.
  AccountRateLimits m_accountRates;
  /// Factor by which units run longer away from the rack of their data; 1: no unit waits for it.
  double m_remoteDataSlowdown = 1.0;
};

/// How long a refused job counts as demand: its caller retries within about this time.
inline constexpr Millis kRefusedDemandTime{ 1'500 };

/// A job counts as late when its latest start has passed by more than this: starts and ends are
/// reported with some delay.
inline constexpr Millis kLateTolerance{ 300 };

/// Longest time for which a long-running unit waits for a start order that may still be carried
/// out, because the unit has to run again soon.
inline constexpr Millis kMaxLongRunningOrderWait{ 6'000 };

/// What a shard could do for a job that waits in another one.
struct ShardRoom
{
  std::uint32_t m_waitingUnits = 0;   ///< Of the job's steps whose turn has come.
  std::uint32_t m_holdableUnits = 0;  ///< Those of them that its minions could run if empty.
  std::uint32_t m_startableUnits = 0; ///< Those of them that could start now.
};

/// A job that waits while nothing of it runs, and could move to another shard.
struct WaitingJob
{
  std::string m_id;
  ShardRoom m_room; ///< Of this shard.
  TimePoint m_since{};

  /// Whether the minions of this shard cannot run all that waits, even if they were empty.
  bool IsUnfit() const { return m_room.m_holdableUnits < m_room.m_waitingUnits; }
};

/// Notes in the record that the job leaves a shard whose owner has this epoch.
void CountMove(JobRecord& aRecord, std::uint32_t aEpoch);

class PoolScheduler
{
public:
  /// aNow: when this owner took over the pool.
  PoolScheduler(PoolPolicy aPolicy, TimePoint aNow)
    : m_policy(aPolicy)
    , m_beganAt(aNow)
    , m_accountRates(aPolicy.m_accountRates)
  {
  }

  // Jobs.

  /// Adds a job of an earlier owner with its stored progress. Fails with ErrorKind::Invalid when
  /// the progress is unreadable.
  Result<void> LoadJob(JobRecord aRecord,
                       std::string_view aProgress,
                       TimePoint aNow,
                       WallTime aWallNow);
  /// Adds a job that has come from another shard, or that stays here after all, with the progress
  /// in its record. None of its units runs. Fails as LoadJob().
  Result<void> AddMovedJob(JobRecord aRecord, TimePoint aNow, WallTime aWallNow);
  /// Returns whether the job should be accepted, without changing any state. aSinceFirstAttempt:
  /// time since the caller's first attempt.
  AdmissionDecision EvaluateAdmission(const JobRecord& aRecord,
                                      Millis aSinceFirstAttempt,
                                      TimePoint aNow) const;
  /// Adds a job that has been stored. aFirstSeen: time of the caller's first attempt.
  /// aIsExcess: the job is beyond its account's rate.
  void AddJob(JobRecord aRecord, TimePoint aFirstSeen, bool aIsLate, bool aIsExcess = false);
  /// Cancels a job unless it has ended; returns false when the job is unknown.
  bool CancelJob(const std::string& aId, TimePoint aNow);
  /// Ends a job as failed unless it has ended.
  void FailJob(const std::string& aId, TimePoint aNow);
  const Job* FindJob(const std::string& aId) const;
  /// Returns the state to report to callers: an end is reported only once it has been stored.
  std::optional<JobState> ReportedState(const std::string& aId) const;
  /// Number of the queue's jobs of which no unit has started as far as minions have shown.
  std::size_t WaitingJobs(const std::string& aQueue) const;
  /// Called when the job's progress is being written to the store: the job is no longer unsaved.
  void OnProgressSaveStarted(const std::string& aId) { m_unsaved.erase(aId); }
  /// Called when the store has the job's progress up to a revision.
  void OnProgressSaved(const std::string& aId, std::uint64_t aRevision);

  // Moves of jobs to other shards.

  /// Whether the pool has other shards, to which jobs could move.
  void SetOtherShards(bool aHasOtherShards) { m_hasOtherShards = aHasOtherShards; }
  ShardRoom MeasureRoomFor(const JobRecord& aRecord, TimePoint aNow) const;
  /// Returns jobs that have waited for long enough to move; to be called several times a second.
  std::vector<WaitingJob> FindMovable(std::size_t aMaxJobs, TimePoint aNow);
  /// Returns a job's record with its present progress, to ask other shards about it.
  std::optional<JobRecord> DescribeJob(const std::string& aId) const;
  /// Starts nothing more of the job, and returns its record with the move and its progress. Returns
  /// nothing when something of the job may run or is not stored.
  std::optional<JobRecord> HoldForMove(const std::string& aId, TimePoint aNow);
  void EndHold(const std::string& aId);
  /// Removes a job that has been held since its record was returned.
  void RemoveHeldJob(const std::string& aId);

  // Limits of client accounts.

  /// aShards: of all pools; 0 while it is not known.
  void SetAccountShards(std::size_t aShards) { m_allowances.SetShards(aShards); }
  /// aOwner: token of this owner's claim.
  void ApplyAccountGrants(const AccountGrants& aGrants, std::uint64_t aOwner, TimePoint aNow);
  /// Returns what the accounts use and want; an empty report when there are no accounts.
  AccountReport ReportAccounts(std::uint64_t aOwner, TimePoint aNow);
  /// See job::DescribeLimitError().
  std::string DescribeLimitError(const JobRecord& aRecord) const;
  const AllowanceBook& Allowances() const { return m_allowances; }

  // Minions.

  void UpdateMinion(const MinionEntry& aEntry, TimePoint aNow);
  void RemoveMinion(const std::string& aId, TimePoint aNow);
  /// Called for the current incarnation of a machine: minions of earlier ones run nothing any more.
  void OnMachineIncarnation(const MachineIncarnation& aLatest, TimePoint aNow);
  /// Called before the pool is handed over: returns the recorded minions that do not answer, and
  /// gives them no more leases. The next owner need not wait beyond those that they have.
  std::vector<std::string> EndLeasesOfUnresponsive();
  /// Registers a minion to which an earlier owner may have given work: inherited jobs wait until
  /// the minion has answered, or a call that was sent after its longest lease has failed.
  void AwaitMinion(const std::string& aId, TimePoint aLeaseEnd);
  void SetRestrictions(const MachineRestrictions& aRestrictions, TimePoint aNow);
  /// aAskedAt: when the request to the advisor was sent.
  void OnAdvice(const AdviceRequest& aRequest, const Advice& aAdvice, TimePoint aAskedAt);
  void OnAdviceFailed(const AdviceRequest& aRequest, TimePoint aNow);
  /// Whether maintenance or a move may take the machine now. False while it has work that should
  /// not be lost.
  bool IsDrained(const std::string& aMachine, TimePoint aNow) const;
  /// Returns the leaving minions that have no work any more, each once. They get none from now on,
  /// so their records can be removed from the store: a later owner need not wait for them.
  std::vector<std::string> TakeDrainedMinions();
  void OnStartAnswer(const StartOrder& aOrder, OrderResult aResult, TimePoint aNow);
  void OnStopAnswer(const StopOrder& aOrder, OrderResult aResult, TimePoint aNow);
  /// Processes a minion's answer to a lease extension. aAskedAt: when the extension was sent.
  void OnLeaseReport(const std::string& aMinion,
                     const LeaseReport& aReport,
                     TimePoint aAskedAt,
                     TimePoint aNow);
  /// aAskedAt: when the extension that got no answer was sent.
  void OnLeaseExtensionFailed(const std::string& aMinion, TimePoint aAskedAt);
  /// Called while the minion cannot be called: it gets no work before its next answer, because it
  /// may restart with another capacity unnoticed.
  void OnContactInterrupted(const std::string& aMinion);
  /// Called when an incarnation that has not listed its runs has carried out a call with a lease.
  void OnUnlistedLease(const std::string& aMinion, TimePoint aNow);
  /// Called when the minion has been told that ends up to a number are stored.
  void OnEndsAcknowledged(const std::string& aMinion, std::uint64_t aNumber);
  /// Adds a start of an earlier owner that got no answer. aLatestOrder: latest time of the order.
  void LoadOpenStart(const std::string& aMinion, const RunName& aRun, TimePoint aLatestOrder);
  /// Called for each lease that was sent to the minion, whether it was answered or not.
  void OnLeaseGranted(const std::string& aMinion, TimePoint aLeaseEnd, TimePoint aSentAt);

  // Decisions.

  /// Handles due occurrences, expired leases, placement, repeated stop orders and speed limits.
  void Decide(TimePoint aNow, WallTime aWallNow);
  PoolOrders TakeOrders();
  /// Returns the jobs whose progress has to be written to the store, each once.
  std::vector<std::string> TakeUnsavedJobs();
  PoolLoad MeasureLoad(TimePoint aNow) const;
  /// Machines on which nothing runs or will run soon, so that they may be moved to another pool.
  std::vector<std::string> IdleMachines(TimePoint aNow) const;
  /// Describes the steps with waiting units, first those that are placed first.
  std::vector<WaitingStep> DescribeWaiting(std::size_t aMaxSteps, TimePoint aNow) const;
  MinionCounts CountMinions(TimePoint aNow) const;
  /// Describes the minions that inherited jobs wait for, those with the longest leases first.
  std::vector<AwaitedMinion> DescribeAwaited(std::size_t aMaxMinions, TimePoint aNow) const;
  /// Called when a job was refused: its work still counts as demand for a while.
  void OnRefused(const JobRecord& aRecord, TimePoint aNow);
  /// Called at a caller's first attempt to submit a job, whether or not it is accepted.
  void OnFirstAttempt(const JobRecord& aRecord, TimePoint aNow);

  const RunTimeCorrection& RunTimes() const { return m_runTimeCorrection; }
  // Rates and shares of client accounts.

  /// Sets the accounts of the configuration in force.
  void SetAccounts(const std::vector<AccountSpec>& aAccounts);
  /// Sets the arrivals per second of each account at all owners together. Without an update for a
  /// while, only the arrivals at this owner count.
  void SetAccountRates(const std::map<std::string, double>& aRates, TimePoint aNow)
  {
    m_accountRates.SetFleetRates(aRates, aNow);
  }
  /// Arrivals per second at this owner, by account.
  std::map<std::string, double> AccountArrivals(TimePoint aNow) const
  {
    return m_accountRates.ArrivalsPerSecond(aNow);
  }
  /// Returns whether a job is within its account's rate, and charges it if so. Called once for each
  /// job that is within the rate, after OnFirstAttempt().
  bool ChargeRate(const JobRecord& aRecord, TimePoint aNow);
  /// Called for a job beyond its account's rate: returns when to retry if it has to be refused,
  /// because room is short.
  std::optional<Millis> RefuseExcess(const JobRecord& aRecord, TimePoint aNow);
  /// Describes the accounts that use or want something, first those furthest above their share.
  std::vector<AccountState> TakeAccountStates(TimePoint aNow);

  MinionTable& Minions() { return m_minions; }
  const MinionTable& Minions() const { return m_minions; }
  const JobTable& Jobs() const { return m_jobs; }
  void SetEpoch(std::uint32_t aEpoch) { m_epoch = aEpoch; }
  bool IsRecovering(TimePoint aNow) const;

private:
  /// Where a unit can start while an earlier start of it may still be carried out, by the minion
  /// that it was sent to or by the next incarnation of that minion.
  struct StartBinding
  {
    bool m_mustWait = false;               ///< The unit can start nowhere at present.
    const std::string* m_minion = nullptr; ///< If set, the unit can start on this minion alone.
  };
  struct OpenOrder
  {
    std::string m_minion;
    bool m_isRevoked = false;
    bool m_isLeaving = false;
    TimePoint m_orderedAt{};
  };
  /// A step that may have units to start.
  struct QueuedStep
  {
    Job* m_job;
    std::uint32_t m_occurrence;
    std::uint32_t m_step;
    double m_rank = 0;

    const StepSpec& Spec() const { return m_job->m_record.m_spec.m_steps[m_step]; }
    StepState& State() const { return m_job->m_occurrences.at(m_occurrence).m_steps[m_step]; }
  };

  ShardRoom MeasureRoom(const JobSpec& aSpec,
                        const std::map<std::uint32_t, Occurrence>& aOccurrences,
                        TimePoint aNow) const;
  /// Whether a new job has to wait until other shards have been asked, since this one cannot hold
  /// all units of a long-running step: a job does not move any more once a unit of it runs.
  bool WaitsForOtherShards(const QueuedStep& aQueued, TimePoint aNow) const;
  /// Whether no unit of the job has a run.
  static bool IsIdle(const Job& aJob);
  /// Whether nothing of the job may run and all of it is stored.
  bool CanMove(const Job& aJob, TimePoint aNow) const;
  void ForgetAdvice(const Job& aJob);
  void InitializeJob(Job& aJob, TimePoint aNow);
  Result<void> InsertJob(JobRecord aRecord,
                         std::string_view aProgress,
                         bool aIsInherited,
                         TimePoint aNow,
                         WallTime aWallNow);
  void BeginDueOccurrences(Job& aJob, TimePoint aNow, WallTime aWallNow);
  /// Assigns runs to the units of an occurrence that minions listed before it began.
  void AssignReportedRuns(Job& aJob, std::uint32_t aOccurrence);
  void QueueReadySteps(Job& aJob, std::uint32_t aOccurrence);
  void QueueStep(Job& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);
  void OnEnd(MinionState& aMinion, const ListedEnd& aEnd, TimePoint aNow);
  void OnUnitDone(Job& aJob, const UnitId& aId, TimePoint aNow);
  void OnUnitFailed(Job& aJob,
                    const UnitId& aId,
                    std::uint32_t aRun,
                    const std::string& aMinion,
                    TimePoint aNow);
  void ReconcileRuns(MinionState& aMinion,
                     const LeaseReport& aReport,
                     TimePoint aAskedAt,
                     TimePoint aNow);
  /// Records a run at its minion and, when the unit is known, at the unit.
  Run& AddRun(MinionState& aMinion, Unit* aUnit, const std::string& aName, Run aRun);
  void DropRun(MinionState& aMinion, const std::string& aUnit, TimePoint aNow);
  void DropAllRuns(MinionState& aMinion, TimePoint aNow);
  /// Drops the runs that ended with their minion. Those with an open start order are stopped
  /// instead, because the next incarnation of the minion may carry the order out. aMustWait:
  /// whether the unit of such a run has to wait for that. aSurvivors: runs of the next incarnation.
  void DropEndedRuns(MinionState& aMinion,
                     const std::function<bool(const Run&)>& aMustWait,
                     const std::set<RunName>& aSurvivors,
                     TimePoint aNow);
  /// Resets the state of a minion that has restarted: it lost its runs and its history.
  /// aSurvivors: runs that the new incarnation has listed.
  void ResetRestartedMinion(MinionState& aMinion,
                            std::int64_t aRestartedAtMs,
                            const std::set<RunName>& aSurvivors,
                            TimePoint aNow);
  /// Returns the runs that may be the cause when the minion crashes now. aSurvivors: see
  /// ResetRestartedMinion().
  std::vector<CrashSuspect> SuspectsOn(const MinionState& aMinion,
                                       const std::set<RunName>& aSurvivors) const;
  /// Records that a minion has restarted, unless it was about to leave anyway.
  void RecordCrash(const MinionState& aMinion,
                   std::int64_t aRestartedAtMs,
                   const std::set<RunName>& aSurvivors,
                   TimePoint aNow);
  /// Counts settled crashes at their suspects.
  void CountCrashes(TimePoint aNow);
  std::optional<CrashCounts> CountCrash(const MinionCrash& aCrash,
                                        const CrashSuspect& aSuspect,
                                        TimePoint aNow);
  /// Called when another unit has been given up for a crash that was counted at the suspect.
  void ExplainCrash(const CrashSuspect& aSuspect);
  static bool IsDeadlyUnit(const StepSpec& aStep, const CrashCounts& aCounts);
  /// aId: of a known job.
  const StepSpec& StepOf(const UnitId& aId) const
  {
    return m_jobs.at(aId.m_job)->m_record.m_spec.m_steps[aId.m_step];
  }
  /// Whether the unit gets no more starts, because it has failed too often or crashes its minions.
  static bool IsGivenUp(const QueuedStep& aQueued, std::uint32_t aIndex);
  /// Whether the unit has to start.
  static bool IsWaiting(const QueuedStep& aQueued, std::uint32_t aIndex);
  /// Returns the unit that holds the crash counts: the first one of a gang.
  static UnitId CountedUnit(const Job& aJob, const UnitId& aId);
  UnresolvedLosses LossesOf(const UnitId& aCounted) const;
  const CrashCounts& CrashesOf(const Job& aJob, const UnitId& aCounted) const;
  /// Whether a minion crashed under the unit or may have, and nothing explains it.
  bool IsSuspect(const Job& aJob, const UnitId& aId) const;
  /// Whether a run of the unit must have its minion for itself.
  bool MustIsolate(const Job& aJob, const UnitId& aId) const;
  /// Returns the most crashes and losses of the step's waiting units that need isolation; 0 when
  /// none does.
  std::uint32_t CrashesOfIsolatedUnit(const QueuedStep& aQueued) const;
  /// Sets the constraints that follow from crashes; returns whether the unit may start now.
  bool ApplyCrashes(PlacementRequest& aRequest,
                    const QueuedStep& aQueued,
                    std::uint32_t aIndex,
                    TimePoint aNow);
  /// Reserves minions that can soon be empty for the units that need isolation.
  void HoldMinionsForIsolation(TimePoint aNow);
  /// Lets other units share the minion with an isolated run that has lasted for a while.
  static void EndIsolation(MinionState& aMinion, TimePoint aNow);
  /// Forgets the crashes under a long-running unit that has been running for long enough.
  void ForgetCrashesIfStable(Job& aJob, const UnitId& aId, const Run& aRun, TimePoint aNow);
  void EndJob(Job& aJob, JobState aState, TimePoint aNow);
  /// Ends a job as failed, unless it has long-running units that are not given up: these serve
  /// their own users until the job is cancelled.
  void FailJobUnlessInUse(Job& aJob, TimePoint aNow);
  void StopRun(MinionState& aMinion, Run& aRun, StopReason aReason, TimePoint aNow);
  /// Stops a run whose start got no answer. A long-running unit may be at work there all the same,
  /// so that is put off until its minion has just listed its runs without it, or the limit of its
  /// step allows the stop.
  void RevokeStart(MinionState& aMinion, Run& aRun, TimePoint aNow);
  void StopRunsOf(const Job& aJob, StopReason aReason, TimePoint aNow);
  void MarkUnsaved(Job& aJob);
  Unit* FindUnit(const UnitId& aId, Job** aJob);
  void ExpireLeases(TimePoint aNow);
  /// Whether the minion's runs count as lost: their leases have expired, and the minion did not
  /// answer a call that was sent later.
  bool IsLost(const MinionState& aMinion, TimePoint aNow) const;
  void PlaceQueued(TimePoint aNow);
  /// Orders the steps of accounts above their share, and of jobs beyond their account's rate,
  /// behind others of the same priority and lateness. No effect without accounts.
  void OrderByShares(TimePoint aNow);
  FairShare MeasureShares(TimePoint aNow) const;
  /// Whether the units that can start at once fit beside all units that wait.
  bool HasRoomFor(const JobSpec& aSpec, TimePoint aNow) const;
  /// aMayUseCordoned: see PlacementRequest::m_mayUseCordoned.
  bool PlaceUnits(QueuedStep& aQueued, bool aMayUseCordoned, TimePoint aNow);
  bool PlaceGang(QueuedStep& aQueued, TimePoint aNow);
  /// Returns what each account has running and what may still be started for it.
  std::map<std::string, Resources> MeasureAccountUse() const;
  /// Brings the use in the book of allowances up to date.
  void CountAccountUse(TimePoint aNow);
  /// Whether the next unit of the step, or its gang, exceeds the allowance of its account.
  bool WaitsForAllowance(const QueuedStep& aQueued) const;
  /// Returns the placement constraints for the units of a step.
  PlacementRequest RequestFor(const QueuedStep& aQueued) const;
  /// Requests advice about the minions on which the step would be placed next.
  void AskAdvice(const QueuedStep& aQueued, TimePoint aNow);
  /// Whether a unit of the step waits until its latest failure is stored.
  bool HasUnsavedFailure(const QueuedStep& aQueued) const;
  /// Finds the units whose start orders may still be carried out; see StartBinding.
  void CollectBindings(TimePoint aNow);
  StartBinding BindingOf(const QueuedStep& aQueued, std::uint32_t aIndex, TimePoint aNow) const;
  bool HasBoundUnit(const QueuedStep& aQueued, TimePoint aNow) const;
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
  /// Returns when a unit of the step has to start to meet the job's objective.
  TimePoint LatestStart(const Job& aJob, std::uint32_t aOccurrence, std::uint32_t aStep) const;
  /// Whether a unit that would start on aMinion waits for the rack of its data instead.
  bool WaitsForRack(QueuedStep& aQueued,
                    std::uint32_t aIndex,
                    const PlacementRequest& aRequest,
                    const MinionState& aMinion,
                    TimePoint aNow);
  void EndLocalityWait(const QueuedStep& aQueued,
                       std::uint32_t aIndex,
                       LocalityWait& aWait,
                       LocalityReason aReason,
                       TimePoint aNow);
  /// Whether all units of the step that have not started wait for the rack of their data.
  static bool OnlyWaitsForRack(const QueuedStep& aQueued);
  LocalityInputs LocalityInputsFor(const QueuedStep& aQueued, TimePoint aNow);
  /// Returns the minions of the rack that accept work.
  const std::vector<LocalMinion>& LocalMinions(const std::string& aRack, TimePoint aNow);
  Millis RemainingTime(const MinionState& aMinion, const Run& aRun, TimePoint aNow) const;
  void ThrottleBestEffortRuns(TimePoint aNow);
  /// Accepted work that is not done, in core-milliseconds, without long-running work.
  struct Backlog
  {
    double m_all = 0;
    double m_onTime = 0; ///< Part of the jobs that can still meet their objective.
  };
  Backlog MeasureBacklog(TimePoint aNow) const;
  bool IsLate(const Job& aJob, TimePoint aNow) const;
  const CorrectedPaths& PathsOf(const Job& aJob) const;
  RunTimeKey RunTimeKeyOf(const Job& aJob, const UnitId& aUnit, const MinionState& aMinion) const;
  /// Learns from a run that has ended as done.
  void ObserveRunTime(const MinionState& aMinion, const Run& aRun, const Job& aJob, TimePoint aNow);
  /// Returns the part of the unit's time in the backlog that the run has already done. Negative
  /// when the run will take longer than the backlog includes.
  Millis DoneTime(const Job& aJob,
                  const Run& aRun,
                  const MinionState& aMinion,
                  TimePoint aNow) const;
  /// CPU of runs whose ends are not expected soon: long-running and overdue ones.
  std::int64_t UnavailableCpu(const MinionState& aMinion, TimePoint aNow) const;
  PlacementForecast ForecastWaiting(TimePoint aNow) const;
  static std::uint32_t CountWaiting(const QueuedStep& aQueued);
  /// Whether the units of a step fit on no minion only because memory is missing.
  bool LacksMemory(const StepSpec& aStep, TimePoint aNow) const;
  /// Returns the cores that finish the job's work within a short objective, limited to what the job
  /// can use at the same time.
  double UsableCores(const Job& aJob) const;
  /// Called when a minion has confirmed or listed a run of the job, or listed its end.
  static void MarkStarted(Job& aJob);
  /// Capacity that is kept for a long-running unit that is being stopped.
  struct PlaceClaim
  {
    MinionState* m_minion;
    std::string m_unitPrefix;
    Resources m_reserved;
  };
  /// Stops runs on minions that are about to leave. A long-running unit is stopped only when it has
  /// another place, or to empty its minion at once. Returns the places of the stopped units.
  std::vector<PlaceClaim> DrainLeaving(TimePoint aNow);
  void StopForDrain(MinionState& aMinion, Run& aRun, TimePoint aNow);
  /// Stops units without another place, so that a cordoned minion is emptied after all.
  void DrainWithoutPlace(std::vector<PlaceClaim>& aClaims, TimePoint aNow);
  /// Finds a place for the unit on another minion and reserves it; returns false if there is none.
  bool ClaimPlace(const MinionState& aFrom,
                  const Run& aRun,
                  bool aMayUseCordoned,
                  std::vector<PlaceClaim>& aClaims,
                  TimePoint aNow);
  /// Whether the unit could be started again at once if there was capacity.
  bool CanRestart(const Run& aRun, TimePoint aNow) const;
  /// Whether all runs of a cordoned minion may be stopped together.
  bool CanEmpty(const MinionState& aMinion, TimePoint aNow) const;
  /// Returns the cordoned minion with the fewest long-running units, or nullptr.
  MinionState* FirstToDrain();
  /// Counts the other units of a run's step that are not known to be at work; nothing when the job
  /// is unknown or has ended. aTogetherWith: a minion whose units count as stopped.
  std::optional<std::uint32_t> CountUnavailableOthers(const Run& aRun,
                                                      const MinionState* aTogetherWith,
                                                      TimePoint aNow) const;
  /// Whether the unit may be stopped within its step's limit. aTogetherWith: a minion whose units
  /// are stopped at the same time.
  bool CanEvict(const Run& aRun, const MinionState* aTogetherWith, TimePoint aNow) const;
  /// Starts long-running units that have no other place on cordoned minions that keep units.
  void PlaceOnCordoned(std::vector<QueuedStep>& aQueued, bool aIsRecovering, TimePoint aNow);
  void LapseCordons(TimePoint aNow);
  void ResendStops(TimePoint aNow);
  /// Whether the minion may still carry the order out, or run what it has started.
  bool MayHaveEffect(const OpenStart& aStart, const MinionState& aMinion, TimePoint aNow) const;
  /// Whether a call that got no answer may still extend leases on the minion.
  bool HasOpenGrant(const MinionState& aMinion, TimePoint aNow) const;
  /// The minion's runs may have the longest lease that it grants: a time on the clock of another
  /// incarnation is cut to that.
  void AssumeLongestLease(MinionState& aMinion, TimePoint aNow) const;
  /// The same, on evidence: a call that was meant for a former incarnation has been carried out.
  void NoteLongestLease(MinionState& aMinion, TimePoint aNow) const;
  /// Notes that the incarnation refuses the calls that were meant for former ones.
  void RefuseFormerOrders(MinionState& aMinion, const LeaseReport& aReport, TimePoint aNow) const;
  /// Sends the stops of dropped runs whose start orders the minion may still carry out.
  void RevokeOpenStarts(MinionState& aMinion, TimePoint aNow);

  PoolPolicy m_policy;
  TimePoint m_beganAt;
  std::uint32_t m_epoch = 0;
  bool m_hasOtherShards = false;
  JobTable m_jobs;
  MinionTable m_minions;
  std::map<std::string, TimePoint> m_awaited; ///< Lease ends; see AwaitMinion().
  std::vector<QueuedStep> m_queued;
  MachineRestrictions m_restrictions;
  TimePoint m_restrictedAt{};     ///< When the restrictions were set or renewed.
  std::set<Job*> m_activeJobs;    ///< Jobs that have not ended.
  std::set<Job*> m_scheduledJobs; ///< Jobs with occurrences to begin.
  std::set<std::string> m_unsaved;
  RunTimeCorrection m_runTimeCorrection{ m_policy.m_learnsRunTimes };
  MinionSpeeds m_minionSpeeds;
  ArrivalRate m_arrivals;
  AccountRates m_accountRates;
  std::unordered_map<std::string, double> m_accountWeights;
  std::unordered_map<std::string, std::size_t> m_excessRefusals; ///< By account; for logs.
  AdviceCache m_advice;
  CrashHistory m_crashHistory;
  std::vector<AccountSpec> m_accounts;
  AllowanceBook m_allowances;
  std::deque<std::pair<TimePoint, double>> m_refusedDemand; ///< Usable cores of refused jobs.
  /// By rack; valid in the current pass until a unit starts in the rack.
  std::map<std::string, std::vector<LocalMinion>> m_localMinions;
  std::map<std::string, Resources> m_waitingForRack; ///< By rack, in the current pass.
  bool m_hasUnplaced = false; ///< In the latest or the current pass, a unit fitted on no minion.
  /// By UnitId::Text(), in the current pass: starts of units that do not run.
  std::multimap<std::string, OpenOrder> m_openOrders;
  PoolOrders m_orders;
};

} // namespace mustardtray::job
