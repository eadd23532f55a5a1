#pragma once

/// Keeps one node's configuration up to date: the shell around ConfigSync. Runs on the control
/// thread and must outlive its calls.

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

/// Path on the peer listener at which a node hands out what a peer lacks: ?since=VERSION.
inline constexpr std::string_view kPeerConfigPath = "/peer/config";

struct ConfigAgentHooks
{
  /// Asks a peer for what leads beyond a version; see MakePeerFetch().
  std::function<void(const std::string& aPeer, std::uint64_t aSince, Callback<ConfigDelta>)>
    m_fetchFromPeer;
  /// A higher version is in force.
  std::function<void(ConfigurationPointer)> m_onConfiguration;
};

/// Fetches by HTTP; a peer is named by the URL of its peer listener.
std::function<void(const std::string&, std::uint64_t, Callback<ConfigDelta>)> MakePeerFetch(
  HttpClient& aClient);

/// Answers GET /peer/config?since=VERSION.
HttpResponse AnswerPeerConfig(const ConfigReplica& aReplica, const HttpRequest& aRequest);

/// Parses what a replica holds; null, with a log line, when this build can't read it.
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

  /// Polls now and then about every aPeriod.
  void Start(TimerService& aTimers, Millis aPeriod)
  {
    m_timer = aTimers.Every(aPeriod, kPollJitter, [this] { Poll(); });
    Poll();
  }

  void Poll() { Follow(m_sync.OnPoll()); }
  void OnPeerVersion(const std::string& aPeer, std::uint64_t aVersion)
  {
    Follow(m_sync.OnPeerVersion(aPeer, aVersion));
  }
  void OnPeerGone(const std::string& aPeer) { m_sync.OnPeerGone(aPeer); }

  /// Configuration in force; null before the first.
  const ConfigurationPointer& InForce() const { return m_inForce; }
  /// Version in force: what heartbeats and /operator/status report. 0 before the first.
  std::uint64_t Version() const { return m_inForce ? m_inForce->m_version : 0; }
  const ConfigReplica& Replica() const { return m_sync.Replica(); }
  bool IsPlatformReachable() const { return m_sync.IsPlatformReachable(); }
  HttpResponse AnswerPeer(const HttpRequest& aRequest) const
  {
    return AnswerPeerConfig(Replica(), aRequest);
  }

private:
  static constexpr double kPollJitter = 0.2;

  void Follow(const SyncStep& aStep)
  {
    if (aStep.m_advanced) {
      PutInForce();
    }
    if (aStep.m_readHead) {
      ReadHead();
    }
    if (aStep.m_scanSince) {
      Scan(*aStep.m_scanSince);
    }
    if (!aStep.m_fetchPeer.empty()) {
      FetchFrom(aStep.m_fetchPeer);
    }
  }

  void PutInForce()
  {
    ConfigurationPointer parsed = ParseReplica(Replica());
    if (parsed) {
      m_inForce = std::move(parsed);
      m_hooks.m_onConfiguration(m_inForce);
    }
  }

  void ReadHead()
  {
    m_platform.Read({ std::string(kConfigHeadKey) }, [this](const Result<std::vector<Row>>& aRows) {
      if (aRows.has_error()) {
        Follow(m_sync.OnHead(aRows.error()));
      } else if (aRows.value().empty()) {
        Follow(m_sync.OnHead(ConfigHead{}));
      } else {
        Follow(m_sync.OnHead(ParseConfigHead(aRows.value().front().m_value)));
      }
    });
  }

  void Scan(std::uint64_t aSince)
  {
    m_platform.Scan(
      std::string(kConfigPrefix), aSince, [this, aSince](const Result<ScanPage>& aPage) {
        Follow(m_sync.OnScan(aPage, aSince));
      });
  }

  void FetchFrom(const std::string& aPeer)
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
        Follow(m_sync.OnPeerDelta(aPeer, aDelta));
      });
  }

  P& m_platform;
  ConfigAgentHooks m_hooks;
  ConfigSync m_sync;
  ConfigurationPointer m_inForce;
  TimerHandle m_timer;
};

} // namespace mustardtray
