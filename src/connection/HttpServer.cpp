#include "mustardtray/connection/HttpServer.h"

#include <atomic>
#include <variant>

#include <asio.hpp>
#include <restinio/all.hpp>
#include <restinio/tls.hpp>

#include <boost/outcome/try.hpp>

#include "connection/ErrorResponseSocket.h"

namespace mustardtray {

namespace {

constexpr int kPayloadTooLarge = 413;
constexpr std::size_t kConcurrentAccepts = 8;
constexpr std::size_t kReadBufferBytes = 8192;
/// Part of a listener's connections that may be open only to send an error response.
constexpr std::size_t kLingeringDivisor = 8;
/// RESTinio accepts no more connections at its limit, so silent ones are closed a little earlier.
constexpr std::size_t kAcceptReserve = 2 * kConcurrentAccepts;
/// RESTinio's own limit of a body cannot change while a listener is open. RequestMeter applies the
/// one in force, which is never above this.
constexpr std::uint64_t kMaxBodyBytes = 64u << 20;
constexpr std::chrono::seconds kSweepPeriod{ 1 };

/// Maps an error message of RESTinio's parser to the status of the response; 0 for any other
/// message.
int StatusForParserError(std::string_view aMessage)
{
  const auto contains = [&](std::string_view aPart) {
    return aMessage.find(aPart) != std::string_view::npos;
  };
  if (!contains("parser error")) {
    return 0;
  }
  if (contains("HPE_CB_body") || contains("HPE_CB_headers_complete")) {
    return 413;
  }
  if (contains("HPE_CB_url")) {
    return 414;
  }
  return contains("HPE_CB_header") || contains("HPE_HEADER_OVERFLOW") ? 431 : 400;
}

/// Logger for RESTinio that only stores the status of a parser error for ErrorResponseSocket.
struct ParserErrorLogger
{
  template<typename Builder>
  void trace(Builder&&)
  {
  }
  template<typename Builder>
  void info(Builder&&)
  {
  }
  template<typename Builder>
  void warn(Builder&&)
  {
  }
  template<typename Builder>
  void error(Builder&& aBuilder)
  {
    gParserErrorStatus = StatusForParserError(aBuilder());
  }
};

struct PlainTraits
  : restinio::traits_t<restinio::asio_timer_manager_t,
                       ParserErrorLogger,
                       restinio::details::autodetect_request_handler_type,
                       restinio::noop_strand_t,
                       ErrorResponseSocket>
{
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

struct TlsTraits
  : restinio::single_thread_tls_traits_t<restinio::asio_timer_manager_t, ParserErrorLogger>
{
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

/// State that the server shares with responses in progress, which may outlive it.
struct ServerState
{
  std::atomic<bool> m_isClosing{ false };
};

class RequestSink : public HttpResponder::Sink
{
public:
  RequestSink(asio::io_context& aContext,
              restinio::request_handle_t aRequest,
              std::shared_ptr<ServerState> aState)
    : m_context(aContext)
    , m_request(std::move(aRequest))
    , m_state(std::move(aState))
  {
  }

  ~RequestSink() override
  {
    if (!m_isSent) {
      Send(JsonResponse(500, R"({"error":"no answer"})"));
    }
  }

  void Send(HttpResponse aResponse) override
  {
    if (m_isSent.exchange(true)) {
      return;
    }
    auto response = m_request->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t(static_cast<std::uint16_t>(aResponse.m_status)),
      ReasonPhrase(aResponse.m_status) });
    for (const HttpHeader& header : aResponse.m_headers) {
      response.append_header(header.m_name, header.m_value);
    }
    const bool isKeptAlive = m_request->header().should_keep_alive() && !m_state->m_isClosing;
    if (isKeptAlive) {
      response.connection_keep_alive();
    } else {
      response.connection_close();
    }
    response.set_body(std::move(aResponse.m_body));
    // Not from within the handler: RESTinio would read the next pipelined request at once and again
    // after the response, and close the connection because of the second one.
    asio::post(m_context, [response = std::move(response)]() mutable { response.done(); });
  }

private:
  static std::string ReasonPhrase(int aStatus)
  {
    switch (aStatus) {
      case 200:
        return "OK";
      case 202:
        return "Accepted";
      case 404:
        return "Not Found";
      case 409:
        return "Conflict";
      case 422:
        return "Unprocessable Content";
      case 502:
        return "Bad Gateway";
      case 503:
        return "Service Unavailable";
      case 504:
        return "Gateway Timeout";
      default:
        return aStatus < 400 ? "Done" : "Error";
    }
  }

  asio::io_context& m_context;
  restinio::request_handle_t m_request;
  std::shared_ptr<ServerState> m_state;
  std::atomic<bool> m_isSent{ false };
};

/// Separators and the status line of a message, and the headers that the server adds.
constexpr std::size_t kMessageOverheadBytes = 100;

std::size_t MessageBytes(const HttpHeaders& aHeaders, const std::string& aBody)
{
  std::size_t bytes = kMessageOverheadBytes + aBody.size();
  for (const HttpHeader& header : aHeaders) {
    bytes += header.m_name.size() + header.m_value.size();
  }
  return bytes;
}

/// Counts a request and its response when the response is sent.
class CountingSink : public HttpResponder::Sink
{
public:
  CountingSink(HttpResponder aNext,
               TrafficMeter& aTraffic,
               std::string aKind,
               std::size_t aReceived)
    : m_next(std::move(aNext))
    , m_traffic(aTraffic)
    , m_kind(std::move(aKind))
    , m_received(aReceived)
  {
  }

