#include "node/JobGateway.h"

#include <fmt/format.h>

#include "mustardtray/process/Log.h"
#include "node/GatewayResponses.h"
#include "node/RowParts.h"
#include "platform/Messages.h"

/// Callers' requests about jobs: states, waiting jobs and cancels.

namespace mustardtray::node {

namespace {

constexpr Millis kQueryTimeout{ 500 };
constexpr Millis kStoreTimeout{ 1'000 };
/// A job moves seldom; more hops than this mean that it is being moved meanwhile.
constexpr int kMaxHops = 8;

} // namespace

// Queries.

void JobGateway::QueryOwner(const char* aPath,
                            const JobTarget& aTarget,
                            std::function<void(Result<JobQueryResult>)> aDone)
{
  const std::string address = m_membership.OwnerAddress(aTarget.m_pool);
  if (address.empty()) {
    aDone(JobQueryResult{});
    return;
  }
  HttpCall call = MakePeerCall(
    address,
    aPath,
    EncodeJobQuery({ aTarget.m_pool, aTarget.m_job, aTarget.m_queue, aTarget.m_caller }),
    kQueryTimeout);
  m_context.m_http.Start(std::move(call), [done = std::move(aDone)](HttpCallResult aResult) {
    if (!aResult) {
      done(aResult.error().m_error);
      return;
    }
    done(DecodeJobQueryResult(aResult.value().m_body));
  });
}

std::optional<JobGateway::JobTarget> JobGateway::Forward(const JobTarget& aTarget,
                                                         const std::string& aShard,
                                                         const HttpResponder& aResponder) const
{
  if (aTarget.m_hops >= kMaxHops) {
    aResponder.Send(Unavailable("the job is being moved"));
    return std::nullopt;
  }
  JobTarget next = aTarget;
  next.m_pool = aShard;
  ++next.m_hops;
  return next;
}

void JobGateway::SendJobState(const JobTarget& aTarget, HttpResponder aResponder)
{
  if (PoolOwner* owner = m_localOwner(aTarget.m_pool); owner && owner->IsAuthoritative()) {
    const auto state = owner->ReportedState(aTarget.m_job);
    if (owner->IsForbidden(aTarget.m_job, aTarget.m_caller)) {
      aResponder.Send(Forbidden());
    } else if (const JobForward* forward = owner->FindForward(aTarget.m_job)) {
      if (const auto next = Forward(aTarget, forward->m_shard, aResponder)) {
        SendJobState(*next, std::move(aResponder));
      }
    } else if (state) {
      aResponder.Send(JsonResponse(200, platform::EncodeJobState(*state)));
    } else {
      SendJobStateFromStore(aTarget, std::move(aResponder));
    }
    return;
  }
  QueryOwner(
    kPeerStatePath,
    aTarget,
    [this, aTarget, responder = std::move(aResponder), alive = std::weak_ptr<int>(m_alive)](
      Result<JobQueryResult> aQueryResult) {
      if (alive.expired()) {
        responder.Send(Unavailable("stopping"));
        return;
      }
      if (aQueryResult && aQueryResult.value().m_isForbidden) {
        responder.Send(Forbidden());
        return;
      }
      if (aQueryResult && !aQueryResult.value().m_forwardedTo.empty()) {
        if (const auto next =
              Forward(aTarget, *aQueryResult.value().m_forwardedTo.begin(), responder)) {
          SendJobState(*next, responder);
        }
        return;
      }
      if (aQueryResult && aQueryResult.value().m_isOwner && aQueryResult.value().m_isKnown) {
        responder.Send(JsonResponse(200, platform::EncodeJobState(aQueryResult.value().m_state)));
        return;
      }
      SendJobStateFromStore(aTarget, responder);
    });
}

void JobGateway::FindJobRows(const JobTarget& aTarget,
                             std::vector<std::string> aTables,
                             std::function<void(Result<JobRows>)> aDone)
{
  std::string table = std::move(aTables.front());
  aTables.erase(aTables.begin());
  const platform::RowId rowId{ table, aTarget.m_pool, aTarget.m_job };
  m_context.m_store.Read(rowId,
                         EndOfParts(aTarget.m_job),
                         kStoreTimeout,
                         [this,
                          aTarget,
                          table = std::move(table),
                          next = std::move(aTables),
                          done = std::move(aDone),
                          alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
                           if (!aPage) {
                             done(aPage.error());
                           } else if (!aPage.value().m_rows.empty()) {
                             done(JobRows{ table, std::move(aPage.value().m_rows) });
                           } else if (next.empty()) {
                             done(JobRows{});
                           } else if (alive.expired()) {
                             done(Error{ ErrorKind::Internal, "read job", "", "stopping" });
                           } else {
                             FindJobRows(aTarget, next, done);
                           }
                         });
}

void JobGateway::ReadJobState(const JobTarget& aTarget,
                              std::function<void(Result<StoredJob>)> aDone)
{
  FindJobRows(
    aTarget,
    { kProgressTable, kJobTable, kInboxTable, kJobTable, kForwardTable },
    [done = std::move(aDone), job = aTarget.m_job](Result<JobRows> aFound) {
      if (!aFound) {
        done(aFound.error());
        return;
      }
      JobRows& found = aFound.value();
      if (found.m_table == kForwardTable) {
        auto forward = DecodeJobForward(job, found.m_rows[0].m_value);
        done(forward ? Result<StoredJob>(StoredJob{ {}, forward.value().m_shard })
                     : Result<StoredJob>(forward.error()));
        return;
      }
      if (found.m_rows.empty()) {
        done(StoredJob{});
        return;
      }
      const std::vector<platform::Row> rows = RowJoiner().Add(std::move(found.m_rows));
      if (found.m_table != kProgressTable) {
        // A job that has moved here has the progress that it had before.
        const auto record =
          rows.empty() ? Result<job::JobRecord>(Error{}) : job::DecodeJobRecord(rows[0].m_value);
        const auto state = record ? job::DecodeProgressState(record.value().m_progress)
                                  : Result<job::JobState>(Error{});
        done(StoredJob{ state ? state.value() : job::JobState::Queued, {} });
        return;
      }
      if (rows.empty()) {
        done(Error{ ErrorKind::Invalid, "read job", "", "parts of its progress are missing" });
        return;
      }
      auto state = job::DecodeProgressState(rows[0].m_value);
      done(state ? Result<StoredJob>(StoredJob{ state.value(), {} })
                 : Result<StoredJob>(state.error()));
    });
}

void JobGateway::RequireAccess(const JobTarget& aTarget,
                               HttpResponder aResponder,
                               std::function<void()> aThen,
                               const std::optional<HttpResponse>& aIfUnknown)
{
  const HttpResponse onFailure =
    aIfUnknown.value_or(Unavailable("the job's account cannot be read"));
  const HttpResponse onMissing = aIfUnknown.value_or(JobNotFound());
  if (!aTarget.m_caller.m_isChecked) {
    aThen();
    return;
  }
  FindJobRows(
    aTarget,
    { kJobTable, kInboxTable, kJobTable, kForwardTable },
    [=, alive = std::weak_ptr<int>(m_alive)](Result<JobRows> aFound) {
      if (!aFound || alive.expired()) {
        aResponder.Send(onFailure);
        return;
      }
      if (aFound.value().m_rows.empty()) {
        aResponder.Send(onMissing);
        return;
      }
      if (aFound.value().m_table == kForwardTable) {
        const auto forward = DecodeJobForward(aTarget.m_job, aFound.value().m_rows[0].m_value);
        if (!forward) {
          aResponder.Send(onFailure);
        } else if (!aTarget.m_caller.MayAccess(forward.value().m_account)) {
          aResponder.Send(Forbidden());
        } else {
          aThen();
        }
        return;
      }
      const std::vector<platform::Row> rows = RowJoiner().Add(std::move(aFound.value().m_rows));
      const auto record =
        rows.empty() ? Result<job::JobRecord>(Error{}) : job::DecodeJobRecord(rows[0].m_value);
      if (!record) {
        aResponder.Send(onFailure);
      } else if (!aTarget.m_caller.MayAccess(record.value().m_account)) {
        aResponder.Send(Forbidden());
      } else {
        aThen();
      }
    });
}

void JobGateway::SendJobStateFromStore(const JobTarget& aTarget, HttpResponder aResponder)
{
  const auto send =
    [this, aTarget, aResponder, alive = std::weak_ptr<int>(m_alive)](Result<StoredJob> aJob) {
      if (!aJob || alive.expired()) {
        aResponder.Send(Unavailable("the job's state cannot be read"));
      } else if (!aJob.value().m_forwardedTo.empty()) {
        if (const auto next = Forward(aTarget, aJob.value().m_forwardedTo, aResponder)) {
          SendJobState(*next, aResponder);
        }
      } else if (aJob.value().m_state) {
        aResponder.Send(JsonResponse(200, platform::EncodeJobState(*aJob.value().m_state)));
      } else {
        aResponder.Send(JobNotFound());
      }
    };
  RequireAccess(
    aTarget, aResponder, [this, aTarget, aResponder, send, alive = std::weak_ptr<int>(m_alive)] {
      if (alive.expired()) {
        aResponder.Send(Unavailable("stopping"));
      } else {
        ReadJobState(aTarget, send);
      }
    });
}

struct JobGateway::WaitingSum
{
  std::string m_queue;
  HttpResponder m_responder;
  std::set<std::string> m_asked; ///< Shards.
  std::size_t m_remainingShards = 0;
  std::size_t m_waiting = 0;
  bool m_isComplete = true;
  std::string m_shards = {}; ///< Count of each shard, for the log; '-' when it is not known.
};

void JobGateway::SendWaitingCount(const JobTarget& aTarget, HttpResponder aResponder)
{
  const std::vector<std::string> shards = m_context.m_shards.Names(aTarget.m_pool);
  const auto sum = std::make_shared<WaitingSum>(WaitingSum{
    aTarget.m_queue, std::move(aResponder), { shards.begin(), shards.end() }, shards.size() });
  for (const std::string& shard : shards) {
    AddWaitingOf(shard, sum);
  }
}

void JobGateway::AddWaitingOf(const std::string& aShard, const std::shared_ptr<WaitingSum>& aSum)
{
  if (PoolOwner* owner = m_localOwner(aShard); owner && owner->IsAuthoritative()) {
    OnWaitingOf(aShard,
                aSum,
                owner->WaitingJobs(aSum->m_queue, LeaseClockNow()),
                owner->ForwardShards(aSum->m_queue));
    return;
  }
  QueryOwner(
    kPeerWaitingPath,
    { aShard, aSum->m_queue, {}, {} },
    [this, aShard, aSum, alive = std::weak_ptr<int>(m_alive)](Result<JobQueryResult> aQueryResult) {
      if (alive.expired()) {
        aSum->m_responder.Send(Unavailable("stopping"));
        return;
      }
      const bool isAnswered = aQueryResult && aQueryResult.value().m_isOwner;
      OnWaitingOf(aShard,
                  aSum,
                  isAnswered ? std::optional(aQueryResult.value().m_waiting) : std::nullopt,
                  isAnswered ? aQueryResult.value().m_forwardedTo : std::set<std::string>{});
    });
}

void JobGateway::OnWaitingOf(const std::string& aShard,
                             const std::shared_ptr<WaitingSum>& aSum,
                             std::optional<std::size_t> aWaiting,
                             const std::set<std::string>& aForwardedTo)
{
  aSum->m_waiting += aWaiting.value_or(0);
  aSum->m_isComplete = aSum->m_isComplete && aWaiting;
  aSum->m_shards += fmt::format("{}{}:{}",
                                aSum->m_shards.empty() ? "" : ",",
                                aShard,
                                aWaiting ? std::to_string(*aWaiting) : "-");
  for (const std::string& shard : aForwardedTo) {
    if (aSum->m_asked.insert(shard).second) {
      ++aSum->m_remainingShards;
      AddWaitingOf(shard, aSum);
    }
  }
  if (--aSum->m_remainingShards > 0) {
    return;
  }
  Log(LogCategory::Placement,
      LogLevel::Info,
      "waiting-jobs",
      "queue",
      aSum->m_queue,
      "waiting",
      aSum->m_waiting,
      "shards",
      aSum->m_shards);
  aSum->m_responder.Send(aSum->m_isComplete
                           ? JsonResponse(200, platform::EncodeWaiting(aSum->m_waiting))
                           : Unavailable("an owner of the queue cannot be reached"));
}

// Cancels.

void JobGateway::Cancel(const JobTarget& aTarget, HttpResponder aResponder)
{
  const auto onQueryResult =
    [this, aTarget, responder = aResponder, alive = std::weak_ptr<int>(m_alive)](
      Result<JobQueryResult> aQueryResult) {
      if (alive.expired()) {
        responder.Send(Unavailable("stopping"));
        return;
      }
      if (aQueryResult && aQueryResult.value().m_isForbidden) {
        responder.Send(Forbidden());
        return;
      }
      if (aQueryResult && !aQueryResult.value().m_forwardedTo.empty()) {
        if (const auto next =
              Forward(aTarget, *aQueryResult.value().m_forwardedTo.begin(), responder)) {
          Cancel(*next, responder);
        }
        return;
      }
      if (aQueryResult && aQueryResult.value().m_isOwner && aQueryResult.value().m_isKnown) {
        responder.Send(JsonResponse(200, "{}"));
        return;
      }
      RequireAccess(aTarget, responder, [this, aTarget, responder, alive] {
        if (alive.expired()) {
          responder.Send(Unavailable("stopping"));
        } else {
          CancelThroughStore(aTarget, responder);
        }
      });
    };
  if (PoolOwner* owner = m_localOwner(aTarget.m_pool); owner && owner->IsAuthoritative()) {
    if (owner->IsForbidden(aTarget.m_job, aTarget.m_caller)) {
      aResponder.Send(Forbidden());
      return;
    }
    if (const JobForward* forward = owner->FindForward(aTarget.m_job)) {
      if (const auto next = Forward(aTarget, forward->m_shard, aResponder)) {
        Cancel(*next, aResponder);
      }
      return;
    }
    owner->Cancel(aTarget.m_job, [onQueryResult](std::optional<bool> aIsKnown) {
      onQueryResult(JobQueryResult{ aIsKnown.has_value(), aIsKnown.value_or(false) });
    });
    return;
  }
  QueryOwner(kPeerCancelPath, aTarget, onQueryResult);
}

void JobGateway::CancelThroughStore(const JobTarget& aTarget, HttpResponder aResponder)
{
  ReadJobState(
    aTarget,
    [this, aTarget, responder = std::move(aResponder), alive = std::weak_ptr<int>(m_alive)](
      Result<StoredJob> aJob) {
      if (!aJob || alive.expired()) {
        responder.Send(Unavailable("the cancel cannot be stored"));
        return;
      }
      if (!aJob.value().m_forwardedTo.empty()) {
        if (const auto next = Forward(aTarget, aJob.value().m_forwardedTo, responder)) {
          Cancel(*next, responder);
        }
        return;
      }
      if (!aJob.value().m_state) {
        responder.Send(JobNotFound());
        return;
      }
      platform::Transaction transaction;
      transaction.m_writes.push_back(
        { { kInboxTable, aTarget.m_pool, kCancelPrefix + aTarget.m_job }, "" });
      m_context.m_store.Commit(
        transaction, kStoreTimeout, [responder](Result<platform::TransactionResult> aResult) {
          const bool isStored = aResult && aResult.value().m_isApplied;
          responder.Send(isStored ? JsonResponse(200, "{}")
                                  : Unavailable("the cancel cannot be stored"));
        });
    });
}

} // namespace mustardtray::node
