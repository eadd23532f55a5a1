#include "node/JobGateway.h"

#include <nlohmann/json.hpp>

#include "mustardtray/process/Log.h"
#include "node/GatewayResponses.h"
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
/// A job that cannot be sent by then is refused, so that its caller can ask another node.
constexpr Millis kMaxSubmitWait{ 300 };
/// Returned to the caller when the link is full; a burst of jobs has been sent by then.
constexpr Millis kBusyRetryAfter{ 1'000 };
constexpr Millis kStoreTimeout{ 1'000 };
constexpr Millis kMinStoreTimeout{ 200 };
/// Before the caller's deadline, for the way of the response.
constexpr Millis kAnswerMargin{ 150 };
constexpr Millis kFirstInboxRetryDelay{ 100 };
constexpr Millis kLongestInboxRetryDelay{ 400 };
/// How long a caller that names no deadline is assumed to wait.
constexpr Millis kDefaultCallerDeadline{ 2'000 };
constexpr int kTooLarge = 413;

} // namespace

JobGateway::JobGateway(NodeContext& aContext,
                       const Membership& aMembership,
                       ConfigurationRelay& aRelay,
                       LocalOwner aLocalOwner)
  : m_context(aContext)
  , m_membership(aMembership)
  , m_localOwner(std::move(aLocalOwner))
  , m_accessGate(aContext, aRelay)
  , m_queueDirectory(aContext)
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
  const job::QueueSpec* queue = FindQueue(aRequest);
  if (!queue) {
    aResponder.Send(JsonResponse(404, R"({"error":"no such queue"})"));
    return;
  }
  const auto request = std::make_shared<HttpRequest>(std::move(aRequest));
  m_accessGate.Check(
    queue->m_isPublic,
    *request,
    [this, request, responder = std::move(aResponder), alive = std::weak_ptr<int>(m_alive)](
      const AccessGate::Verdict& aVerdict) {
      if (aVerdict.m_refusal) {
        responder.Send(*aVerdict.m_refusal);
      } else if (alive.expired() || m_isRefusing) {
        responder.Send(Unavailable("the node is stopping"));
      } else {
        HandleFrom(aVerdict.m_caller, request, responder);
      }
    });
}

const job::QueueSpec* JobGateway::FindQueue(const HttpRequest& aRequest) const
{
  const std::string* host = aRequest.Header("Host");
  return m_context.m_deployment.FindQueue(host ? *host : std::string{}, aRequest.m_path);
}

void JobGateway::HandleFrom(const job::Caller& aCaller,
                            const std::shared_ptr<const HttpRequest>& aRequest,
                            HttpResponder aResponder)
{
  // Another configuration may have come into force while the key was being checked.
  const job::QueueSpec* queue = FindQueue(*aRequest);
  if (!queue) {
    aResponder.Send(JsonResponse(404, R"({"error":"no such queue"})"));
    return;
  }
  // The configuration says which pool runs new jobs; the home of the queue has all its jobs.
  const std::string key = job::QueueKeyOf(*queue);
  const job::QueueHome* home = m_context.m_queueHomes.Find(key);
  if (!home && !m_context.m_shards.Knows(queue->m_pool)) {
    // All nodes are starting: the numbers of shards and the homes are about to be written.
    aResponder.Send(Unavailable("the queue's pool is not known yet"));
    return;
  }
  if (!home || !m_context.m_shards.Knows(home->m_pool)) {
    m_queueDirectory.Resolve(*queue,
                             [this,
                              aCaller,
                              aRequest,
                              key,
                              responder = std::move(aResponder),
                              alive = std::weak_ptr<int>(m_alive)] {
                               const job::QueueHome* found =
                                 alive.expired() ? nullptr : m_context.m_queueHomes.Find(key);
                               if (found && m_context.m_shards.Knows(found->m_pool)) {
                                 HandleFrom(aCaller, aRequest, responder);
                               } else {
                                 responder.Send(Unavailable("the queue's home is not known yet"));
                               }
                             });
    return;
  }
  JobTarget target{ home->m_pool, home->m_queue, {}, aCaller };
  if (aRequest->m_path == queue->m_prefix) {
    if (aRequest->m_method == "GET") {
      SendWaitingCount(target, std::move(aResponder));
    } else {
      aResponder.Send(JsonResponse(405, R"({"error":"a queue can only be read"})"));
    }
    return;
  }
  const auto id = platform::DecodeJobId(aRequest->m_path, queue->m_prefix);
  if (!id) {
    aResponder.Send(JsonResponse(400, R"({"error":"a job's id has 16 hexadecimal digits"})"));
    return;
  }
  target.m_job = *id;
  target.m_pool = m_context.m_shards.Of(home->m_pool, *id);
  if (aRequest->m_method == "POST" && !m_context.m_shards.Knows(queue->m_pool)) {
    aResponder.Send(Unavailable("the queue's pool is not known yet"));
  } else if (aRequest->m_method == "POST") {
    Submit(*queue, *home, target, *aRequest, std::move(aResponder));
  } else if (aRequest->m_method == "GET") {
    SendJobState(target, std::move(aResponder));
  } else if (aRequest->m_method == "DELETE") {
    Cancel(target, std::move(aResponder));
  } else {
    aResponder.Send(JsonResponse(405, R"({"error":"unknown method"})"));
  }
}

// Submission.

void JobGateway::Submit(const job::QueueSpec& aQueue,
                        const job::QueueHome& aHome,
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
  record.m_account = aTarget.m_caller.m_account;
  record.m_queuePolicy = aQueue.m_queuePolicy;
  record.m_queuePolicy.m_queue = aHome.m_queue;
  record.m_pool = aQueue.m_pool == aHome.m_pool ? std::string{} : aQueue.m_pool;
  record.m_spec = std::move(spec.value());
  record.m_acceptedAt = WallNow();
  if (!CanStore(record, aRequest.m_body.size())) {
    Log(LogCategory::Placement, LogLevel::Info, "job-too-large", "job", aTarget.m_job);
    aResponder.Send(JsonResponse(kTooLarge, R"({"error":"the job is too large to be stored"})"));
    return;
  }
  const TimePoint deadline =
    LeaseClockNow() + platform::DecodeCallerDeadline(aRequest).value_or(kDefaultCallerDeadline);
  const auto onResult =
    [this, aTarget, record, deadline, responder = aResponder, alive = std::weak_ptr<int>(m_alive)](
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
        case SubmitOutcome::Forbidden:
          responder.Send(Forbidden());
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
          StoreInInbox(aTarget, record, false, deadline, responder);
          return;
        case SubmitOutcome::Unknown:
          StoreInInbox(aTarget, record, true, deadline, responder);
          return;
      }
    };
  if (PoolOwner* owner = m_localOwner(aTarget.m_pool); owner && owner->IsAuthoritative()) {
    owner->Submit(std::move(record), onResult);
    return;
  }
  SubmitToRemoteOwner(aTarget.m_pool, record, onResult);
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
  const auto askFirst = m_askFirstUntil.find(address);
  const bool isAskedFirst = askFirst != m_askFirstUntil.end() &&
                            MonotonicNow() < askFirst->second && aRecord.m_pool.empty();
  if (!isAskedFirst) {
    CallOwner(address, kPeerSubmitPath, aPool, aRecord, std::move(aDone));
    return;
  }
  job::JobRecord outline = aRecord;
  outline.m_spec.m_payload.clear();
  CallOwner(
    address,
    kPeerAdmitPath,
    aPool,
    outline,
    [this, address, aPool, aRecord, done = std::move(aDone), alive = std::weak_ptr<int>(m_alive)](
      SubmitResult aResult) {
      if (aResult.m_outcome == SubmitOutcome::Accepted && !alive.expired()) {
        CallOwner(address, kPeerSubmitPath, aPool, aRecord, done);
      } else if (aResult.m_outcome == SubmitOutcome::Unknown) {
        done({ SubmitOutcome::Refused, kBusyRetryAfter }); // Nothing has been handed in.
      } else {
        done(std::move(aResult));
      }
    });
}

void JobGateway::CallOwner(const std::string& aAddress,
                           const char* aPath,
                           const std::string& aPool,
                           const job::JobRecord& aRecord,
                           std::function<void(SubmitResult)> aDone)
{
  HttpCall call = MakePeerCall(aAddress, aPath, EncodeSubmitRequest(aPool, aRecord), kOwnerTimeout);
  call.m_connectTimeout = kOwnerConnectTimeout;
  call.m_priority = CallPriority::Low;
  call.m_maxLinkWait = kMaxSubmitWait;
  m_context.m_http.Start(
    std::move(call),
    [this,
     id = aRecord.m_id,
     aAddress,
     done = std::move(aDone),
     alive = std::weak_ptr<int>(m_alive)](HttpCallResult aResult) {
      if (!aResult && aResult.error().m_isLinkBusy) {
        Log(LogCategory::Placement, LogLevel::Info, "job-refused", "job", id, "reason", "link");
        done({ SubmitOutcome::Refused, kBusyRetryAfter });
        return;
      }
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
      if (result && result.value().m_askFirst.count() > 0 && !alive.expired()) {
        m_askFirstUntil[aAddress] = MonotonicNow() + result.value().m_askFirst;
      }
      done(result ? std::move(result.value()) : SubmitResult{ SubmitOutcome::Unknown });
    });
}

void JobGateway::StoreInInbox(const JobTarget& aTarget,
                              const job::JobRecord& aRecord,
                              bool aMayBeStored,
                              TimePoint aCallerDeadline,
                              HttpResponder aResponder)
{
  const auto write = std::make_shared<InboxWrite>(
    InboxWrite{ aTarget,
                {},
                aCallerDeadline,
                aMayBeStored,
                std::move(aResponder),
                Backoff(kFirstInboxRetryDelay, kLongestInboxRetryDelay),
                {} });
  platform::Transaction& transaction = write->m_transaction;
  transaction.m_priority = CallPriority::Low;
  transaction.m_preconditions.push_back({ { kJobTable, aTarget.m_pool, aRecord.m_id }, 0 });
  transaction.m_preconditions.push_back({ { kInboxTable, aTarget.m_pool, aRecord.m_id }, 0 });
  transaction.m_preconditions.push_back({ { kForwardTable, aTarget.m_pool, aRecord.m_id }, 0 });
  transaction.m_writes = SplitValue({ kInboxTable, aTarget.m_pool, aRecord.m_id },
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
            aWrite->m_target.m_job,
            "new",
            aResult.value().m_isApplied);
        if (aResult.value().m_isApplied || !aWrite->m_target.m_caller.m_isChecked) {
          aWrite->m_responder.Send(JsonResponse(200, "{}"));
        } else if (alive.expired()) {
          aWrite->m_responder.Send(OutcomeUnknown());
        } else {
          RequireAccess(
            aWrite->m_target,
            aWrite->m_responder,
            [aWrite] { aWrite->m_responder.Send(JsonResponse(200, "{}")); },
            OutcomeUnknown());
        }
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
          aWrite->m_target.m_job,
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

} // namespace mustardtray::node
