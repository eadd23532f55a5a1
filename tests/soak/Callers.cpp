#include "tests/soak/Callers.h"

#include <fmt/format.h>

#include "platform/Messages.h"

namespace mustardtray::soak {

namespace {

constexpr Millis kSubmitPeriod{ 70 };
constexpr Millis kAskPeriod{ 500 };
constexpr Millis kDeadline{ 3'000 };
constexpr Micros kRetryPause{ 700'000 };
constexpr int kMostAttempts = 6;
constexpr int kLastingEvery = 60;
constexpr int kCancelledEvery = 12;
/// Runs of these jobs fail more often than their queue allows.
constexpr int kHopelessEvery = 25;

} // namespace

Callers::Callers(asio::io_context& aContext,
                 TimerService& aTimers,
                 Promises& aPromises,
                 std::uint64_t aSeed,
                 std::vector<std::string> aNodes,
                 std::vector<std::string> aQueues)
  : m_timers(aTimers)
  , m_promises(aPromises)
  , m_http(aContext)
  , m_random(aSeed)
  , m_nodes(std::move(aNodes))
  , m_queues(std::move(aQueues))
{
}

void Callers::Begin()
{
  m_submitTimer = m_timers.Every(kSubmitPeriod, 0, [this] { SubmitNext(); });
  m_askTimer = m_timers.Every(kAskPeriod, 0, [this] { AskStates(); });
}

void Callers::StopSubmitting()
{
  m_isSubmitting = false;
  m_submitTimer.Cancel();
  for (const std::string& id : m_lasting) {
    CancelJob(id);
  }
}

int Callers::Draw(int aLeast, int aMost)
{
  return std::uniform_int_distribution<int>(aLeast, aMost)(m_random);
}

void Callers::Later(Micros aDelay, std::function<void()> aCall)
{
  const std::uint64_t number = ++m_laterCount;
  m_later[number] = m_timers.After(aDelay, [this, number, call = std::move(aCall)] {
    const TimerHandle done = std::move(m_later[number]);
    m_later.erase(number);
    call();
  });
}

void Callers::Call(const char* aMethod,
                   const std::string& aPath,
                   std::string aBody,
                   HttpCallback aDone)
{
  HttpCall call;
  call.m_method = aMethod;
  call.m_url =
    "http://" + m_nodes[static_cast<std::size_t>(Draw(0, int(m_nodes.size()) - 1))] + aPath;
  call.m_headers = { { "Host", "soak.example" },
                     { "Content-Type", "application/json" },
                     { "Deadline-Ms", std::to_string(kDeadline.count()) } };
  call.m_body = std::move(aBody);
  call.m_timeout = kDeadline;
  m_http.Start(std::move(call), std::move(aDone));
}

void Callers::SubmitNext()
{
  const std::uint64_t number = ++m_count;
  const bool isLasting = number % kLastingEvery == 1;
  const int cpu = Draw(1, 6) * 500;
  const int time = isLasting ? 0 : Draw(50, 700);
  const int failures = number % kHopelessEvery == 7 ? int(kMaxAttempts) : Draw(0, 9) == 0 ? 1 : 0;
  Json steps = Json::array();
  const int count = isLasting ? 1 : Draw(1, 3);
  for (int step = 0; step < count; ++step) {
    Json item{ { "count", Draw(1, 4) }, { "cpu", cpu }, { "mem_mb", 64 }, { "estimate_ms", time } };
    if (step > 0) {
      item["after"] = { step - 1 };
    }
    if (isLasting) {
      item["long_running"] = true;
      item["estimate_ms"] = 500;
    }
    steps.push_back(std::move(item));
  }
  // The stand-in of the minions reads from the payload what the unit is to do.
  const Json payload{ { "ms", time }, { "cpu", cpu }, { "failures", isLasting ? 0 : failures } };
  Submission submission;
  submission.m_id = fmt::format("{:016x}", m_random());
  submission.m_path =
    m_queues[static_cast<std::size_t>(Draw(0, int(m_queues.size()) - 1))] + submission.m_id;
  submission.m_body = Json{ { "spec", payload.dump() }, { "steps", std::move(steps) } }.dump();
  submission.m_isLasting = isLasting;
  m_promises.OnSubmitted(submission.m_id, platform::DecodeJobSpec(submission.m_body).value());
  Send(submission);
}

void Callers::Send(const Submission& aSubmission)
{
  Call("POST",
       aSubmission.m_path,
       aSubmission.m_body,
       [this, aSubmission](const HttpCallResult& aResult) { OnAnswer(aSubmission, aResult); });
}

void Callers::OnAnswer(Submission aSubmission, const HttpCallResult& aResult)
{
  const int status = aResult ? aResult.value().m_status : 0;
  if (status == 200) {
    m_promises.OnAccepted(aSubmission.m_id);
    m_paths[aSubmission.m_id] = aSubmission.m_path;
    if (aSubmission.m_isLasting) {
      m_lasting.push_back(aSubmission.m_id);
    }
    if (aSubmission.m_isLasting ? !m_isSubmitting : Draw(1, kCancelledEvery) == 1) {
      Later(Micros(Draw(0, 800) * 1'000), [this, id = aSubmission.m_id] { CancelJob(id); });
    }
    return;
  }
  const bool isCertain =
    status == 429 || status == 503 || (!aResult && aResult.error().m_isNotSent);
  m_promises.OnAttemptEnded(aSubmission.m_id, isCertain);
  if (++aSubmission.m_attempt < kMostAttempts) {
    Later(kRetryPause, [this, aSubmission] { Send(aSubmission); });
  }
}

void Callers::CancelJob(const std::string& aId)
{
  m_promises.OnCancelSent(aId);
  Call("DELETE", m_paths.at(aId), {}, [this, aId](const HttpCallResult& aResult) {
    const int status = aResult ? aResult.value().m_status : 0;
    if (status != 200 && status != 410) {
      Later(kRetryPause, [this, aId] { CancelJob(aId); });
    }
  });
}

void Callers::AskStates()
{
  for (const std::string& id : m_promises.Unfinished()) {
    Call("GET", m_paths.at(id), {}, [this, id](const HttpCallResult& aResult) {
      if (!aResult || aResult.value().m_status != 200) {
        return;
      }
      const Json body = Json::parse(aResult.value().m_body, nullptr, false);
      m_promises.OnShown(id, body.value("state", std::string{}));
    });
  }
}

} // namespace mustardtray::soak
