#include "mustardtray/process/PlatformClient.h"

#include <deque>
#include <set>

#include <asio/post.hpp>
#include <fmt/format.h>

#include "process/PlatformCodec.h"

namespace mustardtray {

namespace {

/// Possible effect of a call without a complete response.
enum class Effect
{
  None,  ///< The call only reads.
  Write, ///< The call may have written.
};

struct PendingCall
{
  HttpCall m_http;
  Effect m_effect = Effect::None;
  std::function<void(Result<std::string>)> m_done; ///< Gets the body of a successful response.
  TimePoint m_queuedAt;
};

/// The "error" member of a response's body; the HTTP status when there is none.
std::string ErrorText(const HttpResponse& aResponse)
{
  const Json document = Json::parse(aResponse.m_body, nullptr, false);
  if (document.is_object() && document.contains("error") && document["error"].is_string()) {
    return document["error"].get<std::string>();
  }
  return fmt::format("status {}", aResponse.m_status);
}

ErrorKind KindOfStatus(int aStatus, Effect aEffect)
{
  switch (aStatus) {
    case 404:
      return ErrorKind::NotFound;
    case 409:
      return ErrorKind::Conflict;
    case 503:
      return ErrorKind::Unavailable;
    default:
      break;
  }
  if (aStatus >= 400 && aStatus < 500) {
    return ErrorKind::Invalid;
  }
  return aEffect == Effect::Write ? ErrorKind::Unknown : ErrorKind::Unavailable;
}

} // namespace

class PlatformClient::Implementation
  : public std::enable_shared_from_this<PlatformClient::Implementation>
{
public:
  Implementation(asio::io_context& aContext, HttpClient& aHttp, PlatformClientOptions aOptions)
    : m_context(aContext)
    , m_http(aHttp)
    , m_options(std::move(aOptions))
  {
  }

  void Close()
  {
    m_queue.clear();
    for (const HttpClient::CallId id : m_inFlight) {
      m_http.Cancel(id);
    }
    m_inFlight.clear();
  }

  template<typename T>
  void Call(std::string aStep,
            HttpCall aHttp,
            Effect aEffect,
            Result<T> (*aParse)(std::string_view),
            Callback<T> aCallback)
  {
    aHttp.m_step = std::move(aStep);
    auto done = [this, step = aHttp.m_step, aEffect, aParse, callback = std::move(aCallback)](
                  Result<std::string> aBody) {
      if (!aBody) {
        CountFailure(aBody.error().m_kind);
        callback(std::move(aBody.error()));
        return;
      }
      Result<T> value = aParse(aBody.value());
      if (!value) {
        const ErrorKind kind = aEffect == Effect::Write ? ErrorKind::Unknown : ErrorKind::Internal;
        CountFailure(kind);
        callback(Error{ kind, step, m_options.m_url, value.error().m_message });
        return;
      }
      callback(std::move(value));
    };
    Enqueue({ std::move(aHttp), aEffect, std::move(done), MonotonicNow() });
  }

  HttpCall MakeCall(std::string_view aMethod, std::string_view aPath, std::string aBody) const
  {
    HttpCall call;
    call.m_method = aMethod;
    call.m_url = m_options.m_url + std::string(aPath);
    call.m_body = std::move(aBody);
    call.m_connectTimeout = m_options.m_connectTimeout;
    call.m_timeout = m_options.m_readTimeout;
    call.m_maxResponseBytes = m_options.m_maxAnswerBytes;
    call.m_caFile = m_options.m_caFile;
    if (!call.m_body.empty()) {
      call.m_headers.push_back({ "Content-Type", "application/json" });
    }
    return call;
  }

  /// A call that may write. It uses a new connection, because the HTTP library may repeat a request
  /// on a reused connection, and the repeat would report the first attempt's own write as a
  /// conflict.
  HttpCall MakeWrite(std::string_view aPath, std::string aBody) const
  {
    HttpCall call = MakeCall("POST", aPath, std::move(aBody));
    call.m_timeout = m_options.m_writeTimeout;
    call.m_freshConnection = true;
    return call;
  }

  PlatformClientCounts m_counts;

private:
  void Enqueue(PendingCall aCall)
  {
    ++m_counts.m_calls;
    if (m_queue.size() >= m_options.m_maxQueued) {
      asio::post(m_context, [weak = weak_from_this(), call = std::move(aCall)] {
        if (const auto self = weak.lock()) {
          call.m_done(self->MakeUnavailableError(call, "the queue of platform calls is full"));
        }
      });
      return;
    }
    m_queue.push_back(std::move(aCall));
    ScheduleStart();
  }

  void ScheduleStart()
  {
    if (std::exchange(m_isStartScheduled, true)) {
      return;
    }
    asio::post(m_context, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->m_isStartScheduled = false;
        self->StartCalls();
      }
    });
  }

  void StartCalls()
  {
    const auto keepAlive = shared_from_this();
    while (!m_queue.empty() && m_inFlight.size() < m_options.m_maxInFlight) {
      PendingCall call = std::move(m_queue.front());
      m_queue.pop_front();
      if (MonotonicNow() - call.m_queuedAt > m_options.m_queueTimeout) {
        call.m_done(MakeUnavailableError(call, "timed out in the queue of platform calls"));
      } else {
        StartCall(std::move(call));
      }
    }
  }

  void StartCall(PendingCall aCall)
  {
    m_counts.m_bytesSent += aCall.m_http.m_body.size();
    HttpCall http = aCall.m_http;
    const auto id = std::make_shared<HttpClient::CallId>(0);
    auto finished = [weak = weak_from_this(), id, call = std::move(aCall)](HttpCallResult aResult) {
      if (const auto self = weak.lock()) {
        self->m_inFlight.erase(*id);
        self->ScheduleStart();
        call.m_done(self->ToResult(std::move(aResult), call));
      }
    };
    *id = m_http.Start(std::move(http), std::move(finished));
    m_inFlight.insert(*id);
  }

  Result<std::string> ToResult(HttpCallResult aResult, const PendingCall& aCall)
  {
    if (!aResult) {
      HttpCallFailure& failure = aResult.error();
      const bool hasNoEffect = failure.m_isNotSent || aCall.m_effect == Effect::None;
      failure.m_error.m_kind = hasNoEffect ? ErrorKind::Unavailable : ErrorKind::Unknown;
      return std::move(failure.m_error);
    }
    HttpResponse& response = aResult.value();
    m_counts.m_bytesReceived += response.m_body.size();
    if (response.m_status == 200) {
      return std::move(response.m_body);
    }
    const ErrorKind kind = KindOfStatus(response.m_status, aCall.m_effect);
    return Error{ kind, aCall.m_http.m_step, m_options.m_url, ErrorText(response) };
  }

  Error MakeUnavailableError(const PendingCall& aCall, std::string aMessage) const
  {
    return { ErrorKind::Unavailable, aCall.m_http.m_step, m_options.m_url, std::move(aMessage) };
  }

  void CountFailure(ErrorKind aKind)
  {
    ++m_counts.m_failed;
    m_counts.m_unknown += aKind == ErrorKind::Unknown ? 1 : 0;
  }

  asio::io_context& m_context;
  HttpClient& m_http;
  PlatformClientOptions m_options;
  std::deque<PendingCall> m_queue;
  std::set<HttpClient::CallId> m_inFlight;
  bool m_isStartScheduled = false;
};

