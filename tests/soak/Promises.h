#pragma once

/// What callers and minions have seen of each job, and the promises that it breaks.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/job/Job.h"

namespace mustardtray::soak {

class Promises
{
public:
  void OnSubmitted(const std::string& aJob, job::JobSpec aSpec);
  void OnAccepted(const std::string& aJob);
  /// aIsCertain: the answer says that the job has not run and never will by this attempt.
  void OnAttemptEnded(const std::string& aJob, bool aIsCertain);
  void OnCancelSent(const std::string& aJob) { m_jobs.at(aJob).m_isCancelSent = true; }
  void OnShown(const std::string& aJob, const std::string& aState);

  /// aPlace: the life of the minion on which it runs.
  void OnStart(const job::UnitId& aUnit, std::uint32_t aRun, const std::string& aPlace);
  void OnEnd(const job::UnitId& aUnit, job::RunOutcome aHow, const std::string& aPlace);
  /// The minion was told that the end is stored.
  void OnEndAcknowledged(const job::UnitId& aUnit, std::uint32_t aRun, job::RunOutcome aHow);

  /// Accepted jobs that have not been shown as ended; with lasting ones, until they are cancelled.
  std::vector<std::string> Unfinished() const;
  /// Checks what only the end of a run shows.
  void CheckAtEnd();
  void Break(const std::string& aWhat);
  const std::vector<std::string>& Broken() const { return m_broken; }
  std::size_t Accepted() const;
  std::size_t Jobs() const { return m_jobs.size(); }
  const std::string& ShownState(const std::string& aJob) const { return m_jobs.at(aJob).m_shown; }

private:
  struct UnitSeen
  {
    std::set<std::string> m_places; ///< Where it runs now.
    bool m_isDone = false;
    bool m_isDoneAcknowledged = false;
    std::set<std::uint32_t> m_failedRuns; ///< Acknowledged.
  };
  struct JobSeen
  {
    job::JobSpec m_spec;
    bool m_isAccepted = false;
    bool m_isUncertain = false; ///< An attempt ended without a clear answer.
    bool m_hasStarted = false;
    bool m_isCancelSent = false;
    std::string m_shown; ///< Latest state that a caller was shown.
  };

  bool IsStepDone(const std::string& aJob, std::uint32_t aStep) const;

  std::map<std::string, JobSeen> m_jobs;
  std::map<std::string, UnitSeen> m_units; ///< By UnitId::Text().
  std::vector<std::string> m_broken;
};

/// Attempts that the soak's queues allow.
inline constexpr std::uint32_t kMaxAttempts = 3;

} // namespace mustardtray::soak
