#pragma once

/// Keeps one node's configuration up to date: performs the I/O that ConfigSync decides on. Used on
/// the control thread only. Must outlive the platform calls that it starts.

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/ConfigSync.h"
#include "mustardtray/process/Log.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/TimerService.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// Path on the peer listener that returns the changes since a version: ?since=VERSION.
inline constexpr std::string_view kPeerConfigPath = "/peer/config";

struct ConfigAgentHooks
{
  /// Requests the changes since aSince from a peer; see MakePeerFetch().
  std::function<void(const std::string& aPeer, std::uint64_t aSince, Callback<ConfigDelta>)>
    m_fetchFromPeer;
  /// Called when a higher version has become active.
  std::function<void(ConfigurationPointer)> m_onConfiguration;
};

/// Returns a function that fetches over HTTP. A peer is identified by the URL of its peer listener.
std::function<void(const std::string&, std::uint64_t, Callback<ConfigDelta>)> MakePeerFetch(
  HttpClient& aClient);

/// Response to GET /peer/config?since=VERSION; status 400 when VERSION is not a number.
HttpResponse MakePeerConfigResponse(const ConfigReplica& aReplica, const HttpRequest& aRequest);

/// Parses the replica's configuration. Logs an error and returns null when this build cannot read
/// it.
ConfigurationPointer ParseReplica(const ConfigReplica& aReplica);

template<PlatformAccess P>
class ConfigAgent
{
public:
  ConfigAgent(P& aPlatform, ConfigAgentHooks aHooks, std::vector<std::string> aSeeds = {})
    : m_platform(aPlatform)
    , m_hooks(std::move(aHooks))
    , m_sync(std::move(aSeeds))
  {
  }

  /// Polls at once and from then on about every aPeriod.
  void Start(TimerService& aTimers, Millis aPeriod)
  {
    m_timer = aTimers.Every(aPeriod, kPollJitter, [this] { Poll(); });
    Poll();
  }

  void Poll() { RunStep(m_sync.OnPoll()); }
  void OnPeerVersion(const std::string& aPeer, std::uint64_t aVersion)
  {
    RunStep(m_sync.OnPeerVersion(aPeer, aVersion));
  }
  void OnPeerGone(const std::string& aPeer) { m_sync.OnPeerGone(aPeer); }

  /// The active configuration; null before the first.
  const ConfigurationPointer& Active() const { return m_active; }
  /// The active version, which heartbeats and /operator/status report; 0 before the first.
  std::uint64_t Version() const { return m_active ? m_active->m_version : 0; }
  const ConfigReplica& Replica() const { return m_sync.Replica(); }
  bool IsPlatformReachable() const { return m_sync.IsPlatformReachable(); }
  HttpResponse MakePeerResponse(const HttpRequest& aRequest) const
  {
    return MakePeerConfigResponse(Replica(), aRequest);
  }

private:
  static constexpr double kPollJitter = 0.2;

  void RunStep(const SyncStep& aStep)
  {
    if (aStep.m_hasAdvanced) {
      ActivateReplica();
    }
    if (aStep.m_readHead) {
      ReadHead();
    }
    if (aStep.m_scanSince) {
      Scan(*aStep.m_scanSince);
    }
    if (!aStep.m_fetchPeer.empty()) {
      FetchFromPeer(aStep.m_fetchPeer);
    }
  }

  void ActivateReplica()
  {
    ConfigurationPointer parsed = ParseReplica(Replica());
    if (parsed) {
      m_active = std::move(parsed);
      m_hooks.m_onConfiguration(m_active);
    }
  }

  void ReadHead()
  {
    m_platform.Read({ std::string(kConfigHeadKey) }, [this](const Result<std::vector<Row>>& aRows) {
      if (aRows.has_error()) {
        RunStep(m_sync.OnHead(aRows.error()));
      } else if (aRows.value().empty()) {
        RunStep(m_sync.OnHead(ConfigHead{}));
      } else {
        RunStep(m_sync.OnHead(ParseConfigHead(aRows.value().front().m_value)));
      }
    });
  }

  void Scan(std::uint64_t aSince)
  {
    m_platform.Scan(
      std::string(kConfigPrefix), aSince, [this, aSince](const Result<ScanPage>& aPage) {
        RunStep(m_sync.OnScan(aPage, aSince));
      });
  }

  void FetchFromPeer(const std::string& aPeer)
  {
    m_hooks.m_fetchFromPeer(
      aPeer, m_sync.PeerSince(), [this, aPeer](const Result<ConfigDelta>& aDelta) {
        if (aDelta.has_error()) {
          Log(LogCategory::Configuration,
              LogLevel::Info,
              "peer-fetch-failed",
              "peer",
              aPeer,
              "error",
              aDelta.error().Text());
        }
        RunStep(m_sync.OnPeerDelta(aPeer, aDelta));
      });
  }

  P& m_platform;
  ConfigAgentHooks m_hooks;
  ConfigSync m_sync;
  ConfigurationPointer m_active;
  TimerHandle m_timer;
};

} // namespace mustardtray
