#pragma once

/// A job as callers submit it: steps of work units with their resource needs and placement
/// constraints. Also declares the names of work units and the stored form of a job.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// Capacity of a minion, or the part of it that one work unit uses.
struct Resources
{
  std::int64_t m_cpu = 0; ///< Thousandths of a core.
  std::int64_t m_memoryMb = 0;
  std::int64_t m_gpu = 0;

  bool Fits(const Resources& aNeed) const
  {
    return aNeed.m_cpu <= m_cpu && aNeed.m_memoryMb <= m_memoryMb && aNeed.m_gpu <= m_gpu;
  }
  Resources& operator+=(const Resources& aOther)
  {
    m_cpu += aOther.m_cpu;
    m_memoryMb += aOther.m_memoryMb;
    m_gpu += aOther.m_gpu;
    return *this;
  }
  Resources& operator-=(const Resources& aOther)
  {
    m_cpu -= aOther.m_cpu;
    m_memoryMb -= aOther.m_memoryMb;
    m_gpu -= aOther.m_gpu;
    return *this;
  }
  bool operator==(const Resources&) const = default;
};

struct StepSpec
{
  std::uint32_t m_count = 1;          ///< Number of work units.
  Resources m_need;                   ///< Resources that each work unit uses.
  Millis m_estimate{ 0 };             ///< The caller's rough estimate of a unit's run time.
  std::vector<std::uint32_t> m_after; ///< Indices of earlier steps that must be done first.
  bool m_isCheckpointing = false;
  bool m_isGang = false;          ///< The units of a run start together; when one ends, all end.
  bool m_prefersSameRack = false; ///< The gang is slower when it is spread over racks.
  bool m_isSpeculative = false;   ///< Copies of a unit may run at the same time.
  bool m_isLongRunning = false;   ///< Units run until the job is cancelled.
  bool m_isBestEffort =
    false; ///< Uses only idle processor time: no processor capacity is reserved.
  std::string m_requiredLabel;
  std::string m_dataRack;           ///< Rack of the data, units are slower elsewhere; empty: any.
  std::string m_image;              ///< Units of the same image behave alike.
  std::uint32_t m_maxPerMinion = 0; ///< 0: no limit.
  Millis m_tailLatencyTarget{ 0 };  ///< Tail latency bound of a unit that serves requests; 0: none.
  /// Units that maintenance and moves may stop at a time.
  std::optional<std::uint32_t> m_maxUnavailableUnits;

  /// Returns the resources that a unit reserves on its minion.
  Resources Reserved() const
  {
    return m_isBestEffort ? Resources{ 0, m_need.m_memoryMb, m_need.m_gpu } : m_need;
  }
  /// Returns the resources that one unit uses, or all units together.
  Resources TotalNeed(bool aOfAllUnits) const
  {
    const std::int64_t units = aOfAllUnits ? m_count : 1;
    return { m_need.m_cpu * units, m_need.m_memoryMb * units, m_need.m_gpu * units };
  }
};

/// Limits the memory that one job takes in a node: units of a job, and units of a repeated job
/// whose occurrences have begun.
inline constexpr std::size_t kMaxUnitsPerJob = 20'000;

struct JobSpec
{
  std::string m_payload; ///< Passed to the minion unparsed.
  std::vector<StepSpec> m_steps;
  std::uint32_t m_repeatCount = 0; ///< 0: the job runs once, immediately.
  WallTime m_startAt{};            ///< Due time of the first occurrence of a repeated job.
  Millis m_interval{ 0 };          ///< Time between the due times of two occurrences.

  /// Number of units in one occurrence.
  std::size_t Units() const
  {
    std::size_t units = 0;
    for (const StepSpec& step : m_steps) {
      units += step.m_count;
    }
    return units;
  }
  std::uint32_t Occurrences() const { return m_repeatCount == 0 ? 1 : m_repeatCount; }
  bool IsLongRunning() const;
};

/// Configuration of a job's queue at the time when the job was submitted.
struct QueuePolicy
{
  std::string m_queue; ///< Name of the route.
  int m_priority = 0;  ///< 0 is the most urgent.
  std::uint32_t m_maxAttempts = 1;
  double m_stretch = 1.0;     ///< The objective is the stretch times the critical path...
  Millis m_extraTime{ 0 };    ///< ...plus this time.
  bool m_needsAdvice = false; ///< Start orders need a ticket from the placement advisor.
};

/// The stored form of a job: everything that must survive the node that accepted it.
struct JobRecord
{
  std::string m_id;
  std::string m_account; ///< Client account that submitted it; empty for callers without a key.
  QueuePolicy m_queuePolicy;
  JobSpec m_spec;
  WallTime m_acceptedAt{};
  std::uint32_t m_epoch = 0; ///< Pool takeovers before its acceptance; see kRunsPerEpoch.

  // Moves between shards; see docs/design/job-moves.md.

  /// Pool that is to run the job; empty when it is that of the job's shard.
  std::string m_pool;
  std::uint32_t m_moves = 0;        ///< How often the job has moved to another shard.
  std::uint32_t m_formerEpochs = 0; ///< Blocks of run numbers that its former shards have used.
  std::string m_progress;           ///< Stored progress at its latest move.
};

enum class JobState
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

/// Identifies a work unit by its job and its position in the job.
struct UnitId
{
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  std::string Text() const;
  /// Returns nullopt when the text is not the name of a work unit.
  static std::optional<UnitId> Parse(std::string_view aText);
  bool operator==(const UnitId&) const = default;
};

/// Size of the block of run numbers that each epoch has for a unit, counted from the epoch in which
/// the job was accepted. Starts are not stored; separate blocks keep an owner from reusing the run
/// numbers of an earlier one.
constexpr std::uint32_t kRunsPerEpoch = 1'000;

/// How a run ended, as reported by its minion.
enum class RunOutcome
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,   ///< Its lease expired.
  GangBroken,     ///< Another member of its gang ended.
  GangIncomplete, ///< The other members of its gang did not start.
};

/// Encodes a record as JSON, for the store and for peers.
std::string EncodeJobRecord(const JobRecord& aRecord);
/// Decodes a record. Fails with ErrorKind::Invalid.
Result<JobRecord> DecodeJobRecord(std::string_view aText);

} // namespace mustardtray::job

namespace mustardtray {

template<>
struct EnumNames<job::JobState>
{
  static constexpr std::array kTable{
    std::pair{ job::JobState::Queued, std::string_view("queued") },
    std::pair{ job::JobState::Running, std::string_view("running") },
    std::pair{ job::JobState::Completed, std::string_view("completed") },
    std::pair{ job::JobState::Failed, std::string_view("failed") },
    std::pair{ job::JobState::Cancelled, std::string_view("cancelled") },
  };
};

template<>
struct EnumNames<job::RunOutcome>
{
  static constexpr std::array kTable{
    std::pair{ job::RunOutcome::Done, std::string_view("done") },
    std::pair{ job::RunOutcome::Failed, std::string_view("failed") },
    std::pair{ job::RunOutcome::Stopped, std::string_view("stopped") },
    std::pair{ job::RunOutcome::LeaseExpired, std::string_view("lapsed") },
    std::pair{ job::RunOutcome::GangBroken, std::string_view("broken") },
    std::pair{ job::RunOutcome::GangIncomplete, std::string_view("alone") },
  };
};

} // namespace mustardtray
