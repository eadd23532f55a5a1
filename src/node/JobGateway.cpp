#include "node/JobGateway.h"

#include <nlohmann/json.hpp>

#include "mustardtray/process/Log.h"
#include "node/RowParts.h"
#include "platform/Messages.h"

namespace mustardtray::node {

namespace {

/// Timeout of the owner's response, which waits for the store. With a short timeout, a slow store
/// would make every job bypass the owner, which batches jobs, and each would need its own
/// transaction.
constexpr Millis kOwnerTimeout{ 1'500 };
/// A connection that fails is detected sooner.
constexpr Millis kOwnerConnectTimeout{ 400 };
constexpr Millis kQueryTimeout{ 500 };
constexpr Millis kStoreTimeout{ 1'000 };
constexpr Millis kMinStoreTimeout{ 200 };
/// Before the caller's deadline, for the way of the response.
constexpr Millis kAnswerMargin{ 150 };
constexpr Millis kFirstInboxRetryDelay{ 100 };
constexpr Millis kLongestInboxRetryDelay{ 400 };
/// How long a caller that names no deadline is assumed to wait.
constexpr Millis kDefaultCallerDeadline{ 2'000 };
constexpr Millis kMinRetryAfter{ 1'000 };
constexpr int kTooLarge = 413;

HttpResponse Refusal(int aStatus, Millis aRetryAfter, const std::string& aWhy)
{
  HttpResponse response = JsonResponse(aStatus, R"({"error":")" + aWhy + "\"}");
  const auto seconds = (std::max(aRetryAfter, kMinRetryAfter).count() + 999) / 1'000;
  response.m_headers.push_back({ "Retry-After", std::to_string(seconds) });
  return response;
}

HttpResponse Unavailable(const std::string& aWhy)
{
  return Refusal(503, kMinRetryAfter, aWhy);
}

HttpResponse OutcomeUnknown()
{
  return JsonResponse(504, R"({"error":"it is not known whether the job was stored"})");
}

HttpResponse JobNotFound()
{
  return JsonResponse(410, R"({"error":"no such job"})");
}

} // namespace

JobGateway::JobGateway(NodeContext& aContext, const Membership& aMembership, LocalOwner aLocalOwner)
  : m_context(aContext)
  , m_membership(aMembership)
  , m_localOwner(std::move(aLocalOwner))
{
}

void JobGateway::EndPendingRequests()
{
  // A responder ignores a second response.
  for (const auto& [responder, isReading] : m_lateRequests) {
    responder.Send(isReading ? Unavailable("the node is stopping") : OutcomeUnknown());
  }
  m_lateRequests.clear();
}

void JobGateway::Handle(HttpRequest aRequest, HttpResponder aResponder)
{
  if (m_isRefusing) {
    aResponder.Send(Unavailable("the node is stopping"));
    return;
  }
  if (m_isStopping) {
    m_lateRequests.emplace_back(aResponder, aRequest.m_method == "GET");
  }
  if (m_context.m_deployment.m_version == 0) {
    aResponder.Send(Unavailable("no configuration yet"));
    return;
  }
  const std::string* host = aRequest.Header("Host");
  const job::QueueSpec* queue =
    m_context.m_deployment.FindQueue(host ? *host : std::string{}, aRequest.m_path);
  if (!queue) {
    aResponder.Send(JsonResponse(404, R"({"error":"no such queue"})"));
    return;
  }
  if (!m_context.m_shards.Knows(queue->m_pool)) {
    aResponder.Send(Unavailable("the queue's pool is not known yet"));
    return;
  }
  JobTarget target{ queue->m_pool, queue->m_queuePolicy.m_queue, {} };
  if (aRequest.m_path == queue->m_prefix) {
    if (aRequest.m_method == "GET") {
      SendWaitingCount(target, std::move(aResponder));
    } else {
      aResponder.Send(JsonResponse(405, R"({"error":"a queue can only be read"})"));
    }
    return;
  }
  const auto id = platform::DecodeJobId(aRequest.m_path, queue->m_prefix);
  if (!id) {
    aResponder.Send(JsonResponse(400, R"({"error":"a job's id has 16 hexadecimal digits"})"));
    return;
  }
  target.m_job = *id;
  target.m_pool = m_context.m_shards.Of(queue->m_pool, *id);
  if (aRequest.m_method == "POST") {
    Submit(*queue, target, aRequest, std::move(aResponder));
  } else if (aRequest.m_method == "GET") {
    SendJobState(target, std::move(aResponder));
  } else if (aRequest.m_method == "DELETE") {
    Cancel(target, std::move(aResponder));
  } else {
    aResponder.Send(JsonResponse(405, R"({"error":"unknown method"})"));
  }
}

// Submission.

void JobGateway::Submit(const job::QueueSpec& aQueue,
                        const JobTarget& aTarget,
                        const HttpRequest& aRequest,
                        HttpResponder aResponder)
{
  auto spec = platform::DecodeJobSpec(aRequest.m_body);
  if (!spec) {
    Log(LogCategory::Placement,
        LogLevel::Info,
        "job-invalid",
        "job",
        aTarget.m_job,
        "error",
        spec.error().m_message);
    aResponder.Send(JsonResponse(400, R"({"error":"the body is no valid job"})"));
    return;
  }
  job::JobRecord record;
  record.m_id = aTarget.m_job;
  record.m_queuePolicy = aQueue.m_queuePolicy;
  record.m_spec = std::move(spec.value());
  record.m_acceptedAt = WallNow();
  if (!CanStore(record, aRequest.m_body.size())) {
    Log(LogCategory::Placement, LogLevel::Info, "job-too-large", "job", aTarget.m_job);
    aResponder.Send(JsonResponse(kTooLarge, R"({"error":"the job is too large to be stored"})"));
    return;
  }
  const std::string pool = aTarget.m_pool;
  const TimePoint deadline =
    LeaseClockNow() + platform::DecodeCallerDeadline(aRequest).value_or(kDefaultCallerDeadline);
  const auto onResult =
    [this, pool, record, deadline, responder = aResponder, alive = std::weak_ptr<int>(m_alive)](
      SubmitResult aResult) {
      if (alive.expired()) {
        responder.Send(OutcomeUnknown());
        return;
      }
      switch (aResult.m_outcome) {
        case SubmitOutcome::Accepted:
          responder.Send(JsonResponse(200, "{}"));
          return;
        case SubmitOutcome::Refused:
          responder.Send(Refusal(429, aResult.m_retryAfter, "the queue is full"));
          return;
        case SubmitOutcome::Invalid:
          responder.Send(JsonResponse(400, nlohmann::json{ { "error", aResult.m_reason } }.dump()));
          return;
        case SubmitOutcome::NotOwner:
          if (std::string reason =
                job::DescribeLimitError(m_context.m_deployment.m_accounts, record);
              !reason.empty()) {
            responder.Send(JsonResponse(400, nlohmann::json{ { "error", reason } }.dump()));
            return;
          }
          StoreInInbox(pool, record, false, deadline, responder);
          return;
        case SubmitOutcome::Unknown:
          StoreInInbox(pool, record, true, deadline, responder);
          return;
      }
    };
  if (PoolOwner* owner = m_localOwner(pool); owner && owner->IsAuthoritative()) {
    owner->Submit(std::move(record), onResult);
    return;
  }
  SubmitToRemoteOwner(pool, record, onResult);
}

bool JobGateway::CanStore(const job::JobRecord& aRecord, std::size_t aBodyBytes) const
{
  // A stored step is at most a few times as long as in the request.
  constexpr std::size_t kMaxGrowth = 8;
  // The owner adds its epoch to the record.
  constexpr std::size_t kEpochBytes = 16;
  const std::size_t maxBytes = MaxValueBytes(m_context.m_settings.m_maxRowBytes) - kEpochBytes;
  return aBodyBytes <= maxBytes / kMaxGrowth || job::EncodeJobRecord(aRecord).size() <= maxBytes;
}

void JobGateway::SubmitToRemoteOwner(const std::string& aPool,
                                     const job::JobRecord& aRecord,
                                     std::function<void(SubmitResult)> aDone)
{
  const std::string address = m_membership.OwnerAddress(aPool);
  if (address.empty()) {
    aDone({ SubmitOutcome::NotOwner, Millis{ 0 } });
    return;
  }
  HttpCall call =
    MakePeerCall(address, kPeerSubmitPath, EncodeSubmitRequest(aPool, aRecord), kOwnerTimeout);
  call.m_connectTimeout = kOwnerConnectTimeout;
  m_context.m_http.Start(
    std::move(call), [id = aRecord.m_id, done = std::move(aDone)](HttpCallResult aResult) {
      if (!aResult) {
        Log(LogCategory::Placement,
            LogLevel::Warning,
            "owner-unreachable",
            "job",
            id,
            "error",
            aResult.error().m_error.Text());
        done({ aResult.error().m_isNotSent ? SubmitOutcome::NotOwner : SubmitOutcome::Unknown,
               Millis{ 0 } });
        return;
      }
      auto result = DecodeSubmitResult(aResult.value().m_body);
      done(result ? result.value() : SubmitResult{ SubmitOutcome::Unknown, Millis{ 0 } });
    });
}

void JobGateway::StoreInInbox(const std::string& aPool,
                              const job::JobRecord& aRecord,
                              bool aMayBeStored,
                              TimePoint aCallerDeadline,
                              HttpResponder aResponder)
{
  const auto write = std::make_shared<InboxWrite>(
    InboxWrite{ aRecord.m_id,
                {},
                aCallerDeadline,
                aMayBeStored,
                std::move(aResponder),
                Backoff(kFirstInboxRetryDelay, kLongestInboxRetryDelay),
                {} });
  platform::Transaction& transaction = write->m_transaction;
  transaction.m_preconditions.push_back({ { kJobTable, aPool, aRecord.m_id }, 0 });
  transaction.m_preconditions.push_back({ { kInboxTable, aPool, aRecord.m_id }, 0 });
  transaction.m_writes = SplitValue({ kInboxTable, aPool, aRecord.m_id },
                                    job::EncodeJobRecord(aRecord),
                                    MaxPartBytes(m_context.m_settings.m_maxRowBytes));
  CommitInboxWrite(write);
}

void JobGateway::CommitInboxWrite(const std::shared_ptr<InboxWrite>& aWrite)
{
  const auto left =
    std::chrono::duration_cast<Millis>(aWrite->m_callerDeadline - LeaseClockNow()) - kAnswerMargin;
  m_context.m_store.Commit(
    aWrite->m_transaction,
    std::clamp(left, kMinStoreTimeout, kStoreTimeout),
    [this, aWrite, alive = std::weak_ptr<int>(m_alive)](
      Result<platform::TransactionResult> aResult) {
      if (aResult) {
        // The job is stored now, or one of its rows existed already.
        Log(LogCategory::Placement,
            LogLevel::Info,
            "job-in-inbox",
            "job",
            aWrite->m_job,
            "new",
            aResult.value().m_isApplied);
        aWrite->m_responder.Send(JsonResponse(200, "{}"));
        return;
      }
      const ErrorKind kind = aResult.error().m_kind;
      const bool isNotStored =
        kind == ErrorKind::Refused || kind == ErrorKind::Unavailable || kind == ErrorKind::Invalid;
      aWrite->m_mayBeStored = aWrite->m_mayBeStored || !isNotStored;
      const TimePoint latestRetry = aWrite->m_callerDeadline - kMinStoreTimeout - kAnswerMargin;
      const Micros delay = aWrite->m_backoff.Next();
      const bool isRepeated =
        aWrite->m_mayBeStored && !alive.expired() && LeaseClockNow() + delay < latestRetry;
      Log(LogCategory::Placement,
          LogLevel::Warning,
          "job-not-stored",
          "job",
          aWrite->m_job,
          "certain",
          !aWrite->m_mayBeStored,
          "repeated",
          isRepeated,
          "error",
          aResult.error().Text());
      if (isRepeated) {
        aWrite->m_retryTimer = m_context.m_timers.After(delay, [this, write = aWrite] {
          write->m_retryTimer.Cancel(); // Ends the reference of the timer to its owner.
          CommitInboxWrite(write);
        });
        return;
      }
      aWrite->m_responder.Send(aWrite->m_mayBeStored ? OutcomeUnknown()
                                                     : Unavailable("the store is unavailable"));
    });
}

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
  HttpCall call = MakePeerCall(address,
                               aPath,
                               EncodeJobQuery({ aTarget.m_pool, aTarget.m_job, aTarget.m_queue }),
                               kQueryTimeout);
  m_context.m_http.Start(std::move(call), [done = std::move(aDone)](HttpCallResult aResult) {
    if (!aResult) {
      done(aResult.error().m_error);
      return;
    }
    done(DecodeJobQueryResult(aResult.value().m_body));
  });
}

void JobGateway::SendJobState(const JobTarget& aTarget, HttpResponder aResponder)
{
  if (PoolOwner* owner = m_localOwner(aTarget.m_pool); owner && owner->IsAuthoritative()) {
    const auto state = owner->Scheduler().ReportedState(aTarget.m_job);
    if (state) {
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
      if (aQueryResult && aQueryResult.value().m_isOwner && aQueryResult.value().m_isKnown) {
        responder.Send(JsonResponse(200, platform::EncodeJobState(aQueryResult.value().m_state)));
        return;
      }
      SendJobStateFromStore(aTarget, responder);
    });
}

void JobGateway::ReadJobState(const JobTarget& aTarget,
                              std::function<void(Result<std::optional<job::JobState>>)> aDone)
{
  using JobStateResult = Result<std::optional<job::JobState>>;
  const std::string endKey = EndOfParts(aTarget.m_job);
  const std::weak_ptr<int> alive = m_alive;
  m_context.m_store.Read(
    { kProgressTable, aTarget.m_pool, aTarget.m_job },
    endKey,
    kStoreTimeout,
    [this, aTarget, endKey, alive, done = std::move(aDone)](Result<platform::RowPage> aProgress) {
      if (!aProgress || alive.expired()) {
        done(aProgress ? Error{ ErrorKind::Internal, "read job", "", "stopping" }
                       : aProgress.error());
        return;
      }
      if (!aProgress.value().m_rows.empty()) {
        const std::vector<platform::Row> rows =
          RowJoiner().Add(std::move(aProgress.value().m_rows));
        if (rows.empty()) {
          done(Error{ ErrorKind::Invalid, "read job", "", "parts of its progress are missing" });
          return;
        }
        auto state = job::DecodeProgressState(rows[0].m_value);
        done(state ? JobStateResult(std::optional(state.value())) : JobStateResult(state.error()));
        return;
      }
      m_context.m_store.Read(
        { kJobTable, aTarget.m_pool, aTarget.m_job },
        endKey,
        kStoreTimeout,
        [this, aTarget, endKey, alive, done](Result<platform::RowPage> aJob) {
          if (!aJob || alive.expired()) {
            done(aJob ? Error{ ErrorKind::Internal, "read job", "", "stopping" } : aJob.error());
            return;
          }
          if (!aJob.value().m_rows.empty()) {
            done(std::optional(job::JobState::Queued));
            return;
          }
          m_context.m_store.Read({ kInboxTable, aTarget.m_pool, aTarget.m_job },
                                 endKey,
                                 kStoreTimeout,
                                 [done](Result<platform::RowPage> aInbox) {
                                   if (!aInbox) {
                                     done(aInbox.error());
                                     return;
                                   }
                                   const bool isKnown = !aInbox.value().m_rows.empty();
                                   done(isKnown ? std::optional(job::JobState::Queued)
                                                : std::nullopt);
                                 });
        });
    });
}

void JobGateway::SendJobStateFromStore(const JobTarget& aTarget, HttpResponder aResponder)
{
  ReadJobState(aTarget,
               [responder = std::move(aResponder)](Result<std::optional<job::JobState>> aState) {
                 if (!aState) {
                   responder.Send(Unavailable("the job's state cannot be read"));
                 } else if (aState.value()) {
                   responder.Send(JsonResponse(200, platform::EncodeJobState(*aState.value())));
                 } else {
                   responder.Send(JobNotFound());
                 }
               });
}

void JobGateway::SendWaitingCount(const JobTarget& aTarget, HttpResponder aResponder)
{
  // Sums over the shards and responds when each has answered.
  struct Sum
  {
    std::size_t m_remainingShards = 0;
    std::size_t m_waiting = 0;
    bool m_isComplete = true;
  };
  const std::vector<std::string> shards = m_context.m_shards.Names(aTarget.m_pool);
  auto sum = std::make_shared<Sum>();
  sum->m_remainingShards = shards.size();
  const auto add = [sum, responder = std::move(aResponder)](std::optional<std::size_t> aWaiting) {
    sum->m_waiting += aWaiting.value_or(0);
    sum->m_isComplete = sum->m_isComplete && aWaiting;
    if (--sum->m_remainingShards == 0) {
      responder.Send(sum->m_isComplete ? JsonResponse(200, platform::EncodeWaiting(sum->m_waiting))
                                       : Unavailable("an owner of the queue cannot be reached"));
    }
  };
  for (const std::string& shard : shards) {
    if (PoolOwner* owner = m_localOwner(shard); owner && owner->IsAuthoritative()) {
      add(owner->Scheduler().WaitingJobs(aTarget.m_queue));
      continue;
    }
    QueryOwner(
      kPeerWaitingPath, { shard, aTarget.m_queue, {} }, [add](Result<JobQueryResult> aQueryResult) {
        const bool isAnswered = aQueryResult && aQueryResult.value().m_isOwner;
        add(isAnswered ? std::optional(aQueryResult.value().m_waiting) : std::nullopt);
      });
  }
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
      if (aQueryResult && aQueryResult.value().m_isOwner && aQueryResult.value().m_isKnown) {
        responder.Send(JsonResponse(200, "{}"));
        return;
      }
      CancelThroughStore(aTarget, responder);
    };
  if (PoolOwner* owner = m_localOwner(aTarget.m_pool); owner && owner->IsAuthoritative()) {
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
      Result<std::optional<job::JobState>> aState) {
      if (!aState || alive.expired()) {
        responder.Send(Unavailable("the cancel cannot be stored"));
        return;
      }
      if (!aState.value()) {
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
