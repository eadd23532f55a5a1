#include "standin/Minion.h"

#include <algorithm>
#include <charconv>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace mustardtray {

namespace {

constexpr std::string_view kRunHeader = "Standin-Run-Ms";
constexpr std::string_view kWorkIdHeader = "Standin-Work-Id";
constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view kIdempotentHeader = "Standin-Idempotent";
constexpr std::string_view kAnswerBytesHeader = "Standin-Answer-Bytes";
constexpr std::string_view kRequestIdHeader = "Mustardtray-Request-Id";
constexpr std::string_view kFillerBody = "an answer that is cut in half";
constexpr std::int64_t kMaxRunMs = 600'000;
constexpr std::int64_t kMaxAnswerBytes = 64 << 20;

std::optional<std::int64_t> NumberHeader(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string* text = aRequest.Header(aName);
  std::int64_t number = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc{}) {
    return std::nullopt;
  }
  return number;
}

std::string_view WorkIdOf(const HttpRequest& aRequest)
{
  if (const std::string* id = aRequest.Header(kWorkIdHeader)) {
    return *id;
  }
  const std::string* key = aRequest.Header(kIdempotencyKeyHeader);
  return key ? std::string_view(*key) : std::string_view();
}

bool IsMarkedIdempotent(const HttpRequest& aRequest)
{
  const std::string* mark = aRequest.Header(kIdempotentHeader);
  return mark && *mark == "1";
}

/// What a foreign answer belongs to when the minion has answered nothing yet.
HttpRequest ForeignRequest()
{
  HttpRequest request;
  request.m_method = "GET";
  request.m_path = "/foreign";
  request.m_headers = { { std::string(kRequestIdHeader), "foreign" } };
  request.m_body = "foreign";
  return request;
}

} // namespace

