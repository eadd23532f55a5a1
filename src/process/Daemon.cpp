#include "mustardtray/process/Daemon.h"

#include <atomic>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <boost/outcome/try.hpp>

#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/Log.h"
#include "mustardtray/process/Metrics.h"
#include "mustardtray/process/OperatorListener.h"
#include "mustardtray/request/Router.h"
#include "process/ControlPlane.h"
#include "process/OperatorHooks.h"

namespace mustardtray {

namespace {

constexpr Millis kDrainCheckPeriod{ 50 };

HttpServerOptions MakeOptions(const ListenAddress& aListen)
{
  HttpServerOptions options;
  options.m_address = aListen.m_address;
  options.m_port = aListen.m_port;
  return options;
}

HttpServerOptions MakeCallerOptions(const CallerSettings& aCaller)
{
  HttpServerOptions options = MakeOptions(aCaller.m_listen);
  options.m_maxBodyBytes = aCaller.m_maxBodyBytes;
  options.m_maxHeaderBytes = aCaller.m_maxHeaderBytes;
  options.m_maxConnections = aCaller.m_maxConnections;
  options.m_readTimeout = aCaller.m_readTimeout;
  return options;
}

/// Uses the default read timeout and connection limit: entry VMs keep connections to each other
/// open between requests.
HttpServerOptions MakeForwardOptions(const Settings& aSettings)
{
  HttpServerOptions options = MakeOptions(aSettings.m_forward);
  options.m_maxBodyBytes = aSettings.m_caller.m_maxBodyBytes;
  options.m_maxHeaderBytes = 2 * aSettings.m_caller.m_maxHeaderBytes;
  return options;
}

RouterOptions MakeRouterOptions(const Settings& aSettings)
{
  const auto started = static_cast<std::uint64_t>(WallNow().time_since_epoch().count());
  return { aSettings.m_node, started, aSettings.m_outboundAddress };
}

} // namespace

class Daemon::Implementation
{
public:
  explicit Implementation(Settings aSettings)
    : m_settings(std::move(aSettings))
    , m_trafficWork(asio::make_work_guard(m_trafficContext))
    , m_router(m_trafficContext, MakeRouterOptions(m_settings), m_metrics)
    , m_callerServer(m_trafficContext,
                     MakeCallerOptions(m_settings.m_caller),
                     [this](HttpRequest aRequest, HttpResponder aResponder) {
                       m_router.HandleCaller(std::move(aRequest), std::move(aResponder));
                     })
    , m_forwardServer(m_trafficContext,
                      MakeForwardOptions(m_settings),
                      [this](HttpRequest aRequest, HttpResponder aResponder) {
                        m_router.HandleForward(std::move(aRequest), std::move(aResponder));
                      })
    , m_control(m_controlContext,
                m_settings,
                [this](RoutingSnapshotPointer aSnapshot) { Publish(std::move(aSnapshot)); })
    , m_peerServer(m_controlContext,
                   MakeOptions(m_settings.m_peer),
                   [this](const HttpRequest& aRequest, const HttpResponder& aResponder) {
                     m_control.HandlePeer(aRequest, aResponder);
                   })
    , m_healthServer(m_controlContext,
                     MakeOptions(m_settings.m_metrics),
                     [this](const HttpRequest& aRequest, const HttpResponder& aResponder) {
                       HandleHealth(aRequest, aResponder);
                     })
    , m_configStore(m_control.Platform(), MakeConfigStoreClock(m_controlContext))
    , m_operatorListener(m_controlContext,
                         m_settings.m_operator,
                         MakeOperatorHooks(m_control, m_configStore))
    , m_signals(m_controlContext, SIGTERM, SIGINT)
    , m_reloadSignal(m_controlContext, SIGHUP)
  {
  }

