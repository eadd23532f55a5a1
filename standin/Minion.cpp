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
constexpr std::string_view kResponseBytesHeader = "Standin-Answer-Bytes";
constexpr std::string_view kRequestIdHeader = "Mustardtray-Request-Id";
constexpr std::string_view kDefaultTruncatedBody = "an answer that is cut in half";
constexpr std::int64_t kMaxRunMs = 600'000;
constexpr std::int64_t kMaxResponseBytes = 64 << 20;

std::optional<std::int64_t> ParseNumberHeader(const HttpRequest& aRequest, std::string_view aName)
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
  const std::string* header = aRequest.Header(kIdempotentHeader);
  return header && *header == "1";
}

/// Request that a mismatched response belongs to when the minion has not responded to any yet.
HttpRequest MakeForeignRequest()
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
  settings.m_maxConnections =
    static_cast<int>(aReader.Integer("connections", settings.m_maxConnections, 1, 100'000));
  settings.m_runTime = aReader.Duration("run_ms", settings.m_runTime, Millis(0), Millis(kMaxRunMs));
  settings.m_leavingGrace =
    aReader.Duration("leaving_grace_ms", settings.m_leavingGrace, Millis(0), Millis(kMaxRunMs));
  settings.m_isInitiallyRunning = aReader.Bool("running", true);
  return settings;
}

MinionFault ReadMinionFault(JsonReader& aReader)
{
  MinionFault fault;
  fault.m_kind = aReader.RequiredEnum<MinionFaultKind>("fault");
  fault.m_extraRunTime =
    aReader.Duration("extra_ms", fault.m_extraRunTime, Millis(0), Millis(kMaxRunMs));
  fault.m_status = static_cast<int>(aReader.Integer("status", fault.m_status, 400, 599));
  if (aReader.Has("requests")) {
    fault.m_requests = static_cast<int>(aReader.RequiredInteger("requests", 1, 1'000'000'000));
  }
  return fault;
}

/// A request that is being run.
struct Minion::Run
{
  Run(asio::io_context& aContext, Exchange aExchange)
    : m_exchange(std::move(aExchange))
    , m_timer(aContext)
  {
  }

  Exchange m_exchange;
  MinionFaultKind m_fault = MinionFaultKind::None;
  std::uint64_t m_incarnation = 0;
  asio::steady_timer m_timer;
};

Minion::Minion(asio::io_context& aContext, MinionSettings aSettings, RunCounter& aRunCounter)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_runCounter(aRunCounter)
  , m_server(aContext, m_settings.m_address, m_settings.m_port, [this](const Exchange& aExchange) {
    ReceiveRequest(aExchange);
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
  const bool endsFreeze =
    m_fault.m_kind == MinionFaultKind::Freeze && aFault.m_kind != MinionFaultKind::Freeze;
  m_fault = aFault;
  if (endsFreeze) {
    Unfreeze();
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
  if (m_isStopping) {
    return Error{ ErrorKind::Conflict, "start minion", m_settings.m_vm, "is stopping" };
  }
  m_leavingSince.reset();
  if (m_fault.m_kind == MinionFaultKind::Freeze && !m_server.IsListening()) {
    m_fault = {};
  }
  return m_server.Listen();
}

void Minion::Stop(std::function<void()> aDone)
{
  if (!m_server.IsListening() && !m_isStopping) {
    aDone();
    return;
  }
  m_stopCallbacks.push_back(std::move(aDone));
  if (!std::exchange(m_isStopping, true)) {
    ++m_counts.m_stops;
    const bool hasWork =
      m_runningCount > 0 || !m_waitingRequests.empty() || !m_frozenRequests.empty();
    m_counts.m_stopsWithWork += hasWork ? 1 : 0;
    m_server.StopListening();
  }
  FinishStopIfIdle();
}

void Minion::FinishStopIfIdle()
{
  const bool isIdle = m_runningCount == 0 && m_waitingRequests.empty() && m_frozenRequests.empty();
  if (!m_isStopping || !isIdle) {
    return;
  }
  m_isStopping = false;
  m_server.CloseConnections(false);
  for (const auto& done : std::exchange(m_stopCallbacks, {})) {
    done();
  }
}

void Minion::Kill()
{
  if (!m_server.IsListening() && !m_isStopping) {
    return;
  }
  ++m_counts.m_kills;
  m_counts.m_killedRuns += static_cast<std::uint64_t>(m_runningCount);
  ++m_incarnation;
  m_runningCount = 0;
  m_waitingRequests.clear();
  m_frozenRequests.clear();
  m_frozenRunEnds.clear();
  m_server.StopListening();
  m_server.CloseConnections(true);
  FinishStopIfIdle();
}

void Minion::ReceiveRequest(const Exchange& aExchange)
{
  ++m_counts.m_requests;
  if (m_leavingSince && MonotonicNow() - *m_leavingSince > m_settings.m_leavingGrace) {
    ++m_counts.m_lateArrivals;
  }
  if (m_fault.m_kind == MinionFaultKind::Freeze) {
    m_frozenRequests.push_back(aExchange);
    return;
  }
  RunOrRefuse(aExchange);
}

void Minion::RunOrRefuse(const Exchange& aExchange)
{
  if (m_isStopping) {
    RefuseRequest(aExchange, "stopping");
  } else if (m_fault.m_kind == MinionFaultKind::Refuse) {
    ConsumeFault();
    RefuseRequest(aExchange, "refuses");
  } else {
    StartOrQueue(aExchange);
  }
}

void Minion::StartOrQueue(const Exchange& aExchange)
{
  const int occupancy = m_runningCount + static_cast<int>(m_waitingRequests.size()) + 1;
  m_counts.m_peakOccupancy = std::max(m_counts.m_peakOccupancy, occupancy);
  if (occupancy > m_settings.m_slots) {
    ++m_counts.m_slotViolations;
    m_waitingRequests.push_back(aExchange);
    return;
  }
  StartRun(aExchange);
}

void Minion::StartRun(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  ++m_runningCount;
  ++m_counts.m_runs;
  m_runCounter.RecordRun(WorkIdOf(request), m_settings.m_service, IsMarkedIdempotent(request));
  auto run = std::make_shared<Run>(m_context, aExchange);
  run->m_fault = ConsumeFault();
  run->m_incarnation = m_incarnation;
  ScheduleEnd(std::move(run));
}

MinionFaultKind Minion::ConsumeFault()
{
  const MinionFaultKind kind = m_fault.m_kind;
  if (m_fault.m_requests && --*m_fault.m_requests <= 0) {
    m_fault = {};
  }
  return kind;
}

Millis Minion::RunTimeOf(const HttpRequest& aRequest) const
{
  const auto requested = ParseNumberHeader(aRequest, kRunHeader);
  return requested ? Millis(std::clamp<std::int64_t>(*requested, 0, kMaxRunMs))
                   : m_settings.m_runTime;
}

void Minion::ScheduleEnd(std::shared_ptr<Run> aRun)
{
  Millis runTime = RunTimeOf(aRun->m_exchange->Request());
  if (aRun->m_fault == MinionFaultKind::Slow) {
    runTime += m_fault.m_extraRunTime;
  } else if (aRun->m_fault == MinionFaultKind::Fail ||
             aRun->m_fault == MinionFaultKind::CloseAfterRead) {
    runTime = Millis(0);
  }
  if (runTime == Millis(0)) {
    EndRun(aRun);
    return;
  }
  asio::steady_timer& timer = aRun->m_timer;
  timer.expires_after(runTime);
  timer.async_wait([this, alive = std::weak_ptr<char>(m_lifetimeToken), run = std::move(aRun)](
                     const asio::error_code& aError) {
    if (!aError && !alive.expired()) {
      EndRun(run);
    }
  });
}

void Minion::EndRun(const std::shared_ptr<Run>& aRun)
{
  if (aRun->m_incarnation != m_incarnation) {
    return;
  }
  if (m_fault.m_kind == MinionFaultKind::Freeze) {
    m_frozenRunEnds.push_back(aRun);
    return;
  }
  --m_runningCount;
  SendOutcome(*aRun);
  if (!m_waitingRequests.empty() && m_runningCount < m_settings.m_slots) {
    const Exchange next = std::move(m_waitingRequests.front());
    m_waitingRequests.pop_front();
    StartRun(next);
  }
  FinishStopIfIdle();
}

void Minion::SendOutcome(const Run& aRun)
{
  StandinExchange& exchange = *aRun.m_exchange;
  HttpResponse response = MakeEchoResponse(exchange.Request());
  const bool isTruncated = aRun.m_fault == MinionFaultKind::TruncatedResponse ||
                           aRun.m_fault == MinionFaultKind::CrashDuringResponse;
  if (isTruncated && response.m_body.empty()) {
    response.m_body = kDefaultTruncatedBody;
  }
  switch (aRun.m_fault) {
    case MinionFaultKind::Fail:
      response.m_status = m_fault.m_kind == MinionFaultKind::Fail ? m_fault.m_status : 500;
      exchange.SendResponse(response);
      break;
    case MinionFaultKind::TruncatedResponse:
      exchange.SendTruncatedResponse(response, false);
      break;
    case MinionFaultKind::CloseAfterRead:
      exchange.Close();
      break;
    case MinionFaultKind::CrashDuringResponse:
      exchange.SendTruncatedResponse(response, true);
      asio::post(m_context, [this, alive = std::weak_ptr<char>(m_lifetimeToken)] {
        if (!alive.expired()) {
          Kill();
        }
      });
      break;
    case MinionFaultKind::MismatchedResponse:
      exchange.SendResponse(m_lastResponse ? *m_lastResponse
                                           : MakeEchoResponse(MakeForeignRequest()));
      break;
    default:
      exchange.SendResponse(response);
      break;
  }
  m_lastResponse = std::move(response);
}

HttpResponse Minion::MakeEchoResponse(const HttpRequest& aRequest) const
{
  HttpResponse response;
  response.m_headers = { { "Standin-Vm", m_settings.m_vm },
                         { "Standin-Service", m_settings.m_service },
                         { "Standin-Method", aRequest.m_method },
                         { "Standin-Path", aRequest.m_path } };
  for (const std::string_view name : { kWorkIdHeader, kRequestIdHeader }) {
    if (const std::string* value = aRequest.Header(name)) {
      response.m_headers.push_back({ std::string(name), *value });
    }
  }
  const auto requestedBytes = ParseNumberHeader(aRequest, kResponseBytesHeader);
  const auto bytes = std::clamp<std::int64_t>(requestedBytes.value_or(0), 0, kMaxResponseBytes);
  response.m_body =
    requestedBytes ? std::string(static_cast<std::size_t>(bytes), 'x') : aRequest.m_body;
  return response;
}

void Minion::RefuseRequest(const Exchange& aExchange, std::string_view aReason)
{
  ++m_counts.m_refused;
  HttpResponse response;
  response.m_status = 503;
  response.m_headers = { { "Mustardtray-Outcome", "not-run" },
                         { "Standin-Vm", m_settings.m_vm },
                         { "Standin-Reason", std::string(aReason) } };
  aExchange->SendResponse(response);
}

void Minion::Unfreeze()
{
  for (const auto& run : std::exchange(m_frozenRunEnds, {})) {
    EndRun(run);
  }
  for (const Exchange& exchange : std::exchange(m_frozenRequests, {})) {
    RunOrRefuse(exchange);
  }
  FinishStopIfIdle();
}

} // namespace mustardtray
