#include "tests/soak/CallerSimulator.h"

#include <fmt/format.h>

#include "platform/Messages.h"

namespace mustardtray::soak {

namespace {

constexpr Millis kPollPeriod{ 500 };
constexpr Millis kRequestDeadline{ 3'000 };
/// A response that is missing for nearly the deadline is a timeout.
constexpr Millis kTimeoutMargin{ 200 };
constexpr Micros kRetryDelay{ 700'000 };
constexpr int kMaxSubmitAttempts = 6;
constexpr int kJobsPerLongRunningJob = 30;
/// Of each ten jobs.
constexpr int kSlowJobsPerTen = 4;
constexpr int kSlowUnitCpu = 200;
constexpr int kMaxSlowUnits = 6;
constexpr int kMinSlowRunMs = 5'000;
constexpr int kMaxSlowRunMs = 12'000;
constexpr int kJobsPerEndingLongRunningJob = 15;
constexpr int kJobsPerCancelledJob = 12;
constexpr int kJobsPerDeadlyJob = 40;
constexpr int kJobsPerScarceJob = 8;
constexpr int kJobsPerRepeatedJob = 4;
constexpr Micros kRepeatDelay{ 4'000'000 };
/// One of so many jobs fails in every attempt that its queue allows.
constexpr int kJobsPerFailingJob = 25;
/// Failures of a unit that never ends well.
constexpr int kAllRuns = 999;

TimePoint Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

} // namespace

CallerSimulator::CallerSimulator(asio::io_context& aContext,
                                 TimerService& aTimers,
                                 GuaranteeChecker& aChecker,
                                 std::uint64_t aSeed,
                                 std::vector<std::string> aNodeAddresses,
                                 std::vector<std::string> aQueuePrefixes,
                                 CallerOptions aOptions)
  : m_timers(aTimers)
  , m_checker(aChecker)
  , m_http(aContext)
  , m_random(aSeed)
  , m_nodeAddresses(std::move(aNodeAddresses))
  , m_queuePrefixes(std::move(aQueuePrefixes))
  , m_options(std::move(aOptions))
  , m_demandRandom(aSeed)
{
}

void CallerSimulator::Start()
{
  m_submitTimer = m_timers.Every(m_options.m_submitPeriod, 0, [this] { SubmitNextJob(); });
  m_pollTimer = m_timers.Every(kPollPeriod, 0, [this] { PollJobStates(); });
}

void CallerSimulator::StopSubmitting()
{
  m_submitTimer.Cancel();
}

void CallerSimulator::CancelLongRunningJobs()
{
  m_cancelsLongRunning = true;
  for (const std::string& id : m_longRunningJobs) {
    CancelJob(id);
  }
}

int CallerSimulator::Draw(int aMin, int aMax)
{
  return std::uniform_int_distribution<int>(aMin, aMax)(m_random);
}

void CallerSimulator::RunAfter(Micros aDelay, std::function<void()> aFunction)
{
  const std::uint64_t number = ++m_delayCount;
  m_delayTimers[number] = m_timers.After(aDelay, [this, number, call = std::move(aFunction)] {
    const TimerHandle done = std::move(m_delayTimers[number]);
    m_delayTimers.erase(number);
    call();
  });
}

void CallerSimulator::SendRequest(const char* aMethod,
                                  const std::string& aPath,
                                  std::string aBody,
                                  HttpCallback aDone)
{
  HttpCall call;
  call.m_method = aMethod;
  const std::string& address =
    m_nodeAddresses[static_cast<std::size_t>(Draw(0, int(m_nodeAddresses.size()) - 1))];
  call.m_url = "http://" + address + aPath;
  std::string request = fmt::format("{} {}", aMethod, call.m_url);
  call.m_headers = { { "Host", "soak.example" },
                     { "Content-Type", "application/json" },
                     { "Deadline-Ms", std::to_string(kRequestDeadline.count()) } };
  call.m_body = std::move(aBody);
  call.m_timeout = kRequestDeadline;
  m_http.Start(
    std::move(call),
    [this, sentAt = Now(), request, done = std::move(aDone)](const HttpCallResult& aResult) {
      const bool isTimeLeft = Now() - sentAt < kRequestDeadline - kTimeoutMargin;
      if (!aResult && !aResult.error().m_isNotSent && isTimeLeft) {
        m_options.m_onBroken(request, sentAt);
      }
      done(aResult);
    });
}

void CallerSimulator::SubmitNextJob()
{
  const std::uint64_t number = ++m_jobCount;
  const bool isLongRunning =
    number % kJobsPerLongRunningJob == 1 ||
    (m_options.m_variesDemand && number % kJobsPerEndingLongRunningJob == 1);
  const bool isDeadly = m_options.m_submitsDeadlyJobs && number % kJobsPerDeadlyJob == 11;
  const bool isSlow =
    m_options.m_submitsSlowJobs && !isLongRunning && number % 10 < kSlowJobsPerTen;
  const int cpu = isSlow ? kSlowUnitCpu : Draw(1, 6) * 500;
  const int runMs = isLongRunning ? 0 : isSlow ? Draw(kMinSlowRunMs, kMaxSlowRunMs) : Draw(50, 700);
  // Repeated slow runs would last longer than the calm phase.
  const int failures = isSlow                             ? 0
                       : number % kJobsPerFailingJob == 7 ? int(kMaxAttempts)
                       : Draw(0, 9) == 0                  ? 1
                                                          : 0;
  Json steps = Json::array();
  const int count = isLongRunning || isSlow ? 1 : Draw(1, 3);
  for (int step = 0; step < count; ++step) {
    Json item{ { "count", Draw(1, isSlow ? kMaxSlowUnits : 4) },
               { "cpu", cpu },
               { "mem_mb", 64 },
               { "estimate_ms", runMs } };
    if (!m_options.m_scarceKind.empty() && !isLongRunning && number % kJobsPerScarceJob == 3) {
      item["requires"] = m_options.m_scarceKind;
    }
    if (step > 0) {
      item["after"] = { step - 1 };
    }
    if (isLongRunning) {
      item["long_running"] = true;
      item["estimate_ms"] = 500;
      if (Draw(0, 1) == 0) {
        item["max_per_server"] = 1;
      }
    }
    steps.push_back(std::move(item));
  }
  // The machine stand-in reads the duration, CPU and failures of the unit's runs from the payload.
  const int endsAfterMs = std::uniform_int_distribution<int>(3'000, 12'000)(m_demandRandom);
  // Each end counts as a failure of the minion, so that some units go on.
  const bool isEnding = isLongRunning && m_options.m_variesDemand && endsAfterMs % 2 == 0;
  const Json payload{ { "ms", isEnding ? endsAfterMs : runMs },
                      { "cpu", cpu },
                      { "failures",
                        isEnding        ? kAllRuns
                        : isLongRunning ? 0
                                        : failures },
                      { "deadly", isDeadly } };
  Submission submission;
  submission.m_id = fmt::format("{:016x}", m_random());
  submission.m_path =
    m_queuePrefixes[static_cast<std::size_t>(Draw(0, int(m_queuePrefixes.size()) - 1))] +
    submission.m_id;
  submission.m_body = Json{ { "spec", payload.dump() }, { "steps", std::move(steps) } }.dump();
  submission.m_isLongRunning = isLongRunning;
  if (m_options.m_variesDemand && !ShapeDemand(submission)) {
    return;
  }
  m_checker.OnSubmitted(
    submission.m_id, platform::DecodeJobSpec(submission.m_body).value(), isDeadly);
  Submit(submission);
}

bool CallerSimulator::ShapeDemand(Submission& aSubmission)
{
  const auto draw = [this](int aMin, int aMax) {
    return std::uniform_int_distribution<int>(aMin, aMax)(m_demandRandom);
  };
  if (Now() >= m_demandChangesAt) {
    m_demandChangesAt = Now() + Millis(draw(1'500, 4'000));
    m_busyQueue = static_cast<std::size_t>(draw(0, static_cast<int>(m_queuePrefixes.size()) - 1));
    m_isLull = draw(0, 2) == 0;
  }
  const bool isOffPeak = draw(0, 9) == 0;
  if (aSubmission.m_isLongRunning) {
    return true;
  }
  if (!isOffPeak) {
    aSubmission.m_path = m_queuePrefixes[m_busyQueue] + aSubmission.m_id;
  }
  return !m_isLull || isOffPeak;
}

void CallerSimulator::Submit(const Submission& aSubmission)
{
  SendRequest(
    "POST",
    aSubmission.m_path,
    aSubmission.m_body,
    [this, aSubmission](const HttpCallResult& aResult) { OnSubmitResponse(aSubmission, aResult); });
}

void CallerSimulator::OnSubmitResponse(Submission aSubmission, const HttpCallResult& aResult)
{
  const int status = aResult ? aResult.value().m_status : 0;
  if (status == 200) {
    m_checker.OnAccepted(aSubmission.m_id);
    m_acceptedPaths[aSubmission.m_id] = aSubmission.m_path;
    if (aSubmission.m_isLongRunning) {
      m_longRunningJobs.push_back(aSubmission.m_id);
    }
    if (m_options.m_repeatsAccepted && ++m_acceptedCount % kJobsPerRepeatedJob == 0) {
      RunAfter(kRepeatDelay, [this, aSubmission] {
        SendRequest("POST", aSubmission.m_path, aSubmission.m_body, [](const HttpCallResult&) {});
      });
    }
    if (aSubmission.m_isLongRunning ? m_cancelsLongRunning : Draw(1, kJobsPerCancelledJob) == 1) {
      RunAfter(Micros(Draw(0, 800) * 1'000), [this, id = aSubmission.m_id] { CancelJob(id); });
    }
    return;
  }
  const bool isOutcomeKnown =
    status == 429 || status == 503 || (!aResult && aResult.error().m_isNotSent);
  m_checker.OnSubmitFailed(aSubmission.m_id, isOutcomeKnown);
  if (++aSubmission.m_attempt < kMaxSubmitAttempts) {
    RunAfter(kRetryDelay, [this, aSubmission] { Submit(aSubmission); });
  }
}

void CallerSimulator::CancelJob(const std::string& aId)
{
  m_checker.OnCancelSent(aId);
  SendRequest("DELETE", m_acceptedPaths.at(aId), {}, [this, aId](const HttpCallResult& aResult) {
    const int status = aResult ? aResult.value().m_status : 0;
    if (status != 200 && status != 410) {
      RunAfter(kRetryDelay, [this, aId] { CancelJob(aId); });
    }
  });
}

std::string CallerSimulator::JobPath(const std::string& aJob) const
{
  const auto path = m_acceptedPaths.find(aJob);
  return path == m_acceptedPaths.end() ? std::string{} : path->second;
}

void CallerSimulator::PollJobStates()
{
  for (const std::string& id : m_checker.UnfinishedJobs(true)) {
    SendRequest("GET", m_acceptedPaths.at(id), {}, [this, id](const HttpCallResult& aResult) {
      if (aResult && aResult.value().m_status == 410) {
        m_checker.OnJobNotFound(id);
      }
      if (!aResult || aResult.value().m_status != 200) {
        return;
      }
      const Json body = Json::parse(aResult.value().m_body, nullptr, false);
      m_checker.OnStateReported(id, body.value("state", std::string{}));
    });
  }
}

} // namespace mustardtray::soak