  Result<void> Run()
  {
    BOOST_OUTCOME_TRYV(m_callerServer.Start());
    BOOST_OUTCOME_TRYV(m_forwardServer.Start());
    BOOST_OUTCOME_TRYV(m_peerServer.Start());
    BOOST_OUTCOME_TRYV(m_healthServer.Start());
    BOOST_OUTCOME_TRYV(m_operatorListener.Start(m_control.Timers()));
    AwaitReload();
    m_signals.async_wait([this](const asio::error_code& aError, int aSignal) {
      if (!aError) {
        BeginDrain(aSignal);
      }
    });
    Log(LogCategory::Process,
        LogLevel::Info,
        "started",
        "zone",
        m_settings.m_zone,
        "caller",
        m_settings.m_caller.m_listen.Url());
    m_control.Start();
    std::thread traffic([this] { m_trafficContext.run(); });
    m_controlContext.run();
    m_trafficContext.stop();
    traffic.join();
    Log(LogCategory::Process, LogLevel::Info, "stopped");
    return boost::outcome_v2::success();
  }

private:
  void Publish(RoutingSnapshotPointer aSnapshot)
  {
    asio::post(m_trafficContext, [this, snapshot = std::move(aSnapshot)] {
      m_router.Apply(snapshot);
      asio::post(m_controlContext, [this, report = m_router.Report()]() mutable {
        m_control.OnTrafficReport(std::move(report));
      });
    });
  }

  void HandleHealth(const HttpRequest& aRequest, const HttpResponder& aResponder)
  {
    if (aRequest.m_path == "/metrics") {
      aResponder.Send(
        { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.Text() });
    } else if (aRequest.m_path == "/healthz") {
      aResponder.Send(JsonResponse(200, R"({"status":"alive"})"));
    } else if (aRequest.m_path == "/readyz") {
      const bool isReady = m_control.IsReady();
      aResponder.Send(JsonResponse(
        isReady ? 200 : 503, isReady ? R"({"status":"ready"})" : R"({"status":"not ready"})"));
    } else {
      aResponder.Send(JsonResponse(404, R"({"error":"no such route"})"));
    }
  }

  void AwaitReload()
  {
    m_reloadSignal.async_wait([this](const asio::error_code& aError, int) {
      if (!aError) {
        m_operatorListener.Reload();
        AwaitReload();
      }
    });
  }

  void BeginDrain(int aSignal)
  {
    Log(LogCategory::Process, LogLevel::Info, "draining", "signal", aSignal);
    m_drainDeadline = MonotonicNow() + m_settings.m_drainTimeout;
    asio::post(m_trafficContext, [this] { m_callerServer.StopAccepting(); });
    m_control.BeginShutdown();
    m_drainTimer = m_control.Timers().Every(kDrainCheckPeriod, 0, [this] { StopIfDrained(); });
    m_signals.async_wait([this](const asio::error_code& aError, int) {
      if (!aError) {
        m_controlContext.stop();
      }
    });
  }

  void StopIfDrained()
  {
    const bool isOverdue = MonotonicNow() >= m_drainDeadline;
    if (m_control.IsReleased() && m_control.IsIdle()) {
      m_controlContext.stop();
    } else if (isOverdue) {
      Log(LogCategory::Process, LogLevel::Warning, "drain-timeout");
      m_controlContext.stop();
    }
  }

  Settings m_settings;
  Metrics m_metrics;
  asio::io_context m_controlContext{ 1 };
  asio::io_context m_trafficContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_trafficWork;
  Router m_router;
  HttpServer m_callerServer;
  HttpServer m_forwardServer;
  ControlPlane m_control;
  HttpServer m_peerServer;
  HttpServer m_healthServer;
  ConfigStore<PlatformClient> m_configStore;
  OperatorListener m_operatorListener;
  asio::signal_set m_signals;
  asio::signal_set m_reloadSignal;
  TimerHandle m_drainTimer;
  TimePoint m_drainDeadline;
};

Daemon::Daemon(Settings aSettings)
  : m_implementation(std::make_unique<Implementation>(std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

Result<void> Daemon::Run()
{
  return m_implementation->Run();
}

} // namespace mustardtray