  void Send(HttpResponse aResponse) override
  {
    if (!m_isSent.exchange(true)) {
      m_traffic.Add(m_kind, MessageBytes(aResponse.m_headers, aResponse.m_body), m_received);
    }
    m_next.Send(std::move(aResponse));
  }

private:
  HttpResponder m_next;
  TrafficMeter& m_traffic;
  std::string m_kind;
  std::size_t m_received;
  std::atomic<bool> m_isSent{ false };
};

HttpRequest ConvertRequest(restinio::request_t& aRequest)
{
  HttpRequest request;
  request.m_method = aRequest.header().method().c_str();
  request.m_path = std::string(aRequest.header().path());
  request.m_query = std::string(aRequest.header().query());
  aRequest.header().for_each_field([&](const restinio::http_header_field_t& aField) {
    request.m_headers.push_back({ aField.name(), aField.value() });
  });
  request.m_body = std::move(aRequest.body());
  request.m_peer = fmt::format(
    "{}:{}", aRequest.remote_endpoint().address().to_string(), aRequest.remote_endpoint().port());
  return request;
}

Error MakeStartError(ErrorKind aKind,
                     const HttpServerOptions& aOptions,
                     const std::string& aMessage)
{
  return { aKind,
           "start HTTP listener",
           fmt::format("{}:{}", aOptions.m_address, aOptions.m_port),
           aMessage };
}

} // namespace

class HttpServer::Implementation
{
public:
  Implementation(asio::io_context& aContext, HttpServerOptions aOptions, HttpHandler aHandler)
    : m_context(aContext)
    , m_options(std::move(aOptions))
    , m_handler(std::move(aHandler))
    , m_state(std::make_shared<ServerState>())
    , m_connections(std::make_shared<ListenerConnections>(MakeConnectionsOptions()))
    , m_sweepTimer(aContext)
  {
  }

