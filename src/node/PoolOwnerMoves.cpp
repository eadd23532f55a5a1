#include "node/PoolOwner.h"

#include <algorithm>
#include <tuple>

#include "mustardtray/process/Log.h"
#include "node/PeerMessages.h"

/// Moves of jobs to other shards. The store's transactions change one partition only, so a move has
/// three steps: this shard stores that the move has begun and runs the job no more, the other shard
/// stores the job, and this shard replaces the job's rows by a forward. From the first step on the
/// job goes to that shard alone, so each step can be repeated, by later owners as well.

namespace mustardtray::node {

namespace {

constexpr Millis kAdoptTimeout{ 1'500 };
constexpr Millis kFirstMoveRetryDelay{ 100 };
constexpr Millis kLongestMoveRetryDelay{ 1'000 };
constexpr Millis kForwardedCancelTimeout{ 1'000 };
constexpr Millis kAdmissionTimeout{ 500 };
constexpr Millis kRoomTimeout{ 500 };
/// Between looks for jobs that could move.
constexpr Millis kMovesPeriod{ 400 };
/// The same when no shard could take any.
constexpr Millis kFruitlessMovesPeriod{ 1'200 };
constexpr std::size_t kMaxJobsInQuery = 8;

/// Longest record that another shard can store, with the number of its epoch.
std::size_t MaxMovedBytes(const NodeContext& aContext)
{
  constexpr std::size_t kEpochBytes = 16;
  return MaxValueBytes(aContext.m_settings.m_maxRowBytes) - kEpochBytes;
}

} // namespace

std::optional<job::JobState> PoolOwner::ReportedState(const std::string& aId) const
{
  if (const auto move = m_moves.find(aId); move != m_moves.end()) {
    return move->second->m_hasStarted ? job::JobState::Running : job::JobState::Queued;
  }
  return m_scheduler.ReportedState(aId);
}

const JobForward* PoolOwner::FindForward(const std::string& aId) const
{
  const auto forward = m_forwards.find(aId);
  return forward == m_forwards.end() ? nullptr : &forward->second;
}

bool PoolOwner::KnowsJob(const std::string& aId) const
{
  return m_scheduler.FindJob(aId) || m_moves.contains(aId) || FindForward(aId);
}

std::string PoolOwner::QueueOf(const std::string& aId) const
{
  if (const auto move = m_moves.find(aId); move != m_moves.end()) {
    return move->second->m_record.m_queuePolicy.m_queue;
  }
  if (const JobForward* forward = FindForward(aId)) {
    return forward->m_queue;
  }
  const job::Job* job = m_scheduler.FindJob(aId);
  return job ? job->m_record.m_queuePolicy.m_queue : std::string{};
}

bool PoolOwner::IsForeign(const job::JobRecord& aRecord) const
{
  return !aRecord.m_pool.empty() && aRecord.m_pool != job::ShardMap::PoolOf(Pool());
}

void PoolOwner::PlaceJob(const job::JobRecord& aRecord, bool aIsLate, bool aIsExcess)
{
  if (IsForeign(aRecord)) {
    m_inboxJobs.erase(aRecord.m_id);
    HandOverForeign(aRecord);
  } else {
    AddJob(aRecord, aIsLate, aIsExcess);
  }
}

// Jobs that cannot run here.

/// A query of other shards about some jobs.
struct PoolOwner::RoomQuery
{
  struct Candidate
  {
    job::WaitingJob m_job;
    std::map<std::string, job::ShardRoom> m_rooms; ///< By shard.
  };
  std::vector<Candidate> m_candidates;
  std::map<std::string, std::vector<std::size_t>> m_asked; ///< Candidates by shard, in this order.
  std::size_t m_remainingShards = 0;
};

std::vector<std::string> PoolOwner::ShardsFor(const std::string& aQueue) const
{
  std::set<std::string> pools{ job::ShardMap::PoolOf(Pool()) };
  for (const job::QueueSpec& queue : m_context.m_deployment.m_queues) {
    const job::QueueHome* home = m_context.m_queueHomes.Find(job::QueueKeyOf(queue));
    if (home && home->m_queue == aQueue) {
      pools.insert(queue.m_pool);
    }
  }
  std::vector<std::string> shards;
  for (const std::string& pool : pools) {
    for (const std::string& shard : m_context.m_shards.Names(pool)) {
      if (shard != Pool()) {
        shards.push_back(shard);
      }
    }
  }
  return shards;
}

bool PoolOwner::HasOtherShards() const
{
  const std::vector<job::QueueSpec>& queues = m_context.m_deployment.m_queues;
  return m_context.m_shards.Count(job::ShardMap::PoolOf(Pool())) > 1 ||
         std::any_of(queues.begin(), queues.end(), [this](const job::QueueSpec& aQueue) {
           const job::QueueHome* home = m_context.m_queueHomes.Find(job::QueueKeyOf(aQueue));
           return home && home->m_pool != aQueue.m_pool;
         });
}

void PoolOwner::ConsiderMoves(TimePoint aNow)
{
  if (aNow < m_nextMovesAt || m_isAskingForRoom || !m_context.m_callShard) {
    return;
  }
  m_nextMovesAt = aNow + kMovesPeriod;
  const bool hasOtherShards = HasOtherShards();
  m_scheduler.SetOtherShards(hasOtherShards);
  if (!hasOtherShards) {
    return;
  }
  auto query = std::make_shared<RoomQuery>();
  std::map<std::string, RoomRequest> requests; ///< By shard.
  for (const job::WaitingJob& waiting : m_scheduler.FindMovable(kMaxJobsInQuery, aNow)) {
    // Room for one job says nothing about the next one.
    if (!waiting.IsUnfit() && !query->m_candidates.empty()) {
      break;
    }
    std::optional<job::JobRecord> record = m_scheduler.DescribeJob(waiting.m_id);
    const std::vector<std::string> shards = ShardsFor(record->m_queuePolicy.m_queue);
    if (shards.empty()) {
      continue;
    }
    record->m_spec.m_payload.clear();
    for (const std::string& shard : shards) {
      requests[shard].m_records.push_back(*record);
      query->m_asked[shard].push_back(query->m_candidates.size());
    }
    query->m_candidates.push_back({ waiting, {} });
  }
  query->m_remainingShards = requests.size();
  m_isAskingForRoom = !requests.empty();
  for (auto& [shard, request] : requests) {
    request.m_shard = shard;
    m_context.m_callShard(
      shard,
      kPeerRoomPath,
      EncodeRoomRequest(request),
      kRoomTimeout,
      [this, query, shard = shard, alive = std::weak_ptr<int>(m_alive)](
        Result<std::string> aAnswer) {
        if (!alive.expired() && !m_isClosed) {
          OnRoom(query, shard, aAnswer ? DecodeRoom(aAnswer.value()) : aAnswer.error());
        }
      });
  }
}

void PoolOwner::OnRoom(const std::shared_ptr<RoomQuery>& aQuery,
                       const std::string& aShard,
                       const Result<std::vector<job::ShardRoom>>& aRooms)
{
  const std::vector<std::size_t>& asked = aQuery->m_asked.at(aShard);
  if (aRooms && aRooms.value().size() == asked.size()) {
    for (std::size_t i = 0; i < asked.size(); ++i) {
      aQuery->m_candidates[asked[i]].m_rooms[aShard] = aRooms.value()[i];
    }
  }
  if (--aQuery->m_remainingShards == 0) {
    m_isAskingForRoom = false;
    if (!IsAuthoritative() || m_isDraining || !ChooseMoves(*aQuery)) {
      m_nextMovesAt = LeaseClockNow() + kFruitlessMovesPeriod;
    }
  }
}

bool PoolOwner::ChooseMoves(const RoomQuery& aQuery)
{
  bool hasMove = false;
  for (const RoomQuery::Candidate& candidate : aQuery.m_candidates) {
    const job::ShardRoom& own = candidate.m_job.m_room;
    const std::string* best = nullptr;
    std::tuple bestRoom(own.m_startableUnits, own.m_holdableUnits);
    for (const auto& [shard, offer] : candidate.m_rooms) {
      const std::tuple room(offer.m_startableUnits, offer.m_holdableUnits);
      if (room > bestRoom) {
        best = &shard;
        bestRoom = room;
      }
    }
    // A job that could run here, too, goes only where it can start at once.
    if (best && (std::get<0>(bestRoom) > 0 || candidate.m_job.IsUnfit())) {
      BeginMove(candidate.m_job.m_id, *best);
      hasMove = true;
    }
  }
  return hasMove;
}

void PoolOwner::BeginMove(const std::string& aId, const std::string& aShard)
{
  std::optional<job::JobRecord> record = m_scheduler.HoldForMove(aId, LeaseClockNow());
  if (!record) {
    return;
  }
  if (job::EncodeJobRecord(*record).size() > MaxMovedBytes(m_context)) {
    m_scheduler.EndHold(aId);
    return;
  }
  m_beginningMoves.insert(aId);
  const JobForward forward{
    aShard, record->m_moves, false, record->m_queuePolicy.m_queue, record->m_account
  };
  m_batchWriter.Put(
    kForwardTable,
    aId,
    EncodeJobForward(forward),
    [this, aShard, record = *record, alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
      if (alive.expired()) {
        return;
      }
      const std::string& id = record.m_id;
      m_beginningMoves.erase(id);
      if (aOutcome == WriteOutcome::Saved) {
        const bool hasStarted = m_scheduler.ReportedState(id) == job::JobState::Running;
        m_scheduler.RemoveHeldJob(id);
        HandOver(record, aShard, hasStarted);
      } else if (aOutcome == WriteOutcome::Rejected) {
        m_scheduler.EndHold(id);
        ApplyDeferredCancel(id);
      }
    });
}

std::vector<job::ShardRoom> PoolOwner::MeasureRoom(
  const std::vector<job::JobRecord>& aRecords) const
{
  std::vector<job::ShardRoom> rooms;
  if (IsAuthoritative() && !m_isDraining) {
    for (const job::JobRecord& record : aRecords) {
      rooms.push_back(m_scheduler.MeasureRoomFor(record, LeaseClockNow()));
    }
  }
  return rooms;
}

// The shard that hands a job over.

void PoolOwner::HandOverForeign(job::JobRecord aRecord)
{
  // The record itself shows the move: it names the other pool.
  const std::string shard = m_context.m_shards.Of(aRecord.m_pool, aRecord.m_id);
  aRecord.m_moves += 1;
  HandOver(std::move(aRecord), shard, false);
}

void PoolOwner::HandOver(job::JobRecord aRecord, const std::string& aShard, bool aHasStarted)
{
  const std::string id = aRecord.m_id;
  m_moves[id] =
    std::make_unique<JobMove>(JobMove{ std::move(aRecord),
                                       aShard,
                                       aHasStarted,
                                       false,
                                       Backoff(kFirstMoveRetryDelay, kLongestMoveRetryDelay),
                                       {} });
  SendMove(id);
}

void PoolOwner::SendMove(const std::string& aId)
{
  const auto found = m_moves.find(aId);
  if (found == m_moves.end() || found->second->m_isSending || m_isClosed) {
    return;
  }
  JobMove& move = *found->second;
  const std::string& pool = move.m_record.m_pool;
  if (move.m_shard.empty() || !m_context.m_callShard || !m_context.m_lease.IsValid() ||
      m_isDraining) {
    RetryMove(move);
    return;
  }
  if (IsForeign(move.m_record) && !m_context.m_shards.Knows(pool)) {
    RetryMove(move);
    return;
  }
  if (IsForeign(move.m_record)) {
    move.m_shard = m_context.m_shards.Of(pool, aId);
  }
  move.m_isSending = true;
  m_context.m_callShard(
    move.m_shard,
    kPeerAdoptPath,
    EncodeAdoptRequest({ move.m_shard, move.m_record }),
    kAdoptTimeout,
    [this, aId, alive = std::weak_ptr<int>(m_alive)](Result<std::string> aAnswer) {
      if (alive.expired() || m_isClosed) {
        return;
      }
      const auto move = m_moves.find(aId);
      if (move == m_moves.end()) {
        return;
      }
      move->second->m_isSending = false;
      const auto outcome = aAnswer ? DecodeAdoptOutcome(aAnswer.value()) : aAnswer.error();
      if (outcome && outcome.value() == AdoptOutcome::Adopted) {
        OnMoveDone(aId);
      } else if (outcome && outcome.value() == AdoptOutcome::Rejected) {
        OnMoveRejected(aId);
      } else {
        RetryMove(*move->second);
      }
    });
}

void PoolOwner::RetryMove(JobMove& aMove)
{
  aMove.m_retryTimer =
    m_context.m_timers.After(aMove.m_backoff.Next(), [this, id = aMove.m_record.m_id] {
      if (const auto move = m_moves.find(id); move != m_moves.end()) {
        move->second->m_retryTimer.Cancel();
        SendMove(id);
      }
    });
}

void PoolOwner::OnMoveDone(const std::string& aId)
{
  if (m_isDraining) {
    return; // The next owner repeats the move.
  }
  const JobMove& move = *m_moves.at(aId);
  const JobForward forward{ move.m_shard,
                            move.m_record.m_moves,
                            true,
                            move.m_record.m_queuePolicy.m_queue,
                            move.m_record.m_account };
  Log(LogCategory::Placement,
      LogLevel::Info,
      "job-moved",
      "job",
      aId,
      "from",
      Pool(),
      "to",
      move.m_shard,
      "moves",
      forward.m_moves);
  m_moves.erase(aId);
  AddForward(aId, forward);
  m_batchWriter.Put(kForwardTable, aId, EncodeJobForward(forward), [](WriteOutcome) {});
  RemoveMovedRows(aId);
  ApplyDeferredCancel(aId);
}

void PoolOwner::AddForward(const std::string& aId, const JobForward& aForward)
{
  m_forwards[aId] = aForward;
  m_forwardShards[aForward.m_queue].insert(aForward.m_shard);
}

void PoolOwner::RemoveMovedRows(const std::string& aId)
{
  m_removedRows.insert(aId);
  m_batchWriter.Put(kJobTable, aId, std::nullopt, [](WriteOutcome) {});
  m_batchWriter.Put(kProgressTable,
                    aId,
                    std::nullopt,
                    [this, aId, alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
                      if (!alive.expired() && aOutcome == WriteOutcome::Saved) {
                        m_removedRows.erase(aId);
                      }
                    });
}

void PoolOwner::OnMoveRejected(const std::string& aId)
{
  if (m_isDraining) {
    return;
  }
  job::JobRecord record = std::move(m_moves.at(aId)->m_record);
  Log(LogCategory::Placement,
      LogLevel::Error,
      "job-move-rejected",
      "job",
      aId,
      "from",
      Pool(),
      "to",
      m_moves.at(aId)->m_shard);
  m_moves.erase(aId);
  record.m_pool.clear();
  record.m_epoch = m_claim.m_epoch;
  m_pendingSubmissions[aId] = { record.m_account, {} };
  // The record counts the move, so it is newer than the row that shows the move as begun.
  record.m_moves += 1;
  m_batchWriter.Put(kJobTable,
                    aId,
                    job::EncodeJobRecord(record),
                    [this, record, alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
                      if (!alive.expired()) {
                        OnMovedJobStored(record, aOutcome, [](AdoptOutcome) {});
                      }
                    });
}

void PoolOwner::ForwardCancel(const std::string& aId)
{
  if (!m_forwardedCancels.contains(aId)) {
    m_forwardedCancels[aId] = {};
    SendCancel(aId);
  }
}

void PoolOwner::SendCancel(const std::string& aId)
{
  const JobForward* forward = FindForward(aId);
  if (!forward || m_isDraining || m_isClosed) {
    m_forwardedCancels.erase(aId);
    return;
  }
  platform::Transaction transaction;
  transaction.m_writes.push_back({ { kInboxTable, forward->m_shard, kCancelPrefix + aId }, "" });
  m_context.m_store.Commit(
    transaction,
    kForwardedCancelTimeout,
    [this, aId, alive = std::weak_ptr<int>(m_alive)](Result<platform::TransactionResult> aResult) {
      if (alive.expired()) {
        return;
      }
      if (aResult && aResult.value().m_isApplied) {
        m_forwardedCancels.erase(aId);
        RemoveFromInbox(kCancelPrefix + aId);
        return;
      }
      m_forwardedCancels[aId] =
        m_context.m_timers.After(kLongestMoveRetryDelay, [this, id = aId] { SendCancel(id); });
    });
}

// The shard that takes a job over.

void PoolOwner::Adopt(job::JobRecord aRecord, std::function<void(AdoptOutcome)> aDone)
{
  const std::string id = aRecord.m_id;
  // Progress of its former stay must not be left beside a job that comes back.
  if (!IsAuthoritative() || m_isDraining || m_pendingSubmissions.contains(id) ||
      m_removedRows.contains(id)) {
    aDone(AdoptOutcome::NotOwner);
    return;
  }
  if (KnowsJob(id) && QueueOf(id) != aRecord.m_queuePolicy.m_queue) {
    aDone(AdoptOutcome::Rejected);
    return;
  }
  const auto move = m_moves.find(id);
  const JobForward* forward = FindForward(id);
  const bool isPassedOn = forward && forward->m_moves >= aRecord.m_moves;
  const bool isBeingPassedOn =
    move != m_moves.end() && move->second->m_record.m_moves >= aRecord.m_moves;
  if (m_scheduler.FindJob(id) || isBeingPassedOn || isPassedOn) {
    aDone(AdoptOutcome::Adopted);
    return;
  }
  if (move != m_moves.end()) {
    aDone(AdoptOutcome::NotOwner); // It has come back before the answer to its former move.
    return;
  }
  aRecord.m_pool.clear();
  aRecord.m_epoch = m_claim.m_epoch;
  m_pendingSubmissions[id] = { aRecord.m_account, {} };
  std::string value = job::EncodeJobRecord(aRecord);
  m_batchWriter.Put(kJobTable,
                    id,
                    std::move(value),
                    [this,
                     record = std::move(aRecord),
                     done = std::move(aDone),
                     alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
                      if (alive.expired()) {
                        done(AdoptOutcome::NotOwner);
                      } else {
                        OnMovedJobStored(record, aOutcome, done);
                      }
                    });
}

void PoolOwner::OnMovedJobStored(const job::JobRecord& aRecord,
                                 WriteOutcome aOutcome,
                                 const std::function<void(AdoptOutcome)>& aDone)
{
  const std::string& id = aRecord.m_id;
  if (aOutcome == WriteOutcome::Saved) {
    m_forwards.erase(id);
    const auto added = m_scheduler.AddMovedJob(aRecord, LeaseClockNow(), WallNow());
    Log(LogCategory::Placement,
        added ? LogLevel::Info : LogLevel::Error,
        "job-adopted",
        "job",
        id,
        "shard",
        Pool(),
        "moves",
        aRecord.m_moves,
        "error",
        added ? std::string{} : added.error().Text());
    ApplyDeferredCancel(id);
    RequestDecision();
  }
  aDone(aOutcome == WriteOutcome::Saved      ? AdoptOutcome::Adopted
        : aOutcome == WriteOutcome::Rejected ? AdoptOutcome::Rejected
                                             : AdoptOutcome::NotOwner);
  EndSubmission(
    id, { aOutcome == WriteOutcome::Saved ? SubmitOutcome::Accepted : SubmitOutcome::Unknown });
}

// Submission.

void PoolOwner::SubmitForeign(job::JobRecord aRecord, SubmitCallback aDone)
{
  const std::string id = aRecord.m_id;
  m_pendingSubmissions[id] = { aRecord.m_account, { std::move(aDone) } };
  if (!m_context.m_callShard || !m_context.m_shards.Knows(aRecord.m_pool)) {
    StoreSubmission(std::move(aRecord), false, false);
    return;
  }
  const std::string shard = m_context.m_shards.Of(aRecord.m_pool, id);
  std::string body = EncodeSubmitRequest(shard, aRecord);
  m_context.m_callShard(shard,
                        kPeerAdmitPath,
                        std::move(body),
                        kAdmissionTimeout,
                        [this, record = std::move(aRecord), alive = std::weak_ptr<int>(m_alive)](
                          Result<std::string> aAnswer) {
                          if (alive.expired() || m_isClosed) {
                            return;
                          }
                          const auto result =
                            aAnswer ? DecodeSubmitResult(aAnswer.value()) : aAnswer.error();
                          const bool isRefused =
                            result && (result.value().m_outcome == SubmitOutcome::Refused ||
                                       result.value().m_outcome == SubmitOutcome::Invalid);
                          // A job that is in the inbox has been accepted. Without an answer it is
                          // accepted as well, like a job that finds no owner.
                          if (isRefused && !m_inboxJobs.contains(record.m_id)) {
                            EndSubmission(record.m_id, result.value());
                          } else {
                            StoreSubmission(record, false, false);
                          }
                        });
}

// Loading.

void PoolOwner::LoadForward(const platform::Row& aRow)
{
  const std::string& id = aRow.m_rowId.m_key;
  auto forward = DecodeJobForward(id, aRow.m_value);
  if (!forward) {
    Log(LogCategory::Placement,
        LogLevel::Error,
        "forward-unreadable",
        "job",
        id,
        "error",
        forward.error().Text());
    return;
  }
  if (forward.value().m_isDone) {
    AddForward(id, forward.value());
  } else {
    m_begunMoves[id] = std::move(forward.value());
  }
}

bool PoolOwner::IsLoadedHere(job::JobRecord& aRecord, const std::string& aProgress)
{
  const std::string& id = aRecord.m_id;
  if (const auto done = m_forwards.find(id); done != m_forwards.end()) {
    if (done->second.m_moves <= aRecord.m_moves) {
      m_forwards.erase(done); // The job has come back since.
      return true;
    }
    RemoveMovedRows(id);
    return false;
  }
  if (const auto begun = m_begunMoves.find(id);
      begun != m_begunMoves.end() && begun->second.m_moves > aRecord.m_moves) {
    if (!aProgress.empty()) {
      aRecord.m_progress = aProgress;
    }
    const auto state = job::DecodeProgressState(aRecord.m_progress);
    job::CountMove(aRecord, m_claim.m_epoch);
    HandOver(aRecord, begun->second.m_shard, state && state.value() == job::JobState::Running);
    return false;
  }
  if (IsForeign(aRecord)) {
    HandOverForeign(aRecord);
    return false;
  }
  return true;
}

} // namespace mustardtray::node
