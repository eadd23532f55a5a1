#pragma once

/// The control state of an entry VM: registration, peers, slot shares, ownership of keys,
/// configuration and the fleet controller. It lives on the control thread, publishes routing
/// snapshots to the traffic thread and processes the reports that come back.

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
#include "mustardtray/process/GoneNodeDetector.h"
#include "mustardtray/process/PeerTable.h"
#include "mustardtray/process/PlatformClient.h"
#include "mustardtray/process/Settings.h"
#include "mustardtray/process/TimerService.h"
#include "mustardtray/process/fleet/FleetController.h"
#include "process/EntryReportWriter.h"
#include "process/KeyPartitionAgent.h"
#include "process/NodeRegistration.h"
#include "process/PeerMessenger.h"
#include "process/PoolDemand.h"
#include "process/RoutingPublisher.h"
#include "process/SlotShareAgent.h"
#include "process/TargetHealth.h"

namespace mustardtray {

class ControlPlane
{
public:
  /// Passes a snapshot to the traffic thread, whose report comes back through OnTrafficReport().
  using Publish = std::function<void(RoutingSnapshotPointer)>;

  ControlPlane(asio::io_context& aContext, const Settings& aSettings, Publish aPublish);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  void Start();
  /// Announces that this node leaves and starts to hand over its keys and, when nothing is in
  /// flight, its slot shares. IsReleased() tells when this is done.
  void BeginShutdown();
  bool IsReleased() const;
  /// Whether no request is active, as of a report that was made after BeginShutdown().
  bool IsIdle() const
  {
    return m_reportsSinceShutdown > 1 && m_trafficReport.m_activeRequestCount == 0;
  }
  /// Whether callers may send requests to this node: it has a configuration, is not leaving, and
  /// either has slots or knows a peer with free capacity.
  bool IsReady() const;

  void OnTrafficReport(TrafficReport aReport);
  /// Handles a request on the peer listener.
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
  void SendHeartbeats();
  void OnRegistered(const NodeIncarnation& aId);
  void OnHeartbeat(const Heartbeat& aHeartbeat, std::optional<Micros> aRoundTrip);
  Heartbeat MakeHeartbeat() const;
  void OnConfiguration(ConfigurationPointer aConfiguration);
  void PublishRouting();
  std::set<std::string> RecentlyHeardNodes() const;
  /// Daemons of this region that may own key partitions now.
  std::vector<NodeIncarnation> KeyMembers() const;
  Micros LongestRunTime() const;

  const Settings& m_settings;
  Publish m_publish;
  TimerService m_timers;
  HttpClient m_http;
  PlatformClient m_platform;
  NodeInfo m_self;
  PeerTable m_peers;
  GoneNodeDetector m_goneNodeDetector;
  PeerMessenger m_messenger;
  NodeRegistration<PlatformClient> m_registration;
  ConfigAgent<PlatformClient> m_config;
  FleetController<PlatformClient> m_fleet;
  TargetHealth m_targetHealth;
  std::vector<VmListing> m_vms;
  std::optional<KeyPartitionAgent<PlatformClient>> m_keyPartitions;
  std::optional<SlotShareAgent<PlatformClient>> m_slotShares;
  std::optional<EntryReportWriter<PlatformClient>> m_reportWriter;
  ConfigurationPointer m_configuration;
  CompiledConfigurationPointer m_compiled;
  std::size_t m_compiledFingerprint = 0; ///< Of the VM rows that m_compiled was made from.
  std::shared_ptr<const KeyOwnership> m_ownership;
  TrafficReport m_trafficReport;
  DemandMeter m_demandMeter;
  bool m_isLeaving = false;
  int m_reportsSinceShutdown = 0;
  TimerHandle m_pollTimer;
  TimerHandle m_heartbeatTimer;
};

} // namespace mustardtray