  Result<void> Start()
  {
    if (!m_options.m_tls.m_certificateFile.empty()) {
      m_tlsContext = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
      m_tlsContext->set_options(asio::ssl::context::default_workarounds |
                                asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
      BOOST_OUTCOME_TRYV(LoadTls());
    }
    try {
      if (m_tlsContext) {
        OpenTlsListener();
      } else {
        OpenListener<PlainTraits>([](auto&) {});
      }
    } catch (const std::exception& fault) {
      return MakeStartError(ErrorKind::Unavailable, m_options, fault.what());
    }
    if (m_options.m_callerLimits) {
      Sweep();
    }
    return boost::outcome_v2::success();
  }

  Result<void> LoadTls()
  {
    asio::error_code error;
    m_tlsContext->use_certificate_chain_file(m_options.m_tls.m_certificateFile, error);
    if (!error) {
      m_tlsContext->use_private_key_file(m_options.m_tls.m_keyFile, asio::ssl::context::pem, error);
    }
    if (error) {
      return MakeStartError(
        ErrorKind::Invalid, m_options, "cannot load the TLS files: " + error.message());
    }
    return boost::outcome_v2::success();
  }

  Result<void> ReloadTls()
  {
    if (!m_tlsContext) {
      return boost::outcome_v2::success();
    }
    return LoadTls();
  }

  std::uint16_t Port() const { return m_port; }

  void SetMaxBodyBytes(std::uint64_t aBytes)
  {
    m_connections->SetMaxBodyBytes(std::min(aBytes, kMaxBodyBytes));
  }

  void StopAccepting()
  {
    m_state->m_isClosing = true;
    std::visit(
      [](auto& aServer) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(aServer)>, std::monostate>) {
          if (aServer) {
            aServer->close_sync();
          }
        }
      },
      m_server);
  }

  void Stop()
  {
    StopAccepting();
    m_sweepTimer.cancel();
    m_server = std::monostate{};
  }

private:
  void OpenTlsListener()
  {
    OpenListener<TlsTraits>([this](auto& aSettings) { aSettings.tls_context(m_tlsContext); });
  }

  /// The meter suspends after requests for an upgrade, so it can miss a body.
  void SendBodyTooLong(restinio::request_handle_t aRequest) const
  {
    HttpResponse response = JsonResponse(kPayloadTooLarge, R"({"error":"Payload Too Large"})");
    response.m_headers.push_back({ "Mustardtray-Outcome", "not-run" });
    RequestSink(m_context, std::move(aRequest), m_state).Send(std::move(response));
  }

  HttpResponder Count(const HttpRequest& aRequest, HttpResponder aResponder) const
  {
    return HttpResponder(std::make_shared<CountingSink>(
      std::move(aResponder),
      *m_options.m_traffic,
      m_options.m_trafficName + " " +
        (m_options.m_isTrafficSplitByPath ? aRequest.m_path : aRequest.m_method),
      MessageBytes(aRequest.m_headers, aRequest.m_body) + aRequest.m_path.size()));
  }

  std::size_t MaxLingering() const
  {
    return m_options.m_callerLimits
             ? std::max<std::size_t>(1, m_options.m_maxConnections / kLingeringDivisor)
             : 0;
  }

  ListenerConnectionsOptions MakeConnectionsOptions() const
  {
    ListenerConnectionsOptions options;
    options.m_maxBodyBytes = std::min(m_options.m_maxBodyBytes, kMaxBodyBytes);
    options.m_maxLingering = MaxLingering();
    if (m_options.m_callerLimits) {
      const CallerLimits& limits = *m_options.m_callerLimits;
      const std::size_t reserved = MaxLingering() + kAcceptReserve;
      options.m_name = limits.m_listener;
      options.m_limits.m_maxHeldBytes = limits.m_maxHeldBytes;
      options.m_limits.m_maxConnections =
        m_options.m_maxConnections > 2 * reserved
          ? m_options.m_maxConnections - reserved
          : std::max<std::size_t>(1, m_options.m_maxConnections / 2);
      options.m_limits.m_progressTimeout = limits.m_progressTimeout;
      options.m_limits.m_headerTimeout = limits.m_headerTimeout;
    }
    return options;
  }

