#pragma once

/// Manages one pool that this node owns: loads its state from the store, exchanges messages with
/// its minions, executes the scheduler's orders and stores the progress of jobs.

#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>

#include "mustardtray/job/Ownership.h"
#include "mustardtray/job/PoolScheduler.h"
#include "mustardtray/process/Backoff.h"
#include "node/JobMove.h"
#include "node/MinionSession.h"
#include "node/NodeContext.h"
#include "node/PartitionReader.h"
#include "node/PoolBatchWriter.h"
#include "node/UsedMinion.h"

namespace mustardtray::node {

enum class SubmitOutcome
{
  Accepted,  ///< The job is stored, or was known already.
  Refused,   ///< The job is not stored, and this attempt never will store it.
  Forbidden, ///< The id is that of another account's job; nothing was done.
  Invalid,   ///< As Refused, and the job exceeds the limit of its account, so it can never run.
  NotOwner,  ///< This node does not own the pool; nothing was done.
  Unknown,   ///< The job may have been stored.
};

struct SubmitResult
{
  SubmitOutcome m_outcome = SubmitOutcome::NotOwner;
  Millis m_retryAfter{ 0 };
  std::string m_reason = {}; ///< Of SubmitOutcome::Invalid.
  /// For how long jobs for the same node should be sent only after it has admitted them.
  Millis m_askFirst{ 0 };
};

/// How long after the request for a report the machines that it lists as drained can be given
/// orders. The owner does not release its pool during this time, because its successor does not
/// know the cordons. A node that claims the pool of an unresponsive one waits for longer.
inline constexpr Millis kReportValidity{ 200 };

/// State of a pool that the planning of machine orders needs.
struct FleetReport
{
  job::PoolLoad m_load;
  std::vector<std::string> m_drainedMachines; ///< Cordoned machines on which nothing runs.
  std::vector<std::string> m_idleMachines;    ///< Machines without work, most recently used last.
  job::AccountReport m_accounts;
};

/// Sent to the owner of a pool by the holder of the machine orders; the response is a FleetReport.
struct FleetSyncRequest
{
  std::string m_pool;
  job::MachineRestrictions m_restrictions;
  job::AccountGrants m_grants = {};
};

class PoolOwner
{
public:
  /// aClaim: the owner row that this node wrote.
  PoolOwner(NodeContext& aContext, const job::OwnerRow& aClaim, std::function<void()> aOnLost);
  ~PoolOwner();
  PoolOwner(const PoolOwner&) = delete;
  PoolOwner& operator=(const PoolOwner&) = delete;

  const std::string& Pool() const { return m_claim.m_pool; }
  const job::OwnerRow& Claim() const { return m_claim; }
  /// Whether this owner may act and answer for the pool now.
  bool IsAuthoritative() const { return m_isLoaded && !m_isClosed && m_context.m_lease.IsValid(); }
  /// Whether the node also keeps the pool, so that its reports for machine orders stay valid.
  bool IsKeepingPool() const { return IsAuthoritative() && !m_isDraining; }

  using SubmitCallback = std::function<void(SubmitResult)>;
  void Submit(job::JobRecord aRecord, SubmitCallback aDone);
  /// Returns whether this pool would accept a job that another shard is about to store for it. The
  /// outcome is Accepted or a refusal; a refused attempt is remembered as by Submit().
  SubmitResult Admit(const job::JobRecord& aRecord);
  /// Returns what this shard could do for jobs of another one; nothing when it cannot tell.
  std::vector<job::ShardRoom> MeasureRoom(const std::vector<job::JobRecord>& aRecords) const;
  /// Takes a job from another shard.
  void Adopt(job::JobRecord aRecord, std::function<void(AdoptOutcome)> aDone);
  /// Puts the accounts of the configuration in force. Called for each new configuration.
  void OnConfiguration() { UpdateAccounts(); }
  /// Cancels a job. aDone gets true when the job's end or its cancel is stored, false when the job
  /// is not known, and an empty value when neither can be told now.
  void Cancel(const std::string& aId, std::function<void(std::optional<bool>)> aDone);
  /// Whether the job is known and the caller may neither read nor cancel it.
  bool IsForbidden(const std::string& aId, const job::Caller& aCaller) const;
  const job::PoolScheduler& Scheduler() const { return m_scheduler; }
  /// Returns the state to report to callers; empty when the shard does not have the job.
  std::optional<job::JobState> ReportedState(const std::string& aId) const;
  /// Returns where the job has moved to, or nullptr.
  const JobForward* FindForward(const std::string& aId) const;
  /// Shards to which jobs of the queue have moved.
  std::set<std::string> ForwardShards(const std::string& aQueue) const
  {
    const auto found = m_forwardShards.find(aQueue);
    return found == m_forwardShards.end() ? std::set<std::string>{} : found->second;
  }
  /// Number of the queue's accepted jobs that have not started, those in the inbox included. Empty
  /// while that is not known, because the inbox could not be read for a while.
  std::optional<std::size_t> WaitingJobs(const std::string& aQueue, TimePoint aNow) const;

