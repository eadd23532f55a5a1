#pragma once

/// Handles callers' requests: forwards each job to the owner of its pool, on this node or another,
/// and falls back to the store when the owner cannot be reached.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/Backoff.h"
#include "node/AccessGate.h"
#include "node/Membership.h"
#include "node/NodeContext.h"
#include "node/PeerMessages.h"
#include "node/PoolOwner.h"
#include "node/QueueDirectory.h"

namespace mustardtray::node {

/// Returns the pool's owner, or nullptr when this node does not own the pool.
using LocalOwner = std::function<PoolOwner*(const std::string& aPool)>;

class JobGateway
{
public:
  JobGateway(NodeContext& aContext,
             const Membership& aMembership,
             ConfigurationRelay& aRelay,
             LocalOwner aLocalOwner);

  /// Handles a caller's request.
  void Handle(HttpRequest aRequest, HttpResponder aResponder);

  // The end of a node; connections stay open until its process is gone.

  /// From now on requests without a response are remembered.
  void BeginStopping() { m_isStopping = true; }
  /// Requests that come from now on are refused, since there is no time left to handle them.
  void RefuseRequests() { m_isRefusing = true; }
  /// Responds to the requests that are still being handled, so that their callers can try another
  /// node.
  void EndPendingRequests();

private:
  struct JobTarget
  {
    std::string m_pool;
    std::string m_queue;
    std::string m_job;
    job::Caller m_caller;
    int m_hops = 0; ///< Shards that have passed the request on.
  };

  const job::QueueSpec* FindQueue(const HttpRequest& aRequest) const;
  /// Handles a request whose API key has been checked.
  void HandleFrom(const job::Caller& aCaller,
                  const std::shared_ptr<const HttpRequest>& aRequest,
                  HttpResponder aResponder);

  void Submit(const job::QueueSpec& aQueue,
              const job::QueueHome& aHome,
              const JobTarget& aTarget,
              const HttpRequest& aRequest,
              HttpResponder aResponder);
  /// Whether the store takes a job of this size.
  bool CanStore(const job::JobRecord& aRecord, std::size_t aBodyBytes) const;
  void SubmitToRemoteOwner(const std::string& aPool,
                           const job::JobRecord& aRecord,
                           std::function<void(SubmitResult)> aDone);
  /// Sends a job to the owner of its pool, or asks whether it would be accepted.
  void CallOwner(const std::string& aAddress,
                 const char* aPath,
                 const std::string& aPool,
                 const job::JobRecord& aRecord,
                 std::function<void(SubmitResult)> aDone);
  /// A write of a job to the inbox, which is repeated while it is not known whether it took place.
  struct InboxWrite
  {
    JobTarget m_target;
    platform::Transaction m_transaction;
    TimePoint m_callerDeadline{}; ///< The caller waits for the response until then.
    bool m_mayBeStored = false;   ///< By an attempt without an answer.
    HttpResponder m_responder;
    Backoff m_backoff;
    TimerHandle m_retryTimer;
  };

  void StoreInInbox(const JobTarget& aTarget,
                    const job::JobRecord& aRecord,
                    bool aMayBeStored,
                    TimePoint aCallerDeadline,
                    HttpResponder aResponder);
  void CommitInboxWrite(const std::shared_ptr<InboxWrite>& aWrite);
  /// Reads the job's account from the store and calls aThen when the caller may access the job.
  /// Else sends the response; aIfUnknown replaces that for a job that cannot be read or is not
  /// there. Reads nothing when accounts are not enforced.
  void RequireAccess(const JobTarget& aTarget,
                     HttpResponder aResponder,
                     std::function<void()> aThen,
                     const std::optional<HttpResponse>& aIfUnknown = std::nullopt);
  void SendJobState(const JobTarget& aTarget, HttpResponder aResponder);
  void SendJobStateFromStore(const JobTarget& aTarget, HttpResponder aResponder);
  void Cancel(const JobTarget& aTarget, HttpResponder aResponder);
  void CancelThroughStore(const JobTarget& aTarget, HttpResponder aResponder);
  void SendWaitingCount(const JobTarget& aTarget, HttpResponder aResponder);
  void QueryOwner(const char* aPath,
                  const JobTarget& aTarget,
                  std::function<void(Result<JobQueryResult>)> aDone);
  /// Returns the target of a request that has to go on to the shard to which the job has moved;
  /// empty, with a response sent, when that cannot be followed.
  std::optional<JobTarget> Forward(const JobTarget& aTarget,
                                   const std::string& aShard,
                                   const HttpResponder& aResponder) const;
  /// Sums the waiting jobs over shards, and over those to which jobs have moved from there.
  struct WaitingSum;
  void AddWaitingOf(const std::string& aShard, const std::shared_ptr<WaitingSum>& aSum);
  void OnWaitingOf(const std::string& aShard,
                   const std::shared_ptr<WaitingSum>& aSum,
                   std::optional<std::size_t> aWaiting,
                   const std::set<std::string>& aForwardedTo);
  /// Rows that the store has of a job.
  struct JobRows
  {
    std::string m_table; ///< Empty when there are none.
    std::vector<platform::Row> m_rows;
  };
  /// Reads the job's rows from the tables in turn, until one has some. A job moves from the inbox
  /// to the job table, so the latter has to be read after the former, too; from the job table it
  /// moves to the forward table.
  void FindJobRows(const JobTarget& aTarget,
                   std::vector<std::string> aTables,
                   std::function<void(Result<JobRows>)> aDone);
  /// What the store has of a job.
  struct StoredJob
  {
    std::optional<job::JobState> m_state; ///< Empty when the store does not have the job here.
    std::string m_forwardedTo;            ///< Shard to which the job has moved.
  };
  void ReadJobState(const JobTarget& aTarget, std::function<void(Result<StoredJob>)> aDone);

  NodeContext& m_context;
  const Membership& m_membership;
  LocalOwner m_localOwner;
  AccessGate m_accessGate;
  QueueDirectory m_queueDirectory;
  bool m_isStopping = false;
  bool m_isRefusing = false;
  /// By peer address: owners whose links are loaded are asked before they are sent a job.
  std::map<std::string, TimePoint> m_askFirstUntil;
  /// Requests that came while the node was stopping, and whether they only read.
  std::vector<std::pair<HttpResponder, bool>> m_lateRequests;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/// Paths of the requests between nodes.
inline constexpr const char* kPeerSubmitPath = "/peer/submit";
inline constexpr const char* kPeerCancelPath = "/peer/cancel";
inline constexpr const char* kPeerStatePath = "/peer/state";
inline constexpr const char* kPeerWaitingPath = "/peer/waiting";
inline constexpr const char* kPeerFleetPath = "/peer/fleet";
inline constexpr const char* kPeerReleasedPath = "/peer/released";

} // namespace mustardtray::node