PlatformClient::PlatformClient(asio::io_context& aContext,
                               HttpClient& aHttp,
                               PlatformClientOptions aOptions)
  : m_implementation(std::make_shared<Implementation>(aContext, aHttp, std::move(aOptions)))
{
}

PlatformClient::~PlatformClient()
{
  m_implementation->Close();
}

void PlatformClient::Transact(const Transaction& aTransaction, Callback<Commit> aCallback)
{
  HttpCall call = m_implementation->MakeWrite(kTransactPath, ToText(ToJson(aTransaction)));
  m_implementation->Call<Commit>(
    "transact", std::move(call), Effect::Write, &ParseCommit, std::move(aCallback));
}

void PlatformClient::Read(const std::vector<std::string>& aKeys,
                          Callback<std::vector<Row>> aCallback)
{
  HttpCall call = m_implementation->MakeCall("POST", kReadPath, ToText(KeysToJson(aKeys)));
  m_implementation->Call<std::vector<Row>>(
    "read rows", std::move(call), Effect::None, &ParseRows, std::move(aCallback));
}

void PlatformClient::Scan(const std::string& aPrefix,
                          std::uint64_t aSince,
                          Callback<ScanPage> aCallback)
{
  const std::string body = ToText(ToJson(ScanRequest{ aPrefix, aSince }));
  HttpCall call = m_implementation->MakeCall("POST", kScanPath, body);
  m_implementation->Call<ScanPage>(
    "scan rows", std::move(call), Effect::None, &ParseScanPage, std::move(aCallback));
}

void PlatformClient::ListVms(Callback<std::vector<VmListing>> aCallback)
{
  HttpCall call = m_implementation->MakeCall("GET", kVmsPath, "");
  m_implementation->Call<std::vector<VmListing>>(
    "list VMs", std::move(call), Effect::None, &ParseVms, std::move(aCallback));
}

void PlatformClient::RunVmAction(const VmActionRequest& aRequest, Callback<ActionState> aCallback)
{
  const std::string path = fmt::format("{}/{}{}", kVmsPath, aRequest.m_vm, kActionsSuffix);
  HttpCall call = m_implementation->MakeWrite(path, ToText(ToJson(aRequest)));
  m_implementation->Call<ActionState>(
    "run VM action", std::move(call), Effect::Write, &ParseActionState, std::move(aCallback));
}

PlatformClientCounts PlatformClient::Counts() const
{
  return m_implementation->m_counts;
}

} // namespace mustardtray