  void OnMinionEntry(const job::MinionEntry& aEntry);
  void OnMinionRemoved(const std::string& aId);
  /// Called when a minion of any pool has registered.
  void OnMachineIncarnation(const job::MachineIncarnation& aIncarnation);
  void OnInboxRow(const platform::Row& aRow);
  /// Called when the rows that the inbox had at a time have been reported.
  void OnInboxRead(TimePoint aReadAt) { m_inboxReadAt = std::max(m_inboxReadAt, aReadAt); }
  /// Puts these restrictions in the place of earlier ones, applies the grants and returns the
  /// pool's state.
  FleetReport ApplyRestrictions(const job::MachineRestrictions& aRestrictions,
                                const job::AccountGrants& aGrants = {});
  /// Accepts and starts nothing more. The callback runs when all writes to the store have ended.
  void Drain(std::function<void()> aDone);
  /// Gives no more leases: from now on the pool may have another owner, although this node does not
  /// know yet and still has its own lease.
  void EndLeases() { m_hasEndedLeases = true; }

private:
  friend class MinionSession;

  void StartLoading();
  void FinishLoading();
  void RequestDecision();
  void DecideNow();
  /// Logs the steps with waiting units, and why they wait.
  static job::PoolPolicy MakePolicy(const NodeContext& aContext);
  void LogWaiting() const;
  /// Makes the accounts of a new configuration known to the scheduler.
  void UpdateAccounts();
  /// Logs the accounts that want most in relation to their allowances.
  void LogAllowances();
  /// Logs the learned run times that differ most from the callers' estimates.
  void LogRunTimes();
  /// Logs the minions that inherited jobs wait for, until there are none.
  void LogRecovery();
  void LogCrash(const job::CrashNotice& aNotice) const;
  /// Logs one of the waits for a rack that have ended, and the number of all by reason.
  void LogLocalityWaits(const job::PoolOrders& aOrders);
  void ExecuteOrders(job::PoolOrders aOrders);
  void SendStart(const job::StartOrder& aOrder);
  /// Sends a start for which the link has been reserved.
  void SendReservedStart(const job::StartOrder& aOrder);
  /// Starts of long-running units go first, because these units have to run all the time.
  CallPriority StartPriority(const job::StartOrder& aOrder) const;
  void OnStartResponse(const job::StartOrder& aOrder, const platform::OrderResponse& aResponse);
  void SendStop(const job::StopOrder& aOrder);
  void RequestAdvice(const job::AdviceRequest& aQuestion);
  void SaveJobs(const std::vector<std::string>& aJobs);
  /// Writes the progress of jobs that has changed since it was last written.
  void SaveUnsavedJobs();
  void SaveProgress(const job::Job& aJob, PoolBatchWriter::SavedCallback aSaved);
  void WriteProgress(const job::Job& aJob, PoolBatchWriter::SavedCallback aSaved);
  /// Called when the store does not take a job's progress. Writes a shorter one at once if some of
  /// it can be left out. aBytes: length of what was refused; aIsEnd: it was that of an ended job.
  void OnProgressRejected(const std::string& aId, std::size_t aBytes, bool aIsEnd);
  /// Writes the rejected progress of jobs again, with growing pauses.
  void RetryRejectedProgress(TimePoint aNow);
  bool IsProgressRejected(const std::string& aId) const;
  /// Called when run ends that rejected progress holds back can wait no longer. Gives the job up,
  /// because its end is short. Returns whether the ends have to be acknowledged without it.
  bool GiveUpProgress(const std::string& aId);
  void RemoveFromInbox(const std::string& aKey);
  void OnInboxRows(const std::vector<platform::Row>& aRows);
  /// Starts a session with a minion unless there is one.
  void StartSession(const std::string& aId);
  /// Writes to the store that work may be on the minion, unless the store knows or must not know.
  void RecordMinion(const std::string& aId);
  /// Returns the minion's record with the starts that got no answer.
  std::string EncodeRecord(job::MinionState& aMinion);
  std::set<job::RunName> StartsToRecord(const job::MinionState& aMinion) const;
  /// Writes the records whose starts without an answer have changed.
  void RecordOpenStarts();
  void RemoveRecord(const std::string& aId);
  void RemoveRecordsOfDrained();
  /// Records for how long the minions that do not answer may still run work.
  void RecordFinalLeases();
  /// Longest time from the claim on for which the minion may run work of earlier owners.
  Millis LongestInheritedLease(const UsedMinion& aMinion) const;
  void EndSessionsOfErasedMinions();
  void AddJob(const job::JobRecord& aRecord, bool aIsLate, bool aIsExcess);
  /// Carries out the cancel of a job that was not in the scheduler when it came.
  void ApplyDeferredCancel(const std::string& aId);
  /// Judges a new job; the result is Accepted when it is to be stored. aIsLate, aIsExcess: see
  /// AddJob().
  SubmitResult Judge(const job::JobRecord& aRecord, bool& aIsLate, bool& aIsExcess);
  /// The verdict on a job whose submission follows.
  struct Admission
  {
    TimePoint m_at{};
    bool m_isLate = false;
    bool m_isExcess = false;
    std::uint64_t m_configuration = 0; ///< Version under which the job was judged.
    std::string m_outline;             ///< What was judged, without the payload.
  };
  /// Returns the verdict of Admit() on a job while it holds, and forgets it.
  std::optional<Admission> TakeAdmission(const job::JobRecord& aRecord);
  TimePoint FirstRefusalTime(const std::string& aId) const;
  /// Whether the job is beyond its account's rate. Charges each job once; see m_firstRefusals.
  bool IsExcess(const job::JobRecord& aRecord, TimePoint aNow);
  /// Remembers a refused attempt.
  SubmitResult RefuseSubmission(const job::JobRecord& aRecord,
                                bool aIsExcess,
                                Millis aRetryAfter,
                                TimePoint aNow);
  /// Logs the accounts with the largest shares, if units wait.
  void LogAccountShares();
  void AcceptFromInbox(const std::string& aId, const std::string& aValue);

