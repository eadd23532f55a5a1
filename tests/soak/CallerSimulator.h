#pragma once

/// Simulated callers of the soak. They submit jobs through random nodes, poll the job states,
/// cancel some jobs and pass every response to the guarantee checker.

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/TimerService.h"
#include "tests/soak/GuaranteeChecker.h"

namespace mustardtray::soak {

struct CallerOptions
{
  bool m_submitsDeadlyJobs = false;
  bool m_submitsSlowJobs = false; ///< Some jobs have units that run for many seconds.
  /// The demand moves from queue to queue with lulls between, and long-running units end from time
  /// to time.
  bool m_variesDemand = false;
  bool m_repeatsAccepted = false; ///< Some requests arrive again seconds after their response.
  std::string m_scarceKind;       ///< Required by some jobs; empty: none.
  Millis m_submitPeriod{ 70 };
  /// Called when a request that was sent got no response and its time had not passed.
  std::function<void(const std::string& aRequest, TimePoint aSentAt)> m_onBroken;
};

class CallerSimulator
{
public:
  /// aNodeAddresses: IP address and port of each node's listener for callers. aQueuePrefixes: path
  /// prefixes of the queues.
  CallerSimulator(asio::io_context& aContext,
                  TimerService& aTimers,
                  GuaranteeChecker& aChecker,
                  std::uint64_t aSeed,
                  std::vector<std::string> aNodeAddresses,
                  std::vector<std::string> aQueuePrefixes,
                  CallerOptions aOptions);

  void Start();
  /// Stops submitting new jobs. Polling of states continues.
  void StopSubmitting();
  void CancelLongRunningJobs();
  /// Returns the URL path of an accepted job.
  std::string JobPath(const std::string& aJob) const;

private:
  struct Submission
  {
    std::string m_id;
    std::string m_path;
    std::string m_body;
    int m_attempt = 0;
    bool m_isLongRunning = false;
  };

  void SubmitNextJob();
  void Submit(const Submission& aSubmission);
  void OnSubmitResponse(Submission aSubmission, const HttpCallResult& aResult);
  void PollJobStates();
  void CancelJob(const std::string& aId);
  void RunAfter(Micros aDelay, std::function<void()> aFunction);
  void SendRequest(const char* aMethod,
                   const std::string& aPath,
                   std::string aBody,
                   HttpCallback aDone);
  /// Returns whether the job is submitted, and may give it another queue.
  bool ShapeDemand(Submission& aSubmission);
  int Draw(int aMin, int aMax);

  TimerService& m_timers;
  GuaranteeChecker& m_checker;
  HttpClient m_http;
  std::mt19937_64 m_random;
  std::vector<std::string> m_nodeAddresses;
  std::vector<std::string> m_queuePrefixes;
  std::map<std::string, std::string>
    m_acceptedPaths; ///< URL paths of the accepted jobs, by job ID.
  std::vector<std::string> m_longRunningJobs;
  CallerOptions m_options;
  /// Separate, so that the jobs of a seed stay the same.
  std::mt19937_64 m_demandRandom;
  TimePoint m_demandChangesAt{};
  std::size_t m_busyQueue = 0;
  bool m_isLull = false;
  bool m_cancelsLongRunning = false;
  std::uint64_t m_jobCount = 0;
  std::uint64_t m_acceptedCount = 0;
  TimerHandle m_submitTimer;
  TimerHandle m_pollTimer;
  std::map<std::uint64_t, TimerHandle> m_delayTimers;
  std::uint64_t m_delayCount = 0;
};

} // namespace mustardtray::soak