MinionSettings ReadMinionSettings(JsonReader& aReader)
{
  MinionSettings settings;
  settings.m_vm = aReader.RequiredString("vm");
  settings.m_service = aReader.RequiredString("service");
  settings.m_pool = aReader.String("pool", "");
  settings.m_address = aReader.String("address", settings.m_address);
  settings.m_port = static_cast<std::uint16_t>(aReader.Integer("port", 0, 0, 65'535));
  settings.m_slots = static_cast<int>(aReader.Integer("slots", settings.m_slots, 1, 10'000));
  settings.m_connections =
    static_cast<int>(aReader.Integer("connections", settings.m_connections, 1, 100'000));
  settings.m_run = aReader.Duration("run_ms", settings.m_run, Millis(0), Millis(kMaxRunMs));
  settings.m_leavingGrace =
    aReader.Duration("leaving_grace_ms", settings.m_leavingGrace, Millis(0), Millis(kMaxRunMs));
  settings.m_running = aReader.Bool("running", true);
  return settings;
}

MinionFault ReadMinionFault(JsonReader& aReader)
{
  MinionFault fault;
  fault.m_kind = aReader.RequiredEnum<FaultKind>("fault");
  fault.m_extraRun = aReader.Duration("extra_ms", fault.m_extraRun, Millis(0), Millis(kMaxRunMs));
  fault.m_status = static_cast<int>(aReader.Integer("status", fault.m_status, 400, 599));
  if (aReader.Has("requests")) {
    fault.m_requests = static_cast<int>(aReader.RequiredInteger("requests", 1, 1'000'000'000));
  }
  return fault;
}

/// One request between its begin and its end.
struct Minion::Run
{
  Run(asio::io_context& aContext, Exchange aExchange)
    : m_exchange(std::move(aExchange))
    , m_timer(aContext)
  {
  }

  Exchange m_exchange;
  FaultKind m_fault = FaultKind::None;
  std::uint64_t m_incarnation = 0;
  asio::steady_timer m_timer;
};

Minion::Minion(asio::io_context& aContext, MinionSettings aSettings, WorkLedger& aLedger)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_ledger(aLedger)
  , m_server(aContext, m_settings.m_address, m_settings.m_port, [this](const Exchange& aExchange) {
    Arrive(aExchange);
  })
{
}

Minion::~Minion() = default;

const MinionCounts& Minion::Counts()
{
  m_counts.m_peakConnections = m_server.Traffic().m_peakConnections;
  return m_counts;
}

void Minion::SetFault(const MinionFault& aFault)
{
  const bool thaws = m_fault.m_kind == FaultKind::Freeze && aFault.m_kind != FaultKind::Freeze;
  m_fault = aFault;
  if (thaws) {
    Thaw();
  }
}

void Minion::SetLeaving(bool aLeaving)
{
  if (!aLeaving) {
    m_leavingSince.reset();
  } else if (!m_leavingSince) {
    m_leavingSince = MonotonicNow();
  }
}

Result<void> Minion::Start()
{
  if (m_stopping) {
    return Error{ ErrorKind::Conflict, "start minion", m_settings.m_vm, "is stopping" };
  }
  m_leavingSince.reset();
  if (m_fault.m_kind == FaultKind::Freeze && !m_server.IsListening()) {
    m_fault = {};
  }
  return m_server.Listen();
}

void Minion::Stop(std::function<void()> aDone)
{
  if (!m_server.IsListening() && !m_stopping) {
    aDone();
    return;
  }
  m_stopCallbacks.push_back(std::move(aDone));
  if (!std::exchange(m_stopping, true)) {
    ++m_counts.m_stops;
    const bool hasWork = m_running > 0 || !m_waiting.empty() || !m_frozenArrivals.empty();
    m_counts.m_stopsWithWork += hasWork ? 1 : 0;
    m_server.StopListening();
  }
  EndStopWhenIdle();
}

void Minion::EndStopWhenIdle()
{
  const bool isIdle = m_running == 0 && m_waiting.empty() && m_frozenArrivals.empty();
  if (!m_stopping || !isIdle) {
    return;
  }
  m_stopping = false;
  m_server.CloseConnections(false);
  for (const auto& done : std::exchange(m_stopCallbacks, {})) {
    done();
  }
}

void Minion::Kill()
{
  if (!m_server.IsListening() && !m_stopping) {
    return;
  }
  ++m_counts.m_kills;
  m_counts.m_killedRuns += static_cast<std::uint64_t>(m_running);
  ++m_incarnation;
  m_running = 0;
  m_waiting.clear();
  m_frozenArrivals.clear();
  m_frozenEnds.clear();
  m_server.StopListening();
  m_server.CloseConnections(true);
  EndStopWhenIdle();
}

void Minion::Arrive(const Exchange& aExchange)
{
  ++m_counts.m_requests;
  if (m_leavingSince && MonotonicNow() - *m_leavingSince > m_settings.m_leavingGrace) {
    ++m_counts.m_lateArrivals;
  }
  if (m_fault.m_kind == FaultKind::Freeze) {
    m_frozenArrivals.push_back(aExchange);
    return;
  }
  Dispatch(aExchange);
}

void Minion::Dispatch(const Exchange& aExchange)
{
  if (m_stopping) {
    Refuse(aExchange, "stopping");
  } else if (m_fault.m_kind == FaultKind::Refuse) {
    NextFault();
    Refuse(aExchange, "refuses");
  } else {
    Admit(aExchange);
  }
}

void Minion::Admit(const Exchange& aExchange)
{
  const int occupancy = m_running + static_cast<int>(m_waiting.size()) + 1;
  m_counts.m_peakOccupancy = std::max(m_counts.m_peakOccupancy, occupancy);
  if (occupancy > m_settings.m_slots) {
    ++m_counts.m_slotViolations;
    m_waiting.push_back(aExchange);
    return;
  }
  Begin(aExchange);
}

void Minion::Begin(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  ++m_running;
  ++m_counts.m_runs;
  m_ledger.Record(WorkIdOf(request), m_settings.m_service, IsMarkedIdempotent(request));
  auto run = std::make_shared<Run>(m_context, aExchange);
  run->m_fault = NextFault();
  run->m_incarnation = m_incarnation;
  Schedule(std::move(run));
}

FaultKind Minion::NextFault()
{
  const FaultKind kind = m_fault.m_kind;
  if (m_fault.m_requests && --*m_fault.m_requests <= 0) {
    m_fault = {};
  }
  return kind;
}

Millis Minion::RunTime(const HttpRequest& aRequest) const
{
  const auto asked = NumberHeader(aRequest, kRunHeader);
  return asked ? Millis(std::clamp<std::int64_t>(*asked, 0, kMaxRunMs)) : m_settings.m_run;
}

void Minion::Schedule(std::shared_ptr<Run> aRun)
{
  Millis time = RunTime(aRun->m_exchange->Request());
  if (aRun->m_fault == FaultKind::Slow) {
    time += m_fault.m_extraRun;
  } else if (aRun->m_fault == FaultKind::Fail || aRun->m_fault == FaultKind::CloseAfterRead) {
    time = Millis(0);
  }
  if (time == Millis(0)) {
    End(aRun);
    return;
  }
  asio::steady_timer& timer = aRun->m_timer;
  timer.expires_after(time);
  timer.async_wait([this, alive = std::weak_ptr<char>(m_alive), run = std::move(aRun)](
                     const asio::error_code& aError) {
    if (!aError && !alive.expired()) {
      End(run);
    }
  });
}

void Minion::End(const std::shared_ptr<Run>& aRun)
{
  if (aRun->m_incarnation != m_incarnation) {
    return;
  }
  if (m_fault.m_kind == FaultKind::Freeze) {
    m_frozenEnds.push_back(aRun);
    return;
  }
  --m_running;
  Conclude(*aRun);
  if (!m_waiting.empty() && m_running < m_settings.m_slots) {
    const Exchange next = std::move(m_waiting.front());
    m_waiting.pop_front();
    Begin(next);
  }
  EndStopWhenIdle();
}

void Minion::Conclude(const Run& aRun)
{
  StandinExchange& exchange = *aRun.m_exchange;
  HttpResponse answer = AnswerTo(exchange.Request());
  const bool isCut =
    aRun.m_fault == FaultKind::ShortAnswer || aRun.m_fault == FaultKind::DieMidAnswer;
  if (isCut && answer.m_body.empty()) {
    answer.m_body = kFillerBody;
  }
  switch (aRun.m_fault) {
    case FaultKind::Fail:
      answer.m_status = m_fault.m_kind == FaultKind::Fail ? m_fault.m_status : 500;
      exchange.Answer(answer);
      break;
    case FaultKind::ShortAnswer:
      exchange.AnswerHalf(answer, false);
      break;
    case FaultKind::CloseAfterRead:
      exchange.Close();
      break;
    case FaultKind::DieMidAnswer:
      exchange.AnswerHalf(answer, true);
      asio::post(m_context, [this, alive = std::weak_ptr<char>(m_alive)] {
        if (!alive.expired()) {
          Kill();
        }
      });
      break;
    case FaultKind::ForeignAnswer:
      exchange.Answer(m_lastAnswer ? *m_lastAnswer : AnswerTo(ForeignRequest()));
      break;
    default:
      exchange.Answer(answer);
      break;
  }
  m_lastAnswer = std::move(answer);
}

HttpResponse Minion::AnswerTo(const HttpRequest& aRequest) const
{
  HttpResponse answer;
  answer.m_headers = { { "Standin-Vm", m_settings.m_vm },
                       { "Standin-Service", m_settings.m_service },
                       { "Standin-Method", aRequest.m_method },
                       { "Standin-Path", aRequest.m_path } };
  for (const std::string_view name : { kWorkIdHeader, kRequestIdHeader }) {
    if (const std::string* value = aRequest.Header(name)) {
      answer.m_headers.push_back({ std::string(name), *value });
    }
  }
  const auto fill = NumberHeader(aRequest, kAnswerBytesHeader);
  const auto bytes = std::clamp<std::int64_t>(fill.value_or(0), 0, kMaxAnswerBytes);
  answer.m_body = fill ? std::string(static_cast<std::size_t>(bytes), 'x') : aRequest.m_body;
  return answer;
}

void Minion::Refuse(const Exchange& aExchange, std::string_view aReason)
{
  ++m_counts.m_refused;
  HttpResponse answer;
  answer.m_status = 503;
  answer.m_headers = { { "Mustardtray-Outcome", "not-run" },
                       { "Standin-Vm", m_settings.m_vm },
                       { "Standin-Reason", std::string(aReason) } };
  aExchange->Answer(answer);
}

void Minion::Thaw()
{
  for (const auto& run : std::exchange(m_frozenEnds, {})) {
    End(run);
  }
  for (const Exchange& exchange : std::exchange(m_frozenArrivals, {})) {
    Dispatch(exchange);
  }
  EndStopWhenIdle();
}

} // namespace mustardtray