  // Moves of jobs to other shards.

  /// A job that is being handed to another shard. It does not run here any more.
  struct JobMove
  {
    job::JobRecord m_record; ///< Includes the move.
    std::string m_shard;
    bool m_hasStarted = false;
    bool m_isSending = false;
    Backoff m_backoff;
    TimerHandle m_retryTimer;
  };
  /// Asks other shards about jobs that wait here while nothing of them runs, and begins to move
  /// those that can run there.
  void ConsiderMoves(TimePoint aNow);
  /// Shards that may run the queue's jobs, beside this one.
  std::vector<std::string> ShardsFor(const std::string& aQueue) const;
  /// Whether any job of this shard could run in another one.
  bool HasOtherShards() const;
  struct RoomQuery;
  void OnRoom(const std::shared_ptr<RoomQuery>& aQuery,
              const std::string& aShard,
              const Result<std::vector<job::ShardRoom>>& aRooms);
  /// Begins the moves; returns whether there are any.
  bool ChooseMoves(const RoomQuery& aQuery);
  /// Stores that a job moves, and hands it over then.
  void BeginMove(const std::string& aId, const std::string& aShard);
  /// Whether this shard has the job, or had it.
  bool KnowsJob(const std::string& aId) const;
  /// Queue of a known job; empty when the job is not known.
  std::string QueueOf(const std::string& aId) const;
  /// Whether the job was stored here for another pool.
  bool IsForeign(const job::JobRecord& aRecord) const;
  /// Schedules a stored job, or begins to hand it to the pool that is to run it.
  void PlaceJob(const job::JobRecord& aRecord, bool aIsLate, bool aIsExcess);
  void HandOverForeign(job::JobRecord aRecord);
  /// Hands a job over. aRecord: includes the move, which the store shows as begun.
  void HandOver(job::JobRecord aRecord, const std::string& aShard, bool aHasStarted);
  void SendMove(const std::string& aId);
  void RetryMove(JobMove& aMove);
  void OnMoveDone(const std::string& aId);
  void AddForward(const std::string& aId, const JobForward& aForward);
  /// Removes the rows of a job that has moved.
  void RemoveMovedRows(const std::string& aId);
  /// Called when the other shard cannot take the job: it stays here.
  void OnMoveRejected(const std::string& aId);
  /// Called when a job that has moved here has been written, or one whose move was rejected.
  void OnMovedJobStored(const job::JobRecord& aRecord,
                        WriteOutcome aOutcome,
                        const std::function<void(AdoptOutcome)>& aDone);
  void LoadForward(const platform::Row& aRow);
  /// Whether a stored job is to be scheduled; begins or ends its move otherwise.
  bool IsLoadedHere(job::JobRecord& aRecord, const std::string& aProgress);
  /// Passes the cancel of a moved job on to the inbox of its shard.
  void ForwardCancel(const std::string& aId);
  void SendCancel(const std::string& aId);
  /// Asks the pool that is to run a foreign job whether to accept it, and stores it.
  void SubmitForeign(job::JobRecord aRecord, SubmitCallback aDone);
  void StoreSubmission(job::JobRecord aRecord, bool aIsLate, bool aIsExcess);
  void EndSubmission(const std::string& aId, const SubmitResult& aResult);

