#pragma once

/// The row that a shard keeps of a job that has moved to another shard. Whoever looks for the job
/// in this shard goes on there.

#include <cstdint>
#include <string>
#include <vector>

#include "mustardtray/job/Job.h"
#include "mustardtray/process/Error.h"

namespace mustardtray::node {

struct JobForward
{
  std::string m_shard;       ///< Where the job has moved to.
  std::uint32_t m_moves = 0; ///< Number of this move; see job::JobRecord::m_moves.
  /// Whether the other shard has the job. Until then this shard keeps its rows and does not run it.
  bool m_isDone = false;
  std::string m_queue;
  std::string m_account;
};

std::string EncodeJobForward(const JobForward& aForward);
/// Fails with ErrorKind::Invalid.
Result<JobForward> DecodeJobForward(const std::string& aJob, const std::string& aValue);

/// Hands a job over to another shard. The record includes the move.
struct AdoptRequest
{
  std::string m_shard;
  job::JobRecord m_record;
};

/// Asks a shard what it could do for jobs of another one. The records have no payload.
struct RoomRequest
{
  std::string m_shard;
  std::vector<job::JobRecord> m_records;
};

enum class AdoptOutcome
{
  Adopted,  ///< The shard has the job, or had it and has passed it on.
  Rejected, ///< The shard does not have the job and never will: it has another of the same ID.
  NotOwner, ///< Nothing can be told; the request has to be repeated.
};

} // namespace mustardtray::node

namespace mustardtray {

template<>
struct EnumNames<node::AdoptOutcome>
{
  static constexpr std::array kTable{
    std::pair{ node::AdoptOutcome::Adopted, std::string_view("adopted") },
    std::pair{ node::AdoptOutcome::Rejected, std::string_view("rejected") },
    std::pair{ node::AdoptOutcome::NotOwner, std::string_view("not-owner") },
  };
};

} // namespace mustardtray
