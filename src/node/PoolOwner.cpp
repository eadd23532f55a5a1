#include "node/PoolOwner.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// Batches events that arrive together into one decision.
constexpr Micros kDecisionDelay{ 2'000 };
/// Pause after a decision in relation to the time that it took, so that decisions leave time for
/// the minions' reports and for callers.
constexpr int kPauseAfterDecision = 2;
/// Beyond the time of two polls of the inbox, which may each wait for a change.
constexpr Millis kMaxInboxAge{ 4'800 };

SubmitOutcome SubmitOutcomeOf(WriteOutcome aOutcome)
{
  switch (aOutcome) {
    case WriteOutcome::Saved:
      return SubmitOutcome::Accepted;
    case WriteOutcome::Rejected:
      return SubmitOutcome::Refused;
    case WriteOutcome::OwnershipLost:
      break;
  }
  return SubmitOutcome::Unknown;
}

} // namespace

PoolOwner::PoolOwner(NodeContext& aContext,
                     const job::OwnerRow& aClaim,
                     std::function<void()> aOnLost)
  : m_context(aContext)
  , m_claim(aClaim)
  , m_scheduler(MakePolicy(aContext), LeaseClockNow())
  , m_batchWriter(aContext, aClaim.m_pool, aClaim.m_version, std::move(aOnLost))
  , m_reader(aContext, aClaim.m_pool, m_batchWriter)
{
  m_scheduler.SetEpoch(aClaim.m_epoch);
  UpdateAccounts();
  StartLoading();
}

PoolOwner::~PoolOwner()
{
  m_isClosed = true;
  m_batchWriter.Close();
}

// Jobs.

void PoolOwner::Submit(job::JobRecord aRecord, SubmitCallback aDone)
{
  if (!IsAuthoritative() || m_isDraining) {
    aDone({ SubmitOutcome::NotOwner, Millis{ 0 } });
    return;
  }
  const std::string id = aRecord.m_id;
  if (IsForbidden(id, { AreAccountsEnforced(m_context), aRecord.m_account })) {
    aDone({ SubmitOutcome::Forbidden, Millis{ 0 } });
    return;
  }
  if (const auto pending = m_pendingSubmissions.find(id); pending != m_pendingSubmissions.end()) {
    pending->second.m_callbacks.push_back(std::move(aDone));
    return;
  }
  if (KnowsJob(id)) {
    const bool isSame = QueueOf(id) == aRecord.m_queuePolicy.m_queue;
    aDone(isSame ? SubmitResult{ SubmitOutcome::Accepted }
                 : SubmitResult{
                     SubmitOutcome::Invalid, Millis{ 0 }, "a job of another queue has this id" });
    return;
  }
  if (IsForeign(aRecord)) {
    aRecord.m_epoch = m_claim.m_epoch;
    SubmitForeign(std::move(aRecord), std::move(aDone));
    return;
  }
  const Millis waited = std::chrono::duration_cast<Millis>(LeaseClockNow() - FirstRefusalTime(id));
  std::optional<Admission> admission = TakeAdmission(aRecord);
  if (!admission) {
    admission = Admission{};
    SubmitResult result = Judge(aRecord, admission->m_isLate, admission->m_isExcess);
    if (result.m_outcome != SubmitOutcome::Accepted) {
      aDone(std::move(result));
      return;
    }
  }
  aRecord.m_acceptedAt -= waited;
  aRecord.m_epoch = m_claim.m_epoch;
  m_pendingSubmissions[id] = { aRecord.m_account, { std::move(aDone) } };
  StoreSubmission(std::move(aRecord), admission->m_isLate, admission->m_isExcess);
}

void PoolOwner::StoreSubmission(job::JobRecord aRecord, bool aIsLate, bool aIsExcess)
{
  const std::string id = aRecord.m_id;
  std::string value = job::EncodeJobRecord(aRecord);
  m_batchWriter.Put(
    kJobTable,
    id,
    std::move(value),
    [this, record = std::move(aRecord), aIsLate, aIsExcess, alive = std::weak_ptr<int>(m_alive)](
      WriteOutcome aOutcome) {
      if (alive.expired()) {
        return;
      }
      if (aOutcome == WriteOutcome::Saved) {
        PlaceJob(record, aIsLate, aIsExcess);
      }
      EndSubmission(record.m_id, { SubmitOutcomeOf(aOutcome) });
    });
}

void PoolOwner::EndSubmission(const std::string& aId, const SubmitResult& aResult)
{
  const std::vector<SubmitCallback> callbacks = std::move(m_pendingSubmissions[aId].m_callbacks);
  m_pendingSubmissions.erase(aId);
  for (const SubmitCallback& callback : callbacks) {
    callback(aResult);
  }
}

bool PoolOwner::IsForbidden(const std::string& aId, const job::Caller& aCaller) const
{
  if (const auto pending = m_pendingSubmissions.find(aId); pending != m_pendingSubmissions.end()) {
    return !aCaller.MayAccess(pending->second.m_account);
  }
  if (const auto move = m_moves.find(aId); move != m_moves.end()) {
    return !aCaller.MayAccess(move->second->m_record.m_account);
  }
  if (const JobForward* forward = FindForward(aId)) {
    return !aCaller.MayAccess(forward->m_account);
  }
  const job::Job* job = m_scheduler.FindJob(aId);
  return job && !aCaller.MayAccess(job->m_record.m_account);
}

std::optional<std::size_t> PoolOwner::WaitingJobs(const std::string& aQueue, TimePoint aNow) const
{
  if (aNow - m_inboxReadAt > kMaxInboxAge) {
    return std::nullopt;
  }
  const auto inInbox = std::count_if(m_inboxJobs.begin(), m_inboxJobs.end(), [&](const auto& aJob) {
    return aJob.second == aQueue && !m_deferredCancels.contains(aJob.first);
  });
  const auto moving = std::count_if(m_moves.begin(), m_moves.end(), [&](const auto& aMove) {
    const job::JobRecord& record = aMove.second->m_record;
    return record.m_queuePolicy.m_queue == aQueue && !aMove.second->m_hasStarted &&
           record.m_spec.m_repeatCount == 0;
  });
  return m_scheduler.WaitingJobs(aQueue) + static_cast<std::size_t>(inInbox + moving);
}

void PoolOwner::Cancel(const std::string& aId, std::function<void(std::optional<bool>)> aDone)
{
  if (!IsAuthoritative() || m_isDraining) {
    aDone(std::nullopt);
    return;
  }
  if (m_pendingSubmissions.contains(aId) || m_beginningMoves.contains(aId) ||
      m_moves.contains(aId)) {
    aDone(std::nullopt); // The job's write or move is pending, so the caller has to ask again.
    return;
  }
  const job::Job* job = m_scheduler.FindJob(aId);
  if (!job) {
    aDone(false);
    return;
  }
  if (job->HasEnded() && job->m_savedRevision == job->m_revision) {
    aDone(true);
    return;
  }
  m_scheduler.CancelJob(aId, LeaseClockNow());
  SaveProgress(*job, [done = std::move(aDone)](WriteOutcome aOutcome) {
    done(aOutcome == WriteOutcome::Saved ? std::optional(true) : std::nullopt);
  });
  Log(LogCategory::Placement, LogLevel::Info, "job-cancelled", "job", aId);
  RequestDecision();
}

void PoolOwner::OnInboxRow(const platform::Row& aRow)
{
  if (!m_isLoaded) {
    m_deferredInboxRows.push_back(aRow);
    return;
  }
  if (aRow.m_isDeleted || m_isClosed) {
    return;
  }
  const std::string& key = aRow.m_rowId.m_key;
  if (ParsePartKey(key)) {
    return; // Read with the first part.
  }
  if (HasFurtherParts(aRow)) {
    m_reader.ReadValue(
      kInboxTable, key, [this](std::vector<platform::Row>& aRows) { OnInboxRows(aRows); });
    return;
  }
  const std::string prefix = kCancelPrefix;
  if (!key.starts_with(prefix)) {
    AcceptFromInbox(key, aRow.m_value);
    return;
  }
  const std::string id = key.substr(prefix.size());
  if (FindForward(id)) {
    ForwardCancel(id);
    return;
  }
  if (!m_scheduler.FindJob(id) || m_beginningMoves.contains(id)) {
    // The job is being moved from the inbox to the job table, or to another shard.
    m_deferredCancels.insert(id);
    return;
  }
  if (!m_isDraining && m_scheduler.CancelJob(id, LeaseClockNow())) {
    Log(LogCategory::Placement, LogLevel::Info, "job-cancelled", "job", id, "from", "inbox");
    SaveProgress(*m_scheduler.FindJob(id),
                 [this, key, alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
                   if (!alive.expired() && aOutcome == WriteOutcome::Saved) {
                     RemoveFromInbox(key);
                   }
                 });
    RequestDecision();
  }
}

void PoolOwner::OnInboxRows(const std::vector<platform::Row>& aRows)
{
  for (const platform::Row& row : aRows) {
    OnInboxRow(row);
  }
}

void PoolOwner::AddJob(const job::JobRecord& aRecord, bool aIsLate, bool aIsExcess)
{
  // The wall clocks of two machines are compared; a fast clock must not put the arrival in the
  // future.
  const Millis age = std::max(Millis{ 0 }, WallNow() - aRecord.m_acceptedAt);
  m_scheduler.AddJob(aRecord, LeaseClockNow() - age, aIsLate, aIsExcess);
  m_inboxJobs.erase(aRecord.m_id);
  ApplyDeferredCancel(aRecord.m_id);
  RequestDecision();
}

void PoolOwner::ApplyDeferredCancel(const std::string& aId)
{
  if (m_deferredCancels.erase(aId) > 0) {
    platform::Row cancel;
    cancel.m_rowId = { kInboxTable, Pool(), kCancelPrefix + aId };
    OnInboxRow(cancel);
  }
}

void PoolOwner::AcceptFromInbox(const std::string& aId, const std::string& aValue)
{
  if (KnowsJob(aId)) {
    if (!m_isDraining) {
      RemoveFromInbox(aId);
    }
    return;
  }
  auto record = job::DecodeJobRecord(aValue);
  if (!record) {
    Log(LogCategory::Placement,
        LogLevel::Error,
        "inbox-unreadable",
        "job",
        aId,
        "error",
        record.error().Text());
    return;
  }
  m_inboxJobs[aId] = record.value().m_queuePolicy.m_queue;
  if (m_isDraining) {
    return; // The next owner accepts it.
  }
  if (const auto pending = m_pendingSubmissions.find(aId); pending != m_pendingSubmissions.end()) {
    pending->second.m_callbacks.push_back([this, aId](SubmitResult aResult) {
      if (aResult.m_outcome == SubmitOutcome::Accepted) {
        RemoveFromInbox(aId);
      }
    });
    return;
  }
  record.value().m_epoch = m_claim.m_epoch;
  Log(LogCategory::Placement, LogLevel::Info, "job-admitted", "job", aId, "from", "inbox");
  // A submission of the same id must neither be judged nor stored while this one is being written.
  m_pendingSubmissions[aId] = { record.value().m_account, {} };
  m_batchWriter.Put(
    kJobTable,
    aId,
    job::EncodeJobRecord(record.value()),
    [this, record = record.value(), alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
      if (alive.expired()) {
        return;
      }
      if (aOutcome == WriteOutcome::Saved) {
        PlaceJob(record, false, false);
        RemoveFromInbox(record.m_id);
      }
      EndSubmission(record.m_id, { SubmitOutcomeOf(aOutcome) });
    });
}

// Minions.

void PoolOwner::OnMinionEntry(const job::MinionEntry& aEntry)
{
  if (!m_isLoaded) {
    m_deferredMinionEntries.push_back(aEntry);
    return;
  }
  const TimePoint now = LeaseClockNow();
  m_scheduler.UpdateMinion(aEntry, now);
  StartSession(aEntry.m_id);
  RecordMinion(aEntry.m_id);
  RequestDecision();
}

void PoolOwner::StartSession(const std::string& aId)
{
  if (!m_sessions.contains(aId)) {
    m_sessions.emplace(aId, std::make_unique<MinionSession>(*this, aId)).first->second->SendHold();
  }
}

void PoolOwner::OnMachineIncarnation(const job::MachineIncarnation& aIncarnation)
{
  if (!m_isLoaded) {
    m_deferredIncarnations.push_back(aIncarnation);
    return;
  }
  m_scheduler.OnMachineIncarnation(aIncarnation, LeaseClockNow());
}

void PoolOwner::OnMinionRemoved(const std::string& aId)
{
  if (!m_isLoaded) {
    std::erase_if(m_deferredMinionEntries,
                  [&](const job::MinionEntry& aEntry) { return aEntry.m_id == aId; });
    return;
  }
  m_scheduler.RemoveMinion(aId, LeaseClockNow());
  RequestDecision();
}

void PoolOwner::EndSessionsOfErasedMinions()
{
  for (auto session = m_sessions.begin(); session != m_sessions.end();) {
    if (m_scheduler.Minions().contains(session->first)) {
      ++session;
      continue;
    }
    RemoveRecord(session->first);
    session = m_sessions.erase(session);
  }
}

void PoolOwner::Drain(std::function<void()> aDone)
{
  const bool isFirstCall = !m_isDraining;
  m_isDraining = true;
  if (isFirstCall && m_isLoaded) {
    RecordFinalLeases();
  }
  const bool isReportValid = LeaseClockNow() - m_drainedReportAt < kReportValidity;
  if (m_batchWriter.IsIdle() && m_pendingSubmissions.empty() && !isReportValid) {
    aDone();
    return;
  }
  constexpr Micros kDrainPollInterval{ 10'000 };
  m_drainTimer =
    m_context.m_timers.After(kDrainPollInterval, [this, done = std::move(aDone)] { Drain(done); });
}

// Decisions.

void PoolOwner::RequestDecision()
{
  if (m_decisionTimer.IsActive()) {
    return;
  }
  const Micros pause = std::chrono::duration_cast<Micros>(m_nextDecisionAt - LeaseClockNow());
  m_decisionTimer = m_context.m_timers.After(std::max(pause, kDecisionDelay), [this] {
    m_decisionTimer.Cancel();
    DecideNow();
  });
}

void PoolOwner::DecideNow()
{
  if (!m_isLoaded || m_isClosed) {
    return;
  }
  const WorkMeter::Scope scope(m_context.m_work, WorkPart::PoolDecision);
  const TimePoint now = LeaseClockNow();
  RetryRejectedProgress(now);
  if (m_isDraining || !m_context.m_lease.IsValid()) {
    // No new work is started, but the known ends of runs must still be saved.
    SaveUnsavedJobs();
    RecordOpenStarts();
    return;
  }
  UpdateAccounts();
  m_scheduler.Decide(now, WallNow());
  ExecuteOrders(m_scheduler.TakeOrders());
  RecordOpenStarts();
  RemoveRecordsOfDrained();
  EndSessionsOfErasedMinions();
  ConsiderMoves(now);
  const TimePoint end = LeaseClockNow();
  m_nextDecisionAt = end + kPauseAfterDecision * (end - now);
}

void PoolOwner::RemoveFromInbox(const std::string& aKey)
{
  m_batchWriter.Put(kInboxTable, aKey, std::nullopt, [](WriteOutcome) {});
}

} // namespace mustardtray::node