  void Sweep()
  {
    m_connections->CloseExpired();
    m_connections->LogClosed();
    m_sweepTimer.expires_after(kSweepPeriod);
    m_sweepTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        Sweep();
      }
    });
  }

  template<typename Traits, typename Customize>
  void OpenListener(Customize aCustomizeSettings)
  {
    restinio::server_settings_t<Traits> settings;
    settings.address(m_options.m_address)
      .port(m_options.m_port)
      .buffer_size(kReadBufferBytes)
      .concurrent_accepts_count(kConcurrentAccepts)
      .max_parallel_connections(m_options.m_maxConnections - MaxLingering())
      .read_next_http_message_timelimit(m_options.m_readTimeout)
      .handle_request_timeout(m_options.m_handlerTimeout)
      .write_http_response_timelimit(m_options.m_readTimeout)
      .incoming_http_msg_limits(MessageLimits(std::is_same_v<Traits, PlainTraits>))
      .socket_options_setter(
        [](auto& aOptions) { aOptions.set_option(asio::ip::tcp::no_delay{ true }); })
      .acceptor_options_setter(
        [](auto& aOptions) { aOptions.set_option(asio::ip::tcp::acceptor::reuse_address{ true }); })
      .acceptor_post_bind_hook(
        [this](asio::ip::tcp::acceptor& aAcceptor) { m_port = aAcceptor.local_endpoint().port(); })
      .request_handler([this](restinio::request_handle_t aRequest) {
        HttpRequest request = ConvertRequest(*aRequest);
        if (!m_options.m_tls.m_certificateFile.empty() ||
            request.m_body.size() <= m_connections->MaxBodyBytes()) {
          HttpResponder responder(
            std::make_shared<RequestSink>(m_context, std::move(aRequest), m_state));
          if (m_options.m_traffic) {
            responder = Count(request, std::move(responder));
          }
          m_handler(std::move(request), std::move(responder));
        } else {
          SendBodyTooLong(std::move(aRequest));
        }
        return restinio::request_accepted();
      });
    aCustomizeSettings(settings);
    gOpeningListener = m_connections;
    auto server = std::make_unique<restinio::http_server_t<Traits>>(
      restinio::external_io_context(m_context), std::move(settings));
    gOpeningListener.reset();
    server->open_sync();
    m_server = std::move(server);
  }

  restinio::incoming_http_msg_limits_t MessageLimits(bool aHasMeter) const
  {
    return restinio::incoming_http_msg_limits_t{}
      .max_url_size(m_options.m_maxHeaderBytes)
      .max_field_name_size(m_options.m_maxHeaderBytes)
      .max_field_value_size(m_options.m_maxHeaderBytes)
      .max_field_count(m_options.m_maxHeaderCount)
      .max_body_size(aHasMeter ? kMaxBodyBytes : m_options.m_maxBodyBytes);
  }

  asio::io_context& m_context;
  HttpServerOptions m_options;
  HttpHandler m_handler;
  std::shared_ptr<ServerState> m_state;
  std::shared_ptr<ListenerConnections> m_connections;
  asio::steady_timer m_sweepTimer;
  std::shared_ptr<asio::ssl::context> m_tlsContext;
  std::uint16_t m_port = 0;
  std::variant<std::monostate,
               std::unique_ptr<restinio::http_server_t<PlainTraits>>,
               std::unique_ptr<restinio::http_server_t<TlsTraits>>>
    m_server;
};

HttpServer::HttpServer(asio::io_context& aContext, HttpServerOptions aOptions, HttpHandler aHandler)
  : m_implementation(
      std::make_unique<Implementation>(aContext, std::move(aOptions), std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::Start()
{
  return m_implementation->Start();
}

std::uint16_t HttpServer::Port() const
{
  return m_implementation->Port();
}

Result<void> HttpServer::ReloadTls()
{
  return m_implementation->ReloadTls();
}

void HttpServer::SetMaxBodyBytes(std::uint64_t aBytes)
{
  m_implementation->SetMaxBodyBytes(aBytes);
}

void HttpServer::StopAccepting()
{
  m_implementation->StopAccepting();
}

void HttpServer::Stop()
{
  m_implementation->Stop();
}

} // namespace mustardtray
