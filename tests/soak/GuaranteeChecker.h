#pragma once

/// Records what callers and minions observe of each job, and reports every observation that
/// violates a guarantee that the nodes give.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/job/Job.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::soak {

class GuaranteeChecker
{
public:
  /// aIsDeadly: the job's units crash each minion that starts them.
  void OnSubmitted(const std::string& aJob, job::JobSpec aSpec, bool aIsDeadly);
  void OnAccepted(const std::string& aJob);
  /// aIsOutcomeKnown: whether the response proves that this attempt has not run the job and never
  /// will.
  void OnSubmitFailed(const std::string& aJob, bool aIsOutcomeKnown);
  void OnCancelSent(const std::string& aJob) { m_jobs.at(aJob).m_isCancelSent = true; }
  void OnStateReported(const std::string& aJob, const std::string& aState);

  /// A node does not know an accepted job.
  void OnJobNotFound(const std::string& aJob);

  /// aIncarnation: the incarnation of the minion on which the work unit runs. aKind: of its
  /// machine.
  void OnRunStarted(const job::UnitId& aUnit,
                    std::uint32_t aRun,
                    const std::string& aIncarnation,
                    const std::string& aKind);
  void OnRunEnded(const job::UnitId& aUnit,
                  job::RunOutcome aOutcome,
                  const std::string& aIncarnation);
  /// A minion crashed while it ran the unit.
  void OnMinionCrashed(const job::UnitId& aUnit) { ++m_units[aUnit.Text()].m_crashes; }
  /// A node has told the minion that the run end is stored.
  void OnRunEndAcknowledged(const job::UnitId& aUnit, std::uint32_t aRun, job::RunOutcome aOutcome);

  struct MissingUnit
  {
    job::UnitId m_unit;
    std::int64_t m_cpu = 0;
    bool m_isSpread = false; ///< Needs a minion without another unit of its step.
    TimePoint m_absentSince{};
  };
  /// Units of accepted long-running jobs that have not run since a time.
  std::vector<MissingUnit> LongRunningUnitsAbsentSince(TimePoint aSince) const;
  /// Accepted jobs that no response has reported as ended. Long-running jobs are included until
  /// they are cancelled. Jobs with deadly units are included on request: they need not end.
  std::vector<std::string> UnfinishedJobs(bool aIncludesDeadly = false) const;
  /// Checks the guarantees that can be decided only at the end of the soak run, such as that every
  /// accepted job ends.
  void CheckFinalState();
  void ReportViolation(const std::string& aDescription);
  const std::vector<std::string>& Violations() const { return m_violations; }
  std::size_t AcceptedJobCount() const;
  std::size_t JobCount() const { return m_jobs.size(); }
  const std::string& ReportedState(const std::string& aJob) const
  {
    return m_jobs.at(aJob).m_reportedState;
  }

private:
  struct UnitRecord
  {
    std::set<std::string> m_incarnations; ///< On which the unit currently runs.
    bool m_isDone = false;
    bool m_isDoneAcknowledged = false;
    std::set<std::uint32_t> m_failedRuns; ///< Runs whose failure was acknowledged.
    std::size_t m_failures = 0;           ///< Runs that failed by themselves.
    std::size_t m_crashes = 0;            ///< Crashes of minions that ran it.
    std::size_t m_startsAfterCrashes = 0; ///< After kMaxCrashes crashes.
    TimePoint m_lastEndedAt{};
  };
  struct JobRecord
  {
    job::JobSpec m_spec;
    bool m_isDeadly = false;
    bool m_isAccepted = false;
    TimePoint m_acceptedAt{};
    bool m_isOutcomeUnknown = false; ///< A submission may have succeeded.
    bool m_hasStarted = false;
    bool m_isCancelSent = false;
    std::string m_reportedState; ///< Latest state in a response to a caller.
  };

  bool IsStepDone(const std::string& aJob, std::uint32_t aStep) const;

  std::map<std::string, JobRecord> m_jobs;
  std::map<std::string, UnitRecord> m_units; ///< Key: UnitId::Text().
  std::vector<std::string> m_violations;
};

/// Attempts per work unit that the queues of the soak allow.
inline constexpr std::uint32_t kMaxAttempts = 3;
/// Crashes of minions after which a unit may be started less than kMaxStartsAfterCrashes times.
inline constexpr std::size_t kMaxCrashes = 3;
inline constexpr std::size_t kMaxStartsAfterCrashes = 3;

} // namespace mustardtray::soak
