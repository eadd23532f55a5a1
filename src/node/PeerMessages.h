#pragma once

/// JSON messages between nodes.

#include <set>
#include <string>

#include "mustardtray/job/AccountKeys.h"
#include "node/PoolOwner.h"

namespace mustardtray::node {

/// Path of the request for the configuration; see ConfigurationRelay.
inline constexpr const char* kPeerConfigurationPath = "/peer/configuration";

/// Paths of the requests between owners of shards; see PoolOwnerMoves.cpp.
inline constexpr const char* kPeerAdmitPath = "/peer/admit";
inline constexpr const char* kPeerAdoptPath = "/peer/adopt";
inline constexpr const char* kPeerRoomPath = "/peer/room";

/// Builds a call to another node. The timeout also limits connecting.
HttpCall MakePeerCall(const std::string& aAddress,
                      const char* aPath,
                      std::string aBody,
                      Millis aTimeout);

std::string EncodeSubmitRequest(const std::string& aPool, const job::JobRecord& aRecord);
struct SubmitRequest
{
  std::string m_pool;
  job::JobRecord m_record;
};
Result<SubmitRequest> DecodeSubmitRequest(const std::string& aText);

std::string EncodeSubmitResult(const SubmitResult& aResult);
Result<SubmitResult> DecodeSubmitResult(const std::string& aText);

std::string EncodeAdoptRequest(const AdoptRequest& aRequest);
Result<AdoptRequest> DecodeAdoptRequest(const std::string& aText);
std::string EncodeAdoptOutcome(AdoptOutcome aOutcome);
Result<AdoptOutcome> DecodeAdoptOutcome(const std::string& aText);
std::string EncodeRoomRequest(const RoomRequest& aRequest);
Result<RoomRequest> DecodeRoomRequest(const std::string& aText);
/// The answer has one entry for each job of the request, or none when the shard cannot tell.
std::string EncodeRoom(const std::vector<job::ShardRoom>& aRoom);
Result<std::vector<job::ShardRoom>> DecodeRoom(const std::string& aText);

/// A query about one job, or about a queue when the job is empty.
struct JobQuery
{
  std::string m_pool;
  std::string m_job;
  std::string m_queue;
  job::Caller m_caller; ///< A node of an earlier release sends none, which counts as not checked.
};
std::string EncodeJobQuery(const JobQuery& aQuery);
Result<JobQuery> DecodeJobQuery(const std::string& aText);

/// Result of a query. The other fields have a meaning only when the responding node owns the pool.
struct JobQueryResult
{
  bool m_isOwner = false;
  bool m_isKnown = false;
  job::JobState m_state = job::JobState::Queued;
  std::size_t m_waiting = 0;
  bool m_isForbidden = false; ///< The job belongs to another account; nothing was done.
  /// Shards to ask as well: that of the job if it has moved, or those of the queue's moved jobs.
  std::set<std::string> m_forwardedTo = {};
};
std::string EncodeJobQueryResult(const JobQueryResult& aQueryResult);
Result<JobQueryResult> DecodeJobQueryResult(const std::string& aText);

std::string EncodeFleetSyncRequest(const FleetSyncRequest& aRequest);
Result<FleetSyncRequest> DecodeFleetSyncRequest(const std::string& aText);
std::string EncodeFleetReport(const FleetReport& aReport);
Result<FleetReport> DecodeFleetReport(const std::string& aText);

} // namespace mustardtray::node
