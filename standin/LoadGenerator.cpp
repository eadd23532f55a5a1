#include "standin/LoadGenerator.h"

#include <algorithm>
#include <memory>
#include <random>

#include <asio/io_context.hpp>
#include <fmt/format.h>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/TimerService.h"
#include "mustardtray/request/IdempotencyKey.h"

namespace mustardtray {

namespace {

constexpr Millis kTickPeriod{ 50 };
/// Enough keys to reach nearly every key partition.
constexpr std::size_t kWarmUpKeys = 256;
constexpr double kWarmUpRequestsPerSecond = 1'000;

/// Sends the requests of one load and collects their results.
class LoadRun
{
public:
  LoadRun(asio::io_context& aContext, const LoadOptions& aOptions)
    : m_options(aOptions)
    , m_timers(aContext)
    , m_client(aContext)
    , m_random(std::random_device{}())
  {
  }

  void Start()
  {
    m_start = MonotonicNow();
    m_result.m_samples.reserve(m_options.m_requestCount *
                               static_cast<std::size_t>(m_options.m_sendsPerKey));
    SendDueRequests();
  }

  bool IsDone() const { return m_sentCount == m_options.m_requestCount && m_inFlightCount == 0; }
  LoadResult TakeResult()
  {
    m_result.m_elapsed = MonotonicNow() - m_start;
    return std::move(m_result);
  }

private:
  void SendDueRequests()
  {
    const double elapsed = std::chrono::duration<double>(MonotonicNow() - m_start).count();
    const auto due = static_cast<std::size_t>(elapsed * m_options.m_requestsPerSecond) + 1;
    while (m_sentCount < std::min(due, m_options.m_requestCount)) {
      SendWorkItem(m_sentCount++);
    }
    if (m_sentCount < m_options.m_requestCount) {
      const double next =
        static_cast<double>(m_sentCount) / m_options.m_requestsPerSecond - elapsed;
      const Micros delay(static_cast<std::int64_t>(std::max(next, 0.0) * 1e6));
      m_timer = m_timers.After(delay, [this] { SendDueRequests(); });
    }
  }

  void SendWorkItem(std::size_t aNumber)
  {
    const std::string workId = fmt::format("{}-{}", m_options.m_workIdPrefix, aNumber);
    const std::string key = m_options.m_sendsIdempotencyKey
                              ? MintIdempotencyKey(WallNow(), m_random(), m_random()).Text()
                              : "";
    for (int send = 0; send < m_options.m_sendsPerKey; ++send) {
      ++m_inFlightCount;
      const std::size_t target = aNumber + static_cast<std::size_t>(send);
      if (send == 0) {
        Send(workId, key, target);
        continue;
      }
      m_resends.push_back(
        m_timers.After(m_options.m_resendInterval * send,
                       [this, workId, key, target] { Send(workId, key, target); }));
    }
  }

  HttpCall MakeCall(const std::string& aWorkId, const std::string& aKey, std::size_t aTarget) const
  {
    HttpCall call;
    call.m_method = m_options.m_method;
    call.m_url = m_options.m_urls[aTarget % m_options.m_urls.size()] + m_options.m_path;
    call.m_headers.push_back({ "Standin-Work-Id", aWorkId });
    if (m_options.m_isIdempotent) {
      call.m_headers.push_back({ "Standin-Idempotent", "1" });
    }
    if (m_options.m_runTime >= Millis(0)) {
      call.m_headers.push_back({ "Standin-Run-Ms", std::to_string(m_options.m_runTime.count()) });
    }
    if (!aKey.empty()) {
      call.m_headers.push_back({ std::string(kIdempotencyKeyHeader), aKey });
    }
    if (m_options.m_method != "GET") {
      call.m_body = aWorkId + std::string(m_options.m_bodyBytes, '.');
    }
    call.m_freshConnection = m_options.m_usesFreshConnections;
    call.m_timeout = m_options.m_timeout;
    return call;
  }

  void Send(const std::string& aWorkId, const std::string& aKey, std::size_t aTarget)
  {
    HttpCall call = MakeCall(aWorkId, aKey, aTarget);
    m_client.Start(
      std::move(call), [this, aWorkId, sent = MonotonicNow()](const HttpCallResult& aResult) {
        --m_inFlightCount;
        m_result.m_samples.push_back(MakeSample(aWorkId, aResult, MonotonicNow() - sent));
      });
  }

  LoadSample MakeSample(const std::string& aWorkId,
                        const HttpCallResult& aResult,
                        Micros aLatency) const
  {
    LoadSample sample{ aWorkId, LoadOutcome::Failed, 0, false, aLatency, {} };
    if (aResult.has_error()) {
      sample.m_reason = aResult.error().m_error.m_message;
      return sample;
    }
    const HttpResponse& response = aResult.value();
    sample.m_status = response.m_status;
    const std::string* outcome = response.Header("Mustardtray-Outcome");
    if (!outcome) {
      sample.m_outcome = LoadOutcome::Answered;
      sample.m_isOwnResponse = IsOwnResponse(aWorkId, response);
      return sample;
    }
    sample.m_outcome = *outcome == "not-run" ? LoadOutcome::NotRun : LoadOutcome::Unknown;
    const Json body = Json::parse(response.m_body, nullptr, false);
    sample.m_reason = body.is_object() ? body.value("reason", "") : "";
    return sample;
  }

