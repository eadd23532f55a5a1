#pragma once

/// Sends requests at a fixed rate, whatever becomes of the earlier ones, and keeps account of each.

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
  std::vector<std::string> m_urls; ///< Base URLs, used in turn.
  std::string m_method = "GET";
  std::string m_path;
  double m_perSecond = 100;
  std::size_t m_count = 100;
  std::string m_prefix;   ///< Of the work ids; differs between loads of one fleet.
  bool m_isKeyed = false; ///< Sends an idempotency key.
  int m_sendsPerKey = 1;  ///< Of one key, through that many entry VMs, m_resendAfter apart.
  Millis m_resendAfter{ 100 };
  bool m_isIdempotent = false; ///< Told to the minions, for their accounts.
  Millis m_runTime{ -1 };      ///< At the minion; negative for its own default.
  Millis m_timeout{ 20'000 };
  std::size_t m_bodyBytes = 0;
  bool m_freshConnections = false;
};

enum class LoadOutcome
{
  Answered,
  NotRun,
  Unknown,
  Failed, ///< No answer from the entry VM at all.
};

struct LoadSample
{
  std::string m_workId;
  LoadOutcome m_outcome = LoadOutcome::Failed;
  int m_status = 0;
  bool m_isOwn = false; ///< The answer is that of this very request.
  Micros m_time{ 0 };
  std::string m_reason; ///< Of a refusal or failure.
};

struct LoadResult
{
  std::vector<LoadSample> m_samples;
  Micros m_elapsed{ 0 };

  std::size_t Count(LoadOutcome aOutcome) const;
  /// Answered requests whose answer was another's or not whole.
  std::size_t CountForeign() const;
  /// Time below which this part of the answered requests stayed, from 0 to 1.
  Micros Quantile(double aPart) const;
  /// Number of refusals and failures by reason.
  std::map<std::string, std::size_t> Reasons() const;
};

/// Waits until every entry VM answers look-ups and keyed requests below aPath: shares are granted
/// and the partitions of the keys have owners.
bool WaitUntilAnswering(const std::vector<std::string>& aCallerUrls,
                        const std::string& aPath,
                        Millis aTimeout);
/// Runs one load to its end, on the calling thread.
LoadResult RunLoad(const LoadOptions& aOptions);
/// Runs several at once, on the calling thread, and calls aDuring about every 50 ms meanwhile.
std::vector<LoadResult> RunLoads(const std::vector<LoadOptions>& aOptions,
                                 const std::function<void(Micros aElapsed)>& aDuring = {});

} // namespace mustardtray
