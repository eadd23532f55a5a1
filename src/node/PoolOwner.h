#pragma once

/// Runs one pool for which this node is the owner: reads what the store has, talks with the
/// minions, carries out the scheduler's orders and saves what has to last.

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "mustardtray/job/Ownership.h"
#include "mustardtray/job/PoolScheduler.h"
#include "node/MinionTalk.h"
#include "node/NodeContext.h"
#include "node/PoolJournal.h"

namespace mustardtray::node {

enum class SubmitOutcome
{
  Accepted, ///< Stored, or known already.
  Refused,  ///< Not stored and never will be by this attempt.
  NotOwner, ///< Nothing was done.
  Unknown,  ///< May have been stored.
};

struct SubmitResult
{
  SubmitOutcome m_outcome = SubmitOutcome::NotOwner;
  Millis m_retryAfter{ 0 };
};

/// What planners of machine orders want of a pool, and what they are told.
struct FleetReport
{
  job::PoolLoad m_load;
  std::vector<std::string> m_clearMachines; ///< Cordoned, and nothing runs there.
  std::vector<std::string> m_idleMachines;  ///< Without work, most recently used last.
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
  /// Whether it may speak for the pool now.
  bool IsAuthoritative() const { return m_isLoaded && !m_isClosed && m_context.m_lease.IsValid(); }
  /// Whether it goes on owning the pool: what it promises to planners of machine orders holds.
  bool IsStaying() const { return IsAuthoritative() && !m_isDraining; }

  using SubmitCallback = std::function<void(SubmitResult)>;
  void Submit(job::JobRecord aRecord, SubmitCallback aDone);
  /// Tells whether the job is known (then the cancel is stored), not known, or undecided (empty).
  void Cancel(const std::string& aId, std::function<void(std::optional<bool>)> aDone);
  const job::PoolScheduler& Scheduler() const { return m_scheduler; }

  void OnMinionEntry(const job::MinionEntry& aEntry);
  void OnMinionGone(const std::string& aId);
  /// A minion of any pool has registered.
  void OnMachineLife(const job::MachineIncarnation& aLife);
  void OnInboxRow(const platform::Row& aRow);
  FleetReport SyncFleet(const std::set<std::string>& aCordons);
  /// Stops acting; the callback comes when nothing is pending in the store any more.
  void Drain(std::function<void()> aDone);

private:
  friend class MinionTalk;

  void LoadTable(const std::string& aTable,
                 const std::string& aFrom,
                 std::function<void(std::vector<platform::Row>&)> aOnRows,
                 std::function<void()> aDone);
  void BeginLoading();
  void FinishLoading();
  void RequestDecision();
  void DecideNow();
  void CarryOut(job::PoolOrders aOrders);
  void SendStart(const job::StartOrder& aOrder);
  void SendStop(const job::StopOrder& aOrder);
  void AskAdvisor(const job::AdviceRequest& aQuestion);
  void SaveJobs(const std::vector<std::string>& aJobs);
  void SaveProgress(const job::Job& aJob, PoolJournal::SavedCallback aSaved);
  void RemoveFromInbox(const std::string& aKey);
  /// Begins the conversation with a minion, unless there is one.
  void BeginTalk(const std::string& aId);
  void RecordMinion(const std::string& aId);
  void EndTalksOfErasedMinions();
  void AddJob(const job::JobRecord& aRecord, bool aIsLate);
  TimePoint FirstSeen(const std::string& aId) const;
  void AcceptFromInbox(const std::string& aId, const std::string& aValue);

  NodeContext& m_context;
  job::OwnerRow m_claim;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  job::PoolScheduler m_scheduler;
  PoolJournal m_journal;
  std::map<std::string, std::unique_ptr<MinionTalk>> m_talks;
  std::map<std::string, std::vector<SubmitCallback>>
    m_submitting; ///< Jobs on their way to the store.
  std::map<std::string, std::string> m_loadedJobs;
  std::map<std::string, std::string> m_loadedProgress;
  std::map<std::string, TimePoint> m_refusedFirstAt; ///< Refused jobs, by their first attempt.
  std::deque<std::string> m_refusedOrder;            ///< Oldest first, to forget them.
  std::set<std::string> m_earlyCancels;              ///< Of jobs that are not in the scheduler yet.
  std::vector<platform::Row> m_earlyInbox;           ///< That came before the rows were read.
  std::vector<job::MinionEntry> m_earlyEntries;
  std::vector<job::MachineIncarnation> m_earlyLives;
  TimerHandle m_tick;
  TimerHandle m_soon;
  TimerHandle m_retry;
  TimerHandle m_drainPoll;
  bool m_isLoaded = false;
  bool m_isClosed = false;
  bool m_isDraining = false;
};

} // namespace mustardtray::node