  /// The minion stand-in echoes the work id and the body.
  bool IsOwnResponse(const std::string& aWorkId, const HttpResponse& aResponse) const
  {
    const std::string* echoed = aResponse.Header("Standin-Work-Id");
    const std::size_t bodyBytes =
      m_options.m_method == "GET" ? 0 : aWorkId.size() + m_options.m_bodyBytes;
    return echoed && *echoed == aWorkId && aResponse.m_body.size() == bodyBytes;
  }

  LoadOptions m_options;
  TimerService m_timers;
  HttpClient m_client;
  std::mt19937_64 m_random;
  TimePoint m_start;
  TimerHandle m_timer;
  std::vector<TimerHandle> m_resends;
  std::size_t m_sentCount = 0;
  std::size_t m_inFlightCount = 0;
  LoadResult m_result;
};

} // namespace

std::size_t LoadResult::Count(LoadOutcome aOutcome) const
{
  return static_cast<std::size_t>(
    std::count_if(m_samples.begin(), m_samples.end(), [&](const LoadSample& aSample) {
      return aSample.m_outcome == aOutcome;
    }));
}

std::size_t LoadResult::CountMismatchedResponses() const
{
  return static_cast<std::size_t>(
    std::count_if(m_samples.begin(), m_samples.end(), [](const LoadSample& aSample) {
      return aSample.m_outcome == LoadOutcome::Answered && aSample.m_status == 200 &&
             !aSample.m_isOwnResponse;
    }));
}

Micros LoadResult::Quantile(double aFraction) const
{
  std::vector<Micros> latencies;
  for (const LoadSample& sample : m_samples) {
    if (sample.m_outcome == LoadOutcome::Answered) {
      latencies.push_back(sample.m_latency);
    }
  }
  if (latencies.empty()) {
    return Micros(0);
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies[static_cast<std::size_t>(aFraction * static_cast<double>(latencies.size() - 1))];
}

std::map<std::string, std::size_t> LoadResult::CountByReason() const
{
  std::map<std::string, std::size_t> reasons;
  for (const LoadSample& sample : m_samples) {
    if (!sample.m_reason.empty()) {
      ++reasons[sample.m_reason];
    }
  }
  return reasons;
}

std::vector<LoadResult> RunLoads(const std::vector<LoadOptions>& aOptions,
                                 const std::function<void(Micros)>& aOnTick)
{
  asio::io_context context(1);
  TimerService timers(context);
  std::vector<std::unique_ptr<LoadRun>> loads;
  for (const LoadOptions& options : aOptions) {
    loads.push_back(std::make_unique<LoadRun>(context, options));
    loads.back()->Start();
  }
  const TimePoint start = MonotonicNow();
  const TimerHandle tick = timers.Every(kTickPeriod, 0, [&] {
    if (aOnTick) {
      aOnTick(MonotonicNow() - start);
    }
  });
  const auto isRunning = [&] {
    return std::any_of(
      loads.begin(), loads.end(), [](const auto& aLoad) { return !aLoad->IsDone(); });
  };
  while (isRunning()) {
    context.run_one();
  }
  std::vector<LoadResult> results;
  for (const auto& load : loads) {
    results.push_back(load->TakeResult());
  }
  return results;
}

bool WaitUntilAnswering(const std::vector<std::string>& aCallerUrls,
                        const std::string& aPath,
                        Millis aTimeout)
{
  const TimePoint end = MonotonicNow() + aTimeout;
  for (int round = 0; MonotonicNow() < end; ++round) {
    LoadOptions lookUp;
    lookUp.m_urls = aCallerUrls;
    lookUp.m_path = aPath + "/look-up";
    lookUp.m_workIdPrefix = fmt::format("warm-up-look-up-{}", round);
    lookUp.m_isIdempotent = true;
    lookUp.m_requestCount = aCallerUrls.size();
    LoadOptions keyed = lookUp;
    keyed.m_method = "POST";
    keyed.m_path = aPath + "/place";
    keyed.m_workIdPrefix = fmt::format("warm-up-keys-{}", round);
    keyed.m_isIdempotent = false;
    keyed.m_sendsIdempotencyKey = true;
    keyed.m_requestCount = kWarmUpKeys;
    keyed.m_requestsPerSecond = kWarmUpRequestsPerSecond;
    const auto results = RunLoads({ lookUp, keyed });
    const bool isAnswering = results[0].Count(LoadOutcome::Answered) == lookUp.m_requestCount &&
                             results[1].Count(LoadOutcome::Answered) == kWarmUpKeys;
    if (isAnswering) {
      return true;
    }
  }
  return false;
}

LoadResult RunLoad(const LoadOptions& aOptions)
{
  return std::move(RunLoads({ aOptions }).front());
}

} // namespace mustardtray
