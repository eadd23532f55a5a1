#include "node/NodeDaemon.h"

#include <csignal>
#include <random>

#include <asio/signal_set.hpp>
#include <fmt/format.h>

#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/Log.h"
#include "node/FleetHolder.h"
#include "node/JobGateway.h"
#include "node/Membership.h"
#include "node/MinionDirectory.h"
#include "node/PeerInterface.h"
#include "node/PeerMessages.h"
#include "node/PoolOwner.h"
#include "node/ShardDirectory.h"
#include "node/TableFollower.h"
#include "platform/Messages.h"

namespace mustardtray::node {

namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
/// A node that the store has not answered for this long is not ready: others may be.
constexpr Millis kStoreSilence{ 2'500 };
constexpr Millis kSummaryPeriod{ 5'000 };
/// Minions write all the time; a minion that drains must get no work after about two seconds.
constexpr Millis kMinionPause{ 350 };
constexpr Millis kIdleTimeout{ 60'000 };
constexpr Millis kFleetTimeout{ 600 };
/// Before the kill that follows SIGTERM: answers under way are out by then.
constexpr Millis kStopMargin{ 1'200 };

std::string MakeIncarnation()
{
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

class NodeDaemon
{
public:
  explicit NodeDaemon(const platform::NodeSettings& aSettings)
    : m_settings(aSettings)
    , m_timers(m_io)
    , m_http(m_io)
    , m_store(m_http, aSettings.m_store)
    , m_minionClient(m_http, aSettings.m_advisor)
    , m_machineClient(m_http, aSettings.m_machineApi)
    , m_context{ m_io,
                 m_timers,
                 m_http,
                 m_store,
                 m_minionClient,
                 m_machineClient,
                 m_settings,
                 MakeIncarnation(),
                 {},
                 {},
                 {} }
    , m_minions(
        m_context,
        [this](const std::string& aPool) { return FindOwner(aPool); },
        [this](const job::MachineIncarnation& aLife) {
          for (const auto& [pool, owner] : m_owners) {
            owner->OnMachineLife(aLife);
          }
        })
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
  {
  }

  int Run()
  {
    if (!StartListeners()) {
      return kFailed;
    }
    const std::string peerAddress =
      fmt::format("{}:{}", m_settings.m_ip, m_settings.m_firstPeerPort);
    m_membership = std::make_unique<Membership>(
      m_context,
      peerAddress,
      MembershipHooks{ [this](const job::OwnerRow& aClaim) { OnClaimed(aClaim); },
                       [this](const std::string& aPool) { OnPoolLost(aPool); },
                       [this] { DropEverything(); } });
    m_gateway = std::make_unique<JobGateway>(
      m_context, *m_membership, [this](const std::string& aPool) { return FindOwner(aPool); });
    m_peerInterface =
      std::make_unique<PeerInterface>([this](const std::string& aPool) { return FindOwner(aPool); },
                                      [this] { m_membership->Hasten(); });
    m_shardDirectory = std::make_unique<ShardDirectory>(m_context, [this] {
      m_membership->Hasten();
      // Minions that came before their pool's shards were known.
      m_minions.OfferAll();
    });
    m_operatorFollower = std::make_unique<TableFollower>(
      m_context,
      FollowerOptions{ platform::kOperatorTable, true, Millis{ 900 }, Millis{ 0 } },
      [this](const std::vector<platform::Row>& aRows, bool) { OnOperatorRows(aRows); });
    WaitForSignal();
    m_summaryTimer = m_timers.Every(kSummaryPeriod, 0, [this] { LogSummary(); });
    Log(LogCategory::Process,
        LogLevel::Info,
        "started",
        "peer",
        peerAddress,
        "incarnation",
        m_context.m_incarnation);
    m_io.run();
    Log(LogCategory::Process, LogLevel::Info, "stopped");
    return kDone;
  }

private:
  HttpServerOptions Listener(const std::string& aIp, std::uint16_t aPort) const
  {
    // A part of the descriptors stays for calls out.
    constexpr std::size_t kShareForCalls = 2;
    HttpServerOptions options;
    options.m_address = aIp;
    options.m_port = aPort;
    options.m_readTimeout = kIdleTimeout;
    options.m_maxConnections = m_settings.m_maxDescriptors / kShareForCalls;
    return options;
  }

  bool StartListener(std::unique_ptr<HttpServer>& aServer,
                     const std::string& aIp,
                     std::uint16_t aPort,
                     HttpHandler aHandler)
  {
    aServer = std::make_unique<HttpServer>(m_io, Listener(aIp, aPort), std::move(aHandler));
    const auto started = aServer->Start();
    if (!started) {
      Log(LogCategory::Process, LogLevel::Error, "listen-failed", "error", started.error().Text());
    }
    return started.has_value();
  }

  bool StartListeners()
  {
    return StartListener(m_callerServer,
                         m_settings.m_callerListener.m_ip,
                         m_settings.m_callerListener.m_port,
                         [this](HttpRequest aRequest, HttpResponder aResponder) {
                           m_gateway->Handle(std::move(aRequest), std::move(aResponder));
                         }) &&
           StartListener(m_readyServer,
                         m_settings.m_readyListener.m_ip,
                         m_settings.m_readyListener.m_port,
                         [this](const HttpRequest&, const HttpResponder& aResponder) {
                           aResponder.Send(JsonResponse(IsReady() ? 200 : 503, "{}"));
                         }) &&
           StartListener(m_peerServer,
                         m_settings.m_ip,
                         m_settings.m_firstPeerPort,
                         [this](HttpRequest aRequest, HttpResponder aResponder) {
                           m_peerInterface->Handle(aRequest, std::move(aResponder));
                         });
  }

  bool IsReady() const
  {
    const TimePoint now = LeaseClockNow();
    const bool storeAnswers = now - m_membership->StoreAnsweredAt() < kStoreSilence;
    return !m_isStopping && m_context.m_deployment.m_version > 0 && m_membership->KnowsOwners() &&
           storeAnswers;
  }

  // What the store says.

  void OnOperatorRows(const std::vector<platform::Row>& aRows)
  {
    for (const platform::Row& row : aRows) {
      if (row.m_isDeleted) {
        continue;
      }
      if (row.m_at.m_key == platform::kDeploymentKey) {
        OnDeployment(row);
      } else if (row.m_at.m_key.starts_with(platform::kWaveKeyPrefix)) {
        OnWave(row);
      }
    }
  }

  void OnDeployment(const platform::Row& aRow)
  {
    auto deployment = platform::DecodeDeployment(aRow.m_value);
    if (!deployment) {
      Log(LogCategory::Configuration,
          LogLevel::Error,
          "configuration-unreadable",
          "version",
          aRow.m_version,
          "error",
          deployment.error().Text());
      return;
    }
    // Never back: an answer that was under way may be older than what is in force.
    if (deployment.value().m_version <= m_context.m_deployment.m_version) {
      return;
    }
    m_context.m_deployment = std::move(deployment.value());
    Log(LogCategory::Configuration,
        LogLevel::Info,
        "configuration-in-force",
        "version",
        m_context.m_deployment.m_version,
        "queues",
        m_context.m_deployment.m_queues.size());
    m_shardDirectory->LookUp();
    m_membership->Hasten();
  }

  void OnWave(const platform::Row& aRow)
  {
    auto wave = platform::DecodeWave(aRow.m_value);
    if (!wave) {
      Log(LogCategory::Fleet,
          LogLevel::Error,
          "wave-unreadable",
          "key",
          aRow.m_at.m_key,
          "error",
          wave.error().Text());
      return;
    }
    m_waves[wave.value().m_number] = wave.value();
    if (m_fleet) {
      m_fleet->AddWave(wave.value());
    }
  }

  void OnInboxRows(const std::vector<platform::Row>& aRows)
  {
    for (const platform::Row& row : aRows) {
      if (PoolOwner* owner = FindOwner(row.m_at.m_part)) {
        owner->OnInboxRow(row);
      }
    }
  }

  // Pools.

  /// Only owners need the minions and the inbox: the store's calls are limited and priced.
  void FollowForOwners()
  {
    const bool isNeeded = !m_owners.empty() || m_fleet;
    if (!isNeeded) {
      m_minionFollower.reset();
      m_inboxFollower.reset();
      m_minions.Clear();
      return;
    }
    if (m_minionFollower) {
      return;
    }
    m_minionFollower = std::make_unique<TableFollower>(
      m_context,
      FollowerOptions{ platform::kMinionTable, true, Millis{ 1'000 }, kMinionPause },
      [this](const std::vector<platform::Row>& aRows, bool aIsComplete) {
        m_minions.OnRows(aRows, aIsComplete);
      });
    m_inboxFollower = std::make_unique<TableFollower>(
      m_context,
      FollowerOptions{ kInboxTable, false, Millis{ 2'000 }, Millis{ 0 } },
      [this](const std::vector<platform::Row>& aRows, bool) { OnInboxRows(aRows); });
  }

  PoolOwner* FindOwner(const std::string& aPool) const
  {
    const auto found = m_owners.find(aPool);
    return found == m_owners.end() ? nullptr : found->second.get();
  }

  void OnClaimed(const job::OwnerRow& aClaim)
  {
    const std::string pool = aClaim.m_pool;
    const auto onLost = [this, pool] {
      // Not from within the part that reports it.
      m_lostPools.push_back(m_timers.After(Micros{ 0 }, [this, pool] { OnPoolLost(pool); }));
    };
    if (pool == kFleetPart) {
      m_fleet = std::make_unique<FleetHolder>(
        m_context,
        aClaim,
        [this](const std::string& aPool,
               const std::set<std::string>& aCordons,
               std::function<void(Result<FleetReport>)> aDone) {
          SyncPool(aPool, aCordons, std::move(aDone));
        },
        onLost);
      for (const auto& [number, wave] : m_waves) {
        m_fleet->AddWave(wave);
      }
      FollowForOwners();
      return;
    }
    auto owner = std::make_unique<PoolOwner>(m_context, aClaim, onLost);
    m_minions.OfferTo(*owner);
    m_owners[pool] = std::move(owner);
    FollowForOwners();
  }

  void OnPoolLost(const std::string& aPool)
  {
    Log(LogCategory::Membership, LogLevel::Warning, "pool-lost", "pool", aPool);
    m_owners.erase(aPool);
    if (aPool == kFleetPart) {
      m_fleet.reset();
    }
    m_membership->Forget(aPool);
    FollowForOwners();
  }

  void DropEverything()
  {
    m_owners.clear();
    m_fleet.reset();
  }

  // Peers.

  void SyncPool(const std::string& aPool,
                const std::set<std::string>& aCordons,
                std::function<void(Result<FleetReport>)> aDone)
  {
    if (PoolOwner* owner = FindOwner(aPool); owner && owner->IsStaying()) {
      aDone(owner->SyncFleet(aCordons));
      return;
    }
    const std::string address = m_membership->OwnerAddress(aPool);
    if (address.empty()) {
      aDone(Error{ ErrorKind::Unavailable, "ask pool owner", aPool, "no owner" });
      return;
    }
    HttpCall call = MakePeerCall(
      address, kPeerFleetPath, EncodeFleetQuestion({ aPool, aCordons }), kFleetTimeout);
    m_http.Start(std::move(call), [address, done = std::move(aDone)](HttpCallResult aResult) {
      if (!aResult) {
        done(aResult.error().m_error);
      } else if (aResult.value().m_status != 200) {
        done(Error{ ErrorKind::Refused, "ask pool owner", address, "not the owner" });
      } else {
        done(DecodeFleetReport(aResult.value().m_body));
      }
    });
  }

  void LogSummary() const
  {
    const platform::StoreCallCounts& counts = m_store.Counts();
    Log(LogCategory::Process,
        LogLevel::Info,
        "summary",
        "store-writes",
        counts.m_writes,
        "store-reads",
        counts.m_reads,
        "store-follows",
        counts.m_follows,
        "store-failures",
        counts.m_failures,
        "pools",
        m_owners.size(),
        "lease-left-ms",
        m_context.m_lease.Left().count());
  }

  // Stopping.

  void WaitForSignal()
  {
    m_signals.async_wait([this](const asio::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        Log(LogCategory::Process, LogLevel::Info, "reload");
        WaitForSignal();
        return;
      }
      BeginStopping();
    });
  }

  void BeginStopping()
  {
    Log(LogCategory::Process, LogLevel::Info, "stopping");
    m_isStopping = true;
    m_membership->BeginLeaving();
    for (auto& [pool, owner] : m_owners) {
      owner->Drain([this, name = pool] {
        if (PoolOwner* drained = FindOwner(name)) {
          HandOver(drained->Claim());
        }
      });
    }
    if (m_fleet) {
      m_fleet->Drain([this] { HandOver(m_fleet->Claim()); });
    }
    const Millis serveFor = std::max(m_settings.m_bounds.m_termGrace - kStopMargin, kStopMargin);
    m_stopTimer = m_timers.After(serveFor, [this] { FinishStopping(); });
  }

  void HandOver(const job::OwnerRow& aClaim)
  {
    const std::string pool = aClaim.m_pool;
    m_membership->Release(aClaim, [this, pool](const std::string& aSuccessor) {
      Log(LogCategory::Membership, LogLevel::Info, "pool-released", "pool", pool, "to", aSuccessor);
      m_lostPools.push_back(m_timers.After(Micros{ 0 }, [this, pool] {
        m_owners.erase(pool);
        if (pool == kFleetPart) {
          m_fleet.reset();
        }
        const std::string address = m_membership->OwnerAddress(pool);
        if (!address.empty()) {
          // Only a hint: the successor also sees the row.
          m_http.Start(MakePeerCall(address, kPeerReleasedPath, {}, kFleetTimeout),
                       [](const HttpCallResult&) {});
        }
      }));
    });
  }

  void FinishStopping()
  {
    m_callerServer->StopAccepting();
    m_exitTimer = m_timers.After(kStopMargin / 2, [this] { m_io.stop(); });
  }

  platform::NodeSettings m_settings;
  asio::io_context m_io;
  TimerService m_timers;
  HttpClient m_http;
  platform::StoreClient m_store;
  platform::MinionClient m_minionClient;
  platform::MachineClient m_machineClient;
  NodeContext m_context;
  MinionDirectory m_minions;
  asio::signal_set m_signals;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<JobGateway> m_gateway;
  std::unique_ptr<PeerInterface> m_peerInterface;
  std::unique_ptr<ShardDirectory> m_shardDirectory;
  std::unique_ptr<TableFollower> m_operatorFollower;
  std::unique_ptr<TableFollower> m_minionFollower;
  std::unique_ptr<TableFollower> m_inboxFollower;
  std::map<std::string, std::unique_ptr<PoolOwner>> m_owners;
  std::unique_ptr<FleetHolder> m_fleet;
  std::map<std::uint64_t, job::WaveRequest> m_waves;
  std::vector<TimerHandle> m_lostPools;
  TimerHandle m_summaryTimer;
  TimerHandle m_stopTimer;
  TimerHandle m_exitTimer;
  bool m_isStopping = false;
  std::unique_ptr<HttpServer> m_callerServer;
  std::unique_ptr<HttpServer> m_readyServer;
  std::unique_ptr<HttpServer> m_peerServer;
};

} // namespace

int RunNode(const platform::NodeSettings& aSettings)
{
  StartLogging(LogLevel::Info, aSettings.m_nodeName);
  int result = kDone;
  {
    NodeDaemon daemon(aSettings);
    result = daemon.Run();
  }
  StopLogging();
  return result;
}

} // namespace mustardtray::node
