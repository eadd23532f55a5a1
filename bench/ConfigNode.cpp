#include "bench/ConfigNode.h"

#include <charconv>
#include <ctime>
#include <stdexcept>

#include <asio/post.hpp>
#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr std::string_view kVersionPath = "/peer/version";
constexpr Millis kHeartbeatTimeout{ 1'000 };
constexpr double kHeartbeatJitter = 0.2;
constexpr double kNanosPerSecond = 1e9;

HttpServerOptions MakeServerOptions(std::uint16_t aPort)
{
  HttpServerOptions options;
  options.m_port = aPort;
  return options;
}

PlatformClientOptions MakePlatformOptions(const std::string& aUrl)
{
  PlatformClientOptions options;
  options.m_url = aUrl;
  return options;
}

} // namespace

template<typename F>
auto ConfigNode::RunOnThread(F aFunction)
{
  std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
  auto result = task.get_future();
  asio::post(m_context, [&task] { task(); });
  return result.get();
}

ConfigNode::ConfigNode(ConfigNodeOptions aOptions)
  : m_options(std::move(aOptions))
  , m_work(asio::make_work_guard(m_context))
  , m_platform(m_context, m_http, MakePlatformOptions(m_options.m_platformUrl))
  , m_config(m_platform,
             m_timers,
             m_http,
             m_options.m_peers,
             [this](const ConfigurationPointer& aConfiguration) {
               m_movedBack = m_movedBack || aConfiguration->m_version < m_version;
               m_version = aConfiguration->m_version;
             })
  , m_server(m_context,
             MakeServerOptions(m_options.m_peerPort),
             [this](const HttpRequest& aRequest, const HttpResponder& aResponder) {
               HandlePeer(aRequest, aResponder);
             })
{
  const Result<void> started = m_server.Start();
  if (started.has_error()) {
    throw std::runtime_error(started.error().Text());
  }
  m_config.Start(m_options.m_poll);
  m_beat = m_timers.Every(m_options.m_heartbeat, kHeartbeatJitter, [this] { SendHeartbeats(); });
  m_thread = std::thread([this] { m_context.run(); });
}

ConfigNode::~ConfigNode()
{
  Thaw();
  RunOnThread([this] {
    m_beat.Cancel();
    m_server.Stop();
  });
  m_context.stop();
  m_thread.join();
}

std::future<ApplyOutcome> ConfigNode::Apply(ApplyRequest aRequest)
{
  auto outcome = std::make_shared<std::promise<ApplyOutcome>>();
  asio::post(m_context, [this, outcome, request = std::move(aRequest)] {
    m_config.MakeHooks().m_apply(
      request, [outcome](ApplyOutcome aOutcome) { outcome->set_value(std::move(aOutcome)); });
  });
  return outcome->get_future();
}

void ConfigNode::Freeze()
{
  m_frozen = true;
  asio::post(m_context, [this] { m_frozen.wait(true); });
}

void ConfigNode::Thaw()
{
  m_frozen = false;
  m_frozen.notify_all();
}

ConfigNodeCost ConfigNode::Cost()
{
  return RunOnThread([this] {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    const PlatformClientCounts counts = m_platform.Counts();
    return ConfigNodeCost{ static_cast<double>(used.tv_sec) +
                             static_cast<double>(used.tv_nsec) / kNanosPerSecond,
                           counts.m_bytesSent + counts.m_bytesReceived };
  });
}

void ConfigNode::HandlePeer(const HttpRequest& aRequest, const HttpResponder& aResponder)
{
  if (aRequest.m_path == kPeerConfigPath) {
    aResponder.Send(m_config.Agent().MakePeerResponse(aRequest));
    return;
  }
  const std::string version = aRequest.QueryValue("version").value_or("0");
  std::uint64_t number = 0;
  std::from_chars(version.data(), version.data() + version.size(), number);
  m_config.Agent().OnPeerVersion(aRequest.QueryValue("from").value_or(""), number);
  aResponder.Send(JsonResponse(200, "{}"));
}

void ConfigNode::SendHeartbeats()
{
  for (const std::string& peer : m_options.m_peers) {
    HttpCall call;
    call.m_url = fmt::format("{}{}?from=http://127.0.0.1:{}&version={}",
                             peer,
                             kVersionPath,
                             m_options.m_peerPort,
                             m_config.Agent().Version());
    call.m_timeout = kHeartbeatTimeout;
    m_http.Start(std::move(call), [](const HttpCallResult&) {});
  }
}

} // namespace mustardtray
