#pragma once

/// JSON messages between nodes.

#include <set>
#include <string>

#include "node/PoolOwner.h"

namespace mustardtray::node {

/// Builds a call to another node. The timeout also limits connecting.
HttpCall MakePeerCall(const std::string& aAddress,
                      const char* aPath,
                      std::string aBody,
                      Millis aTimeout);

std::string EncodeSubmit(const std::string& aPool, const job::JobRecord& aRecord);
struct SubmitMessage
{
  std::string m_pool;
  job::JobRecord m_record;
};
Result<SubmitMessage> DecodeSubmit(const std::string& aText);

std::string EncodeSubmitResult(const SubmitResult& aResult);
Result<SubmitResult> DecodeSubmitResult(const std::string& aText);

/// A query about one job, or about a queue when the job is empty.
struct JobQuestion
{
  std::string m_pool;
  std::string m_job;
  std::string m_queue;
};
std::string EncodeQuestion(const JobQuestion& aQuestion);
Result<JobQuestion> DecodeQuestion(const std::string& aText);

/// Result of a query. The other fields have a meaning only when the responding node owns the pool.
struct JobAnswer
{
  bool m_isOwner = false;
  bool m_isKnown = false;
  job::JobState m_state = job::JobState::Queued;
  std::size_t m_waiting = 0;
};
std::string EncodeAnswer(const JobAnswer& aAnswer);
Result<JobAnswer> DecodeAnswer(const std::string& aText);

struct FleetQuestion
{
  std::string m_pool;
  std::set<std::string> m_cordons;
};
std::string EncodeFleetQuestion(const FleetQuestion& aQuestion);
Result<FleetQuestion> DecodeFleetQuestion(const std::string& aText);
std::string EncodeFleetReport(const FleetReport& aReport);
Result<FleetReport> DecodeFleetReport(const std::string& aText);

} // namespace mustardtray::node
