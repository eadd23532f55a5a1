#pragma once

/// Open-loop load generator: sends requests at a fixed rate, independent of the completion of
/// earlier ones, and records the result of each.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

struct LoadOptions
{
  std::vector<std::string> m_urls; ///< Base URLs, used in rotation.
  std::string m_method = "GET";
  std::string m_path;
  double m_requestsPerSecond = 100;
  std::size_t m_requestCount = 100;
  std::string m_workIdPrefix;         ///< Must be unique among the loads of a fleet.
  bool m_sendsIdempotencyKey = false; ///< Whether each request has an idempotency key.
  int m_sendsPerKey = 1; ///< Each key is sent through this many entry VMs, m_resendInterval apart.
  Millis m_resendInterval{ 100 };
  /// Sent to the minions, which count repeated runs separately for idempotent work.
  bool m_isIdempotent = false;
  Millis m_runTime{ -1 }; ///< At the minion; a negative value selects the default of the minion.
  Millis m_timeout{ 20'000 };
  std::size_t m_bodyBytes = 0;
  bool m_usesFreshConnections = false;
};

enum class LoadOutcome
{
  Answered,
  NotRun,
  Unknown,
  Failed, ///< The entry VM sent no response.
};

struct LoadSample
{
  std::string m_workId;
  LoadOutcome m_outcome = LoadOutcome::Failed;
  int m_status = 0;
  bool m_isOwnResponse = false; ///< Whether the response belongs to this request.
  Micros m_latency{ 0 };
  std::string m_reason; ///< Why the request was refused or failed.
};

struct LoadResult
{
  std::vector<LoadSample> m_samples;
  Micros m_elapsed{ 0 };

  std::size_t Count(LoadOutcome aOutcome) const;
  /// Number of requests whose response belonged to another request or was incomplete.
  std::size_t CountMismatchedResponses() const;
  /// Quantile of the latencies of answered requests; 0 when no request was answered. aFraction is
  /// in the range of 0 to 1.
  Micros Quantile(double aFraction) const;
  /// Numbers of refused and failed requests by reason.
  std::map<std::string, std::size_t> CountByReason() const;
};

/// Waits until every entry VM answers look-ups and requests with idempotency keys below aPath,
/// which means that slot shares are granted and the key partitions have owners. Returns false on a
/// timeout.
bool WaitUntilAnswering(const std::vector<std::string>& aCallerUrls,
                        const std::string& aPath,
                        Millis aTimeout);
/// Runs one load to completion on the calling thread.
LoadResult RunLoad(const LoadOptions& aOptions);
/// Runs several loads concurrently on the calling thread. Calls aOnTick about every 50 ms with the
/// time since the start.
std::vector<LoadResult> RunLoads(const std::vector<LoadOptions>& aOptions,
                                 const std::function<void(Micros aElapsed)>& aOnTick = {});

} // namespace mustardtray
