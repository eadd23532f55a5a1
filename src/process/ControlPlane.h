#pragma once

/// All control state of an entry VM, on the control thread: registration, peers, slot shares,
/// ownership of keys, configuration and the fleet controller. Publishes routing snapshots to the
/// traffic thread and takes its reports.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/ConfigAgent.h"
#include "mustardtray/process/GoneWatch.h"
#include "mustardtray/process/PeerTable.h"
#include "mustardtray/process/PlatformClient.h"
#include "mustardtray/process/Settings.h"
#include "mustardtray/process/TimerService.h"
#include "mustardtray/process/fleet/FleetController.h"
#include "process/EntryReportWriter.h"
#include "process/KeyKeeper.h"
#include "process/NodeRegistration.h"
#include "process/PeerMessenger.h"
#include "process/PoolDemand.h"
#include "process/RoutingPublisher.h"
#include "process/TargetHealth.h"
#include "process/ZoneShares.h"

namespace mustardtray {

class ControlPlane
{
public:
  /// Hands a snapshot to the traffic thread, which answers with OnTrafficReport().
  using Publish = std::function<void(RoutingSnapshotPointer)>;

  ControlPlane(asio::io_context& aContext, const Settings& aSettings, Publish aPublish);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  void Start();
  /// Announces that this node leaves, hands over its keys and, when nothing is in flight, its
  /// shares. IsReleased() tells when all is done.
  void BeginShutdown();
  bool IsReleased() const;
  /// No request waits for its answer, as of a report made after BeginShutdown().
  bool IsIdle() const { return m_reportsSinceLeaving > 1 && m_traffic.m_activeRequestCount == 0; }
  /// Whether callers may be sent here: it has a configuration, does not leave, and has slots of
  /// its own or knows an entry VM with room.
  bool IsReady() const;

  void OnTrafficReport(TrafficReport aReport);
  /// Routes of the peers' listener.
  void HandlePeer(const HttpRequest& aRequest, const HttpResponder& aResponder);

  PlatformClient& Platform() { return m_platform; }
  HttpClient& Http() { return m_http; }
  TimerService& Timers() { return m_timers; }
  FleetController<PlatformClient>& Fleet() { return m_fleet; }
  const FleetController<PlatformClient>& Fleet() const { return m_fleet; }
  const ConfigAgent<PlatformClient>& Config() const { return m_config; }
  const CompiledConfigurationPointer& Compiled() const { return m_compiled; }
  const PeerTable& Peers() const { return m_peers; }
  const NodeInfo& Self() const { return m_self; }

private:
  void Poll();
  void Beat();
  void OnRegistered(const NodeIncarnation& aId);
  void OnHeartbeat(const Heartbeat& aHeartbeat, std::optional<Micros> aRoundTrip);
  Heartbeat MakeHeartbeat() const;
  void OnConfiguration(ConfigurationPointer aConfiguration);
  void PublishRouting();
  std::set<std::string> HeardLately() const;
  /// Daemons of this region that may own partitions of the keys now.
  std::vector<NodeIncarnation> KeyMembers() const;
  Micros LongestRun() const;

  const Settings& m_settings;
  Publish m_publish;
  TimerService m_timers;
  HttpClient m_http;
  PlatformClient m_platform;
  NodeInfo m_self;
  PeerTable m_peers;
  GoneWatch m_goneWatch;
  PeerMessenger m_messenger;
  NodeRegistration<PlatformClient> m_registration;
  ConfigAgent<PlatformClient> m_config;
  FleetController<PlatformClient> m_fleet;
  TargetHealth m_health;
  std::vector<VmListing> m_vms;
  std::optional<KeyKeeper<PlatformClient>> m_keys;
  std::optional<ZoneShares<PlatformClient>> m_shares;
  std::optional<EntryReportWriter<PlatformClient>> m_reports;
  ConfigurationPointer m_configuration;
  CompiledConfigurationPointer m_compiled;
  std::size_t m_compiledFleet = 0; ///< Fingerprint of the VM rows that m_compiled stands on.
  std::shared_ptr<const KeyOwnership> m_ownership;
  TrafficReport m_traffic;
  DemandMeter m_demand;
  bool m_isLeaving = false;
  int m_reportsSinceLeaving = 0;
  TimerHandle m_pollTimer;
  TimerHandle m_beatTimer;
};

} // namespace mustardtray
