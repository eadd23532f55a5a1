#pragma once

/// Admission control: whether a new job can still finish in time. Designed for bursts in which one
/// queue after the other asks for several times its mean load, and more than its pool's capacity,
/// for some seconds.

#include "mustardtray/job/Job.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// A new job and the accepted work that competes with it.
struct AdmissionInput
{
  /// Accepted work that is scheduled before the job, in core-milliseconds, without long-running
  /// work.
  double m_workAhead = 0;
  double m_totalWork = 0;      ///< Includes the work of jobs that are already late.
  double m_availableCores = 0; ///< Cores that the pool has for such work.
  /// Part of the available cores that units of the job's widest step can fill; 0: not known.
  double m_packedCores = 0;
  double m_arrivingCores = 0; ///< Kept busy by recent arrivals; late work waits behind them.
  Millis m_criticalPath{ 0 }; ///< Of the new job, corrected by measured run times.
  Millis m_objective{ 0 };    ///< Time from the first attempt in which completion has full value.
  Millis m_sinceFirstAttempt{ 0 }; ///< Time since the caller's first attempt.
  double m_work = 0;               ///< Work of the new job, in core-milliseconds.
  bool m_isLongRunning = false;    ///< Always admitted: such jobs are few and have no deadline.
  bool m_isScheduled = false;      ///< Due later, when the present backlog no longer matters.
};

struct AdmissionDecision
{
  bool m_isAccepted = true;
  bool m_isLate = false;      ///< Accepted, but scheduled after every job that can be on time.
  Millis m_retryAfter{ 0 };   ///< For a refused job: when the backlog will allow such a job.
  Millis m_expectedWait{ 0 }; ///< Estimated time to finish the work ahead and the job; logged.
};

AdmissionDecision Admit(const AdmissionInput& aInput);

} // namespace mustardtray::job