  NodeContext& m_context;
  job::OwnerRow m_claim;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  job::PoolScheduler m_scheduler;
  std::uint64_t m_loggedRunTimes = 0; ///< Revision of the run times that were logged last.
  TimePoint m_localityLogAt{};        ///< Time of the latest line.
  std::map<job::LocalityReason, std::size_t> m_localityWaits; ///< Ended since that line.
  PoolBatchWriter m_batchWriter;
  PartitionReader m_reader;
  /// What the minions of ended sessions were sent, by ID. A minion may be registered again.
  std::map<std::string, FencingState> m_fencingStates;
  std::map<std::string, std::unique_ptr<MinionSession>> m_sessions;
  /// A write that records a minion and has not been saved, nor has the record been removed.
  struct PendingRecord
  {
    std::uint64_t m_number = 0;
    TimePoint m_retryAt = TimePoint::max(); ///< When to write it again after a rejection.
  };
  std::map<std::string, PendingRecord> m_pendingRecords; ///< By minion.
  std::uint64_t m_lastRecordNumber = 0;
  struct PendingSubmission
  {
    std::string m_account;
    std::vector<SubmitCallback> m_callbacks;
  };
  /// Jobs that are being written to the store.
  std::map<std::string, PendingSubmission> m_pendingSubmissions;
  /// Progress that the store did not take, and how it is written again.
  struct RejectedProgress
  {
    bool m_isRejected = false;    ///< It has not been saved since.
    bool m_isEndRejected = false; ///< Neither does the store take the end of the job.
    std::size_t m_maxBytes = std::numeric_limits<std::size_t>::max();
    Millis m_delay{ 0 }; ///< Before the next attempt.
    TimePoint m_nextAttemptAt{};
  };
  std::map<std::string, RejectedProgress> m_rejectedProgress; ///< By job.
  std::map<std::string, std::string> m_loadedJobs;
  std::map<std::string, std::string> m_loadedProgress;
  struct FirstRefusal
  {
    TimePoint m_at{};        ///< Time of the first attempt.
    bool m_isExcess = false; ///< Not charged to its account's rate yet.
  };
  std::map<std::string, FirstRefusal> m_firstRefusals; ///< By refused job.
  std::map<std::string, Admission> m_admissions;       ///< By job that has not been submitted.
  std::deque<std::string> m_refusalOrder; ///< Refused jobs, oldest first; limits how many are kept.
  TimePoint m_inboxReadAt{};              ///< The rows that the inbox had then are known.
  /// Queues of the jobs in the inbox that the scheduler does not have yet.
  std::map<std::string, std::string> m_inboxJobs;
  std::map<std::string, std::unique_ptr<JobMove>> m_moves;      ///< By job.
  std::map<std::string, JobForward> m_forwards;                 ///< By job: moves that are done.
  std::map<std::string, std::set<std::string>> m_forwardShards; ///< Of these jobs, by queue.
  std::set<std::string> m_removedRows;            ///< Moved jobs whose rows the store has.
  std::map<std::string, JobForward> m_begunMoves; ///< While loading: not done.
  std::set<std::string> m_beginningMoves;         ///< Held jobs whose move is being stored.
  TimePoint m_nextMovesAt{};                      ///< When to consider moves again.
  bool m_isAskingForRoom = false;
  /// Jobs whose cancel is being passed on, with the time of the next attempt.
  std::map<std::string, TimerHandle> m_forwardedCancels;
  std::set<std::string> m_deferredCancels; ///< Cancelled jobs that the scheduler does not have yet.
  std::vector<platform::Row> m_deferredInboxRows; ///< Inbox rows that arrived before loading ended.
  std::vector<job::MinionEntry> m_deferredMinionEntries;
  std::vector<job::MachineIncarnation> m_deferredIncarnations;
  TimerHandle m_periodicTimer;
  TimerHandle m_logTimer;
  TimerHandle m_recoveryLogTimer;
  TimerHandle m_decisionTimer;
  TimerHandle m_drainTimer;
  std::size_t m_unloggedExcess = 0; ///< Refused jobs since the last line about them.
  TimePoint m_excessLoggedAt{};
  TimePoint m_loadedAt{};
  TimePoint m_nextDecisionAt{};        ///< Earliest time of a decision that is made on request.
  TimePoint m_drainedReportAt{};       ///< Latest report that listed drained machines.
  std::uint64_t m_accountsVersion = 0; ///< Configuration whose accounts the scheduler knows.
  std::size_t m_accountShards = 0;     ///< Shards of all pools; 0 while that is not known.
  bool m_isLoaded = false;
  bool m_isClosed = false;
  bool m_isDraining = false;
  bool m_hasEndedLeases = false;
};

} // namespace mustardtray::node
