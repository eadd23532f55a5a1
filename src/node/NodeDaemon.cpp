#include "node/NodeDaemon.h"

#include <csignal>
#include <malloc.h>

#include <asio/signal_set.hpp>
#include <fmt/format.h>

#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/EventLoop.h"
#include "mustardtray/process/Log.h"
#include "node/ConfigurationRelay.h"
#include "node/FleetOrderController.h"
#include "node/JobGateway.h"
#include "node/ListenerOptions.h"
#include "node/Membership.h"
#include "node/MinionDirectory.h"
#include "node/NodeMonitor.h"
#include "node/PeerHandler.h"
#include "node/PeerMessages.h"
#include "node/PoolHandover.h"
#include "node/PoolOwner.h"
#include "node/ShardDirectory.h"
#include "node/TableFollower.h"
#include "platform/Messages.h"

namespace mustardtray::node {

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kMaxUnexpectedErrors = 20;
/// A node reports that it is not ready when the store has not answered it for this long; other
/// nodes may still reach the store.
constexpr Millis kMaxStoreSilence{ 2'500 };
/// Minions write their rows continuously, so polls are spaced. A minion that starts to drain must
/// get no work after about two seconds.
constexpr Millis kMinionPollInterval{ 350 };
/// Longest wait of one poll of the operator's rows where accounts are not enforced.
constexpr Millis kOperatorPollWait{ 900 };
constexpr Millis kPeerCallTimeout{ 600 };
/// Time before the SIGKILL that follows SIGTERM; pending responses must have been sent by then.
constexpr Millis kStopMargin{ 1'200 };
/// For the way of the last responses, before the process ends.
constexpr Millis kResponseTime{ 100 };
/// Part of the time to stop that is left for handing over pools.
constexpr Millis kHandOverTime{ 600 };

/// Allocations of this size and above go back to the system when they are freed.
constexpr int kMinMappedBytes = 65'536;

/// By default, glibc raises the threshold to the size of the longest message that was freed. Bodies
/// then leave partly used heap pages behind, which stay resident.
void KeepMemoryWithin(std::size_t aMemoryMb)
{
#ifdef __GLIBC__
  if (aMemoryMb > 0) {
    mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  }
#endif
}

class NodeDaemon
{
public:
  explicit NodeDaemon(const platform::NodeSettings& aSettings)
    : m_settings(aSettings)
    , m_timers(m_io)
    , m_http(m_io, {}, aSettings.m_linkBytesPerSecond)
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
                 {},
                 {} }
    , m_minionDirectory(
        m_context,
        [this](const std::string& aPool) { return FindOwner(aPool); },
        [this](const job::MachineIncarnation& aIncarnation) {
          for (const auto& [pool, owner] : m_owners) {
            owner->OnMachineIncarnation(aIncarnation);
          }
        })
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    , m_linkLoad(m_context)
    , m_monitor(m_context, [this] { return m_owners.size(); })
  {
  }

  int Run()
  {
    if (!StartListeners()) {
      return kExitFailure;
    }
    const std::string peerAddress =
      platform::SocketAddress{ m_settings.m_ip, m_settings.m_firstPeerPort }.Text();
    m_membership = std::make_unique<Membership>(
      m_context,
      peerAddress,
      MembershipCallbacks{ [this](const job::OwnerRow& aClaim) { OnClaimed(aClaim); },
                           [this](const std::string& aPool) { OnPoolLost(aPool); },
                           [this] { DropAllPools(); } });
    m_configurationRelay = std::make_unique<ConfigurationRelay>(
      m_context, [this] { return m_membership->LivePeers(); }, [this] { OnNewConfiguration(); });
    m_context.m_callShard = [this](const std::string& aShard,
                                   const char* aPath,
                                   std::string aBody,
                                   Millis aTimeout,
                                   std::function<void(Result<std::string>)> aDone) {
      CallShard(aShard, aPath, std::move(aBody), aTimeout, std::move(aDone));
    };
    const auto findOwner = [this](const std::string& aPool) { return FindOwner(aPool); };
    m_gateway =
      std::make_unique<JobGateway>(m_context, *m_membership, *m_configurationRelay, findOwner);
    m_peerHandler = std::make_unique<PeerHandler>(
      findOwner, *m_configurationRelay, m_linkLoad, [this] { m_membership->RequestDecision(); });
    m_shardDirectory = std::make_unique<ShardDirectory>(m_context, [this] {
      m_membership->RequestDecision();
      // Minions may have registered before their pool's number of shards was known.
      m_minionDirectory.NotifyAllOwners();
    });
    m_operatorFollower = std::make_unique<TableFollower>(
      m_context,
      TableFollowerOptions{
        platform::kOperatorTable, true, OperatorPollWait(), Millis{ 0 }, false, true },
      [this](const std::vector<platform::Row>& aRows, bool) { OnOperatorRows(aRows); });
    WaitForSignal();
    Log(LogCategory::Process,
        LogLevel::Info,
        "started",
        "peer",
        peerAddress,
        "incarnation",
        m_context.m_incarnation);
    const bool hasRun = RunEventLoop(m_io, kMaxUnexpectedErrors);
    Log(LogCategory::Process, LogLevel::Info, "stopped");
    return hasRun ? kExitSuccess : kExitFailure;
  }

private:
  bool StartListener(std::unique_ptr<HttpServer>& aServer,
                     HttpServerOptions aOptions,
                     HttpHandler aHandler)
  {
    aOptions.m_traffic = &m_http.Traffic();
    aServer = std::make_unique<HttpServer>(m_io, std::move(aOptions), std::move(aHandler));
    const auto started = aServer->Start();
    if (!started) {
      Log(LogCategory::Process, LogLevel::Error, "listen-failed", "error", started.error().Text());
    }
    return started.has_value();
  }

  bool StartListeners()
  {
    return StartListener(m_callerServer,
                         MakeCallerListenerOptions(m_settings),
                         [this](HttpRequest aRequest, HttpResponder aResponder) {
                           m_gateway->Handle(std::move(aRequest), std::move(aResponder));
                         }) &&
           StartListener(m_readyServer,
                         MakeReadyListenerOptions(m_settings),
                         [this](const HttpRequest&, const HttpResponder& aResponder) {
                           aResponder.Send(JsonResponse(IsReady() ? 200 : 503, "{}"));
                         }) &&
           StartListener(m_peerServer,
                         MakePeerListenerOptions(m_settings),
                         [this](HttpRequest aRequest, HttpResponder aResponder) {
                           m_peerHandler->Handle(aRequest, std::move(aResponder));
                         });
  }

  bool IsReady() const
  {
    const TimePoint now = LeaseClockNow();
    const bool isStoreAnswering = now - m_membership->StoreAnsweredAt() < kMaxStoreSilence;
    return !m_isStopping && m_context.m_deployment.m_version > 0 && m_membership->HasOwnerView() &&
           isStoreAnswering;
  }

  // Rows of the store.

  void OnOperatorRows(const std::vector<platform::Row>& aRows)
  {
    for (const platform::Row& row : aRows) {
      if (row.m_isDeleted) {
        continue;
      }
      if (row.m_rowId.m_key == platform::kDeploymentKey) {
        m_configurationRelay->Apply(row.m_value, "store");
      } else if (row.m_rowId.m_key.starts_with(platform::kWaveKeyPrefix)) {
        OnWave(row);
      }
    }
    m_configurationRelay->OnStoreAnswer(m_operatorFollower->AskedAt());
  }

  Millis OperatorPollWait() const
  {
    return AreAccountsEnforced(m_context) ? kConfigurationPollWait : kOperatorPollWait;
  }

  void OnNewConfiguration()
  {
    m_callerServer->SetMaxBodyBytes(m_context.m_deployment.m_maxBodyBytes);
    m_operatorFollower->SetWait(OperatorPollWait());
    for (const auto& [pool, owner] : m_owners) {
      owner->OnConfiguration();
    }
    m_shardDirectory->FollowUntilComplete();
    m_membership->RequestDecision();
  }

  void OnWave(const platform::Row& aRow)
  {
    auto wave = platform::DecodeWave(aRow.m_value);
    if (!wave) {
      Log(LogCategory::Fleet,
          LogLevel::Error,
          "wave-unreadable",
          "key",
          aRow.m_rowId.m_key,
          "error",
          wave.error().Text());
      return;
    }
    m_knownWaves[wave.value().m_number] = wave.value();
    if (m_orderController) {
      m_orderController->AddWave(wave.value());
    }
  }

  void OnInboxRows(const std::vector<platform::Row>& aRows)
  {
    for (const platform::Row& row : aRows) {
      if (PoolOwner* owner = FindOwner(row.m_rowId.m_partition)) {
        owner->OnInboxRow(row);
      }
    }
    for (const auto& [pool, owner] : m_owners) {
      owner->OnInboxRead(m_inboxFollower->AskedAt());
    }
  }

  // Pools.

  /// Follows minions and the inbox only while this node owns something, since calls to the store
  /// are rate-limited and charged.
  void UpdateFollowers()
  {
    const bool isNeeded = !m_owners.empty() || m_orderController;
    if (!isNeeded) {
      m_minionFollower.reset();
      m_inboxFollower.reset();
      m_minionDirectory.Clear();
      return;
    }
    if (m_minionFollower) {
      return;
    }
    m_minionFollower = std::make_unique<TableFollower>(
      m_context,
      TableFollowerOptions{ platform::kMinionTable, true, Millis{ 1'000 }, kMinionPollInterval },
      [this](const std::vector<platform::Row>& aRows, bool aIsComplete) {
        const WorkMeter::Scope scope(m_context.m_work, WorkPart::MinionTable);
        m_minionDirectory.OnRows(aRows, aIsComplete);
      });
    m_inboxFollower = std::make_unique<TableFollower>(
      m_context,
      TableFollowerOptions{ kInboxTable, false, Millis{ 2'000 }, Millis{ 0 } },
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
      // Deferred, because the caller must not be destroyed within its own callback.
      m_removalTimers.push_back(m_timers.After(Micros{ 0 }, [this, pool] { OnPoolLost(pool); }));
    };
    if (pool == kFleetPartition) {
      m_orderController = std::make_unique<FleetOrderController>(
        m_context,
        aClaim,
        [this](const FleetSyncRequest& aRequest, std::function<void(Result<FleetReport>)> aDone) {
          SyncPool(aRequest, std::move(aDone));
        },
        [this](const std::vector<job::Machine>& aMachines) {
          m_shardDirectory->WriteMissing(aMachines);
        },
        onLost);
      for (const auto& [number, wave] : m_knownWaves) {
        m_orderController->AddWave(wave);
      }
      UpdateFollowers();
      return;
    }
    auto owner = std::make_unique<PoolOwner>(m_context, aClaim, onLost);
    m_minionDirectory.NotifyOwner(*owner);
    m_owners[pool] = std::move(owner);
    UpdateFollowers();
  }

  void OnPoolLost(const std::string& aPool)
  {
    Log(LogCategory::Membership, LogLevel::Warning, "pool-lost", "pool", aPool);
    m_owners.erase(aPool);
    if (aPool == kFleetPartition) {
      m_orderController.reset();
    }
    m_membership->ForgetOwnership(aPool);
    UpdateFollowers();
  }

  void DropAllPools()
  {
    m_owners.clear();
    m_orderController.reset();
  }

  // Peers.

  void CallShard(const std::string& aShard,
                 const char* aPath,
                 std::string aBody,
                 Millis aTimeout,
                 std::function<void(Result<std::string>)> aDone)
  {
    const std::string address = m_membership->OwnerAddress(aShard);
    if (address.empty()) {
      aDone(Error{ ErrorKind::Unavailable, aPath, aShard, "no owner is known" });
      return;
    }
    m_http.Start(MakePeerCall(address, aPath, std::move(aBody), aTimeout),
                 [done = std::move(aDone)](HttpCallResult aResult) {
                   if (!aResult) {
                     done(aResult.error().m_error);
                   } else {
                     done(std::move(aResult.value().m_body));
                   }
                 });
  }

  void SyncPool(const FleetSyncRequest& aRequest, std::function<void(Result<FleetReport>)> aDone)
  {
    const std::string& pool = aRequest.m_pool;
    if (PoolOwner* owner = FindOwner(pool); owner && owner->IsKeepingPool()) {
      aDone(owner->ApplyRestrictions(aRequest.m_restrictions, aRequest.m_grants));
      return;
    }
    const std::string address = m_membership->OwnerAddress(pool);
    if (address.empty()) {
      aDone(Error{ ErrorKind::Unavailable, "query pool owner", pool, "no owner is known" });
      return;
    }
    m_http.Start(
      MakePeerCall(address, kPeerFleetPath, EncodeFleetSyncRequest(aRequest), kPeerCallTimeout),
      [address, done = std::move(aDone)](HttpCallResult aResult) {
        if (!aResult) {
          done(aResult.error().m_error);
        } else if (aResult.value().m_status != 200) {
          done(Error{ ErrorKind::Refused, "query pool owner", address, "not the owner" });
        } else {
          done(DecodeFleetReport(aResult.value().m_body));
        }
      });
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
      StartStopping();
    });
  }

  void StartStopping()
  {
    Log(LogCategory::Process, LogLevel::Info, "stopping");
    m_isStopping = true;
    m_membership->StartLeaving();
    m_gateway->BeginStopping();
    const Millis serveFor =
      std::max(m_settings.m_bounds.m_terminationGrace - kStopMargin, kStopMargin);
    m_stopTimer = m_timers.After(serveFor, [this] { FinishStopping(); });
    m_handover = std::make_unique<PoolHandover>(
      m_context,
      *m_membership,
      OwnedParts{ [this](const std::string& aPool) { return FindOwner(aPool); },
                  [this] { return m_orderController.get(); } },
      LeaseClockNow() + serveFor - kHandOverTime,
      [this](const std::string& aPool) { OnPoolReleased(aPool); });
    for (const auto& [pool, owner] : m_owners) {
      m_handover->HandOverPool(pool);
    }
    m_handover->HandOverMachineOrders();
  }

  void OnPoolReleased(const std::string& aPool)
  {
    m_removalTimers.push_back(m_timers.After(Micros{ 0 }, [this, aPool] {
      m_owners.erase(aPool);
      if (aPool == kFleetPartition) {
        m_orderController.reset();
      }
      const std::string address = m_membership->OwnerAddress(aPool);
      if (!address.empty()) {
        // The request is only a hint: the successor also sees the owner row.
        m_http.Start(MakePeerCall(address, kPeerReleasedPath, {}, kPeerCallTimeout),
                     [](const HttpCallResult&) {});
      }
    }));
  }

  void FinishStopping()
  {
    m_callerServer->StopAccepting();
    m_gateway->RefuseRequests();
    m_exitTimer = m_timers.After(kStopMargin / 2, [this] {
      m_gateway->EndPendingRequests();
      m_exitTimer = m_timers.After(kResponseTime, [this] { m_io.stop(); });
    });
  }

  platform::NodeSettings m_settings;
  asio::io_context m_io;
  TimerService m_timers;
  HttpClient m_http;
  platform::StoreClient m_store;
  platform::MinionClient m_minionClient;
  platform::MachineClient m_machineClient;
  NodeContext m_context;
  MinionDirectory m_minionDirectory;
  asio::signal_set m_signals;
  LinkLoad m_linkLoad;
  NodeMonitor m_monitor;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<ConfigurationRelay> m_configurationRelay;
  std::unique_ptr<JobGateway> m_gateway;
  std::unique_ptr<PeerHandler> m_peerHandler;
  std::unique_ptr<ShardDirectory> m_shardDirectory;
  std::unique_ptr<TableFollower> m_operatorFollower;
  std::unique_ptr<TableFollower> m_minionFollower;
  std::unique_ptr<TableFollower> m_inboxFollower;
  std::map<std::string, std::unique_ptr<PoolOwner>> m_owners;
  std::unique_ptr<FleetOrderController> m_orderController;
  std::map<std::uint64_t, job::WaveRequest> m_knownWaves;
  std::vector<TimerHandle> m_removalTimers;
  std::unique_ptr<PoolHandover> m_handover;
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
  KeepMemoryWithin(aSettings.m_memoryMb);
  StartLogging(LogLevel::Info, aSettings.m_nodeName);
  int result = kExitSuccess;
  {
    NodeDaemon daemon(aSettings);
    result = daemon.Run();
  }
  StopLogging();
  return result;
}

} // namespace mustardtray::node
