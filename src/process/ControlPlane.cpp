#include "process/ControlPlane.h"

#include <fmt/format.h>

#include "mustardtray/process/Log.h"

namespace mustardtray {

namespace {

constexpr double kPeriodJitter = 0.1;
constexpr Millis kHeartbeatTimeout{ 1'000 };
constexpr Millis kRecentlyHeardPeriod{ 10'000 };
constexpr Millis kDefaultLongestRunTime{ 30'000 };

PlatformClientOptions MakePlatformOptions(const PlatformSettings& aSettings)
{
  PlatformClientOptions options;
  options.m_url = aSettings.m_url;
  options.m_readTimeout = aSettings.m_timeout;
  options.m_writeTimeout = aSettings.m_timeout;
  return options;
}

NodeInfo MakeSelf(const Settings& aSettings)
{
  return { { aSettings.m_node, 0 },
           aSettings.m_zone,
           aSettings.m_region,
           aSettings.m_peer.Url(),
           aSettings.m_forward.Url() };
}

/// Hash of the VM rows' names and versions; it changes when any row changes.
std::size_t FingerprintOf(const FleetView& aFleet)
{
  std::size_t fingerprint = aFleet.m_vms.size();
  for (const auto& [name, row] : aFleet.m_vms) {
    const std::size_t rowHash =
      std::hash<std::string>()(name) ^ (row.m_version * 0x9E3779B97F4A7C15u);
    fingerprint += rowHash * rowHash + rowHash;
  }
  return fingerprint;
}

} // namespace

ControlPlane::ControlPlane(asio::io_context& aContext, const Settings& aSettings, Publish aPublish)
  : m_settings(aSettings)
  , m_publish(std::move(aPublish))
  , m_timers(aContext)
  , m_http(aContext, aSettings.m_outboundAddress)
  , m_platform(aContext, m_http, MakePlatformOptions(aSettings.m_platform))
  , m_self(MakeSelf(aSettings))
  , m_peers(aSettings.m_node, aSettings.m_zone)
  , m_goneNodeDetector(aSettings.m_node)
  , m_messenger(m_http,
                kHeartbeatTimeout,
                [this](const Heartbeat& aHeartbeat, Micros aRoundTrip) {
                  OnHeartbeat(aHeartbeat, aRoundTrip);
                })
  , m_registration(m_platform,
                   m_self,
                   { [this](const NodeIncarnation& aId) { OnRegistered(aId); },
                     [this](const NodeInfo& aInfo) {
                       m_peers.OnRow(aInfo);
                       m_goneNodeDetector.OnIncarnationSeen(aInfo.m_id, MonotonicNow());
                     },
                     [this](const std::string& aNode) { m_peers.OnRowDeleted(aNode); } })
  , m_config(m_platform,
             { MakePeerFetch(m_http),
               [this](ConfigurationPointer aConfiguration) {
                 OnConfiguration(std::move(aConfiguration));
               } },
             aSettings.m_seeds)
  , m_fleet(m_platform, aSettings.m_node, FleetPolicy{})
  , m_targetHealth(aContext)
{
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::Start()
{
  m_pollTimer = m_timers.Every(m_settings.m_pollPeriod, kPeriodJitter, [this] { Poll(); });
  m_heartbeatTimer =
    m_timers.Every(m_settings.m_heartbeatPeriod, kPeriodJitter, [this] { SendHeartbeats(); });
  m_fleet.SetVmListListener([this](const std::vector<VmListing>& aVms, TimePoint aRequestedAt) {
    m_vms = aVms;
    m_goneNodeDetector.OnVmList(m_vms, aRequestedAt);
  });
  m_config.Start(m_timers, m_settings.m_pollPeriod);
  Poll();
}

// --- Platform

void ControlPlane::OnRegistered(const NodeIncarnation& aId)
{
  m_self.m_id = aId;
  const EntryMember member{ aId.m_node, std::to_string(aId.m_incarnation) };
  m_keyPartitions.emplace(m_platform, aId);
  m_slotShares.emplace(m_platform, m_settings.m_zone, member, LongestRunTime());
  EntryReport identity;
  identity.m_entryVm = aId.m_node;
  identity.m_address = m_settings.m_caller.m_listen.m_address;
  identity.m_zone = m_settings.m_zone;
  identity.m_incarnation = aId.m_incarnation;
  m_reportWriter.emplace(m_platform, identity);
  m_reportWriter->Update(identity);
}

void ControlPlane::Poll()
{
  m_registration.Tick();
  m_peers.Expire(MonotonicNow());
  if (!m_registration.IsRegistered()) {
    return;
  }
  if (!m_isLeaving) {
    m_slotShares->Tick(m_vms, RecentlyHeardNodes());
  } else if (IsIdle()) {
    m_slotShares->Leave();
  }
  m_keyPartitions->Partitions().OnMembers(KeyMembers(), MonotonicNow());
  m_keyPartitions->Tick(m_goneNodeDetector);
  if (m_configuration && m_reportWriter->IsWritten()) {
    const TimePoint now = MonotonicNow();
    m_fleet.AddLoads(PoolLoadsOf(*m_configuration, m_demandMeter.Latest(), m_peers, now), now);
    m_fleet.Tick(now, WallNow());
  }
}

std::set<std::string> ControlPlane::RecentlyHeardNodes() const
{
  std::set<std::string> heard;
  for (const auto& [node, peer] : m_peers.All()) {
    const bool hasBeenHeard = peer.m_lastHeardAt != TimePoint::min();
    if (hasBeenHeard && peer.m_lastHeardAt + kRecentlyHeardPeriod > MonotonicNow()) {
      heard.insert(node);
    }
  }
  return heard;
}

std::vector<NodeIncarnation> ControlPlane::KeyMembers() const
{
  std::vector<NodeIncarnation> members;
  if (!m_isLeaving) {
    members.push_back(m_self.m_id);
  }
  for (const auto& [node, peer] : m_peers.All()) {
    const bool mayOwn =
      peer.m_info.m_id.m_incarnation > 0 && peer.m_info.m_region == m_self.m_region;
    if (mayOwn && m_peers.IsAlive(MonotonicNow(), peer)) {
      members.push_back(peer.m_info.m_id);
    }
  }
  return members;
}

Micros ControlPlane::LongestRunTime() const
{
  Millis longest{ 0 };
  if (m_configuration) {
    for (const auto& [name, service] : m_configuration->m_services) {
      longest = std::max(longest, service.m_maxRun);
    }
  }
  return longest > Millis(0) ? longest : kDefaultLongestRunTime;
}

// --- Peers

Heartbeat ControlPlane::MakeHeartbeat() const
{
  Heartbeat heartbeat;
  heartbeat.m_sender = m_self;
  heartbeat.m_isLeaving = m_isLeaving;
  heartbeat.m_configVersion = m_configuration ? m_configuration->m_version : 0;
  if (m_slotShares) {
    const ShareHeartbeat shares = m_slotShares->Shares().Heartbeat(MonotonicNow());
    heartbeat.m_acknowledgedShareGeneration = shares.m_acknowledgedGeneration;
    heartbeat.m_settledShareLossGeneration = shares.m_settledLossGeneration;
  }
  for (const auto& [service, load] : m_trafficReport.m_loads) {
    const auto demand = m_demandMeter.Latest().find(service);
    const double slots = demand == m_demandMeter.Latest().end() ? 0 : demand->second;
    heartbeat.m_freeSlots[service] = { load.m_freeUrgent, load.m_freeMayWait, slots };
  }
  for (const auto& [name, row] : m_fleet.View().m_vms) {
    if (row.m_value.m_zone == m_settings.m_zone && row.m_value.IsOut()) {
      heartbeat.m_outOfServiceVms[name] = row.m_value.m_generation;
    }
  }
  return heartbeat;
}

void ControlPlane::SendHeartbeats()
{
  const std::string text = ToJson(MakeHeartbeat()).dump();
  for (const NodeInfo& target : m_peers.HeartbeatTargets()) {
    m_messenger.Send(target.m_peerUrl, text);
  }
  const bool hasNoPeers = m_peers.All().empty();
  if (hasNoPeers) {
    for (const std::string& seed : m_settings.m_seeds) {
      m_messenger.Send(seed, text);
    }
  }
  if (m_compiled) {
    m_targetHealth.ProbeDueVms(m_settings.m_zone, m_fleet.View(), *m_compiled);
  }
  PublishRouting();
}

void ControlPlane::OnHeartbeat(const Heartbeat& aHeartbeat, std::optional<Micros> aRoundTrip)
{
  const TimePoint now = MonotonicNow();
  const NodeInfo& sender = aHeartbeat.m_sender;
  m_peers.OnHeartbeat(now, aHeartbeat, aRoundTrip);
  m_config.OnPeerVersion(sender.m_peerUrl, aHeartbeat.m_configVersion);
  if (sender.m_id.m_incarnation > 0) {
    m_goneNodeDetector.OnIncarnationSeen(sender.m_id, now);
    m_goneNodeDetector.OnAlive(sender.m_id, now);
  }
  if (m_slotShares && sender.m_zone == m_settings.m_zone) {
    m_slotShares->Shares().OnHeartbeat(
      { { sender.m_id.m_node, std::to_string(sender.m_id.m_incarnation) },
        aHeartbeat.m_acknowledgedShareGeneration,
        aHeartbeat.m_settledShareLossGeneration });
  }
}

void ControlPlane::HandlePeer(const HttpRequest& aRequest, const HttpResponder& aResponder)
{
  if (aRequest.m_path == kPeerConfigPath) {
    aResponder.Send(m_config.MakePeerResponse(aRequest));
    return;
  }
  if (aRequest.m_path != kHeartbeatPath) {
    aResponder.Send(JsonResponse(404, R"({"error":"no such route"})"));
    return;
  }
  const Result<Heartbeat> heartbeat = ParseHeartbeat(Json::parse(aRequest.m_body, nullptr, false));
  if (heartbeat.has_error()) {
    const Json body{ { "error", heartbeat.error().Text() } };
    aResponder.Send(JsonResponse(400, body.dump(-1, ' ', true, Json::error_handler_t::replace)));
    return;
  }
  OnHeartbeat(heartbeat.value(), std::nullopt);
  aResponder.Send(JsonResponse(200, ToJson(MakeHeartbeat()).dump()));
}

// --- Routing

void ControlPlane::OnConfiguration(ConfigurationPointer aConfiguration)
{
  m_configuration = std::move(aConfiguration);
  m_compiled.reset();
  m_fleet.SetConfiguration(m_configuration);
  if (m_slotShares) {
    m_slotShares->Shares().SetLongestRun(LongestRunTime());
  }
  PublishRouting();
}

void ControlPlane::PublishRouting()
{
  const FleetView& fleet = m_fleet.View();
  const std::size_t fingerprint = FingerprintOf(fleet);
  const bool isStale = !m_compiled || fingerprint != m_compiledFingerprint;
  if (m_configuration && isStale) {
    m_compiled = CompileForFleet(*m_configuration, fleet);
    m_compiledFingerprint = fingerprint;
  }
  if (m_keyPartitions) {
    if (auto ownership = m_keyPartitions->Partitions().TakeSnapshot()) {
      m_ownership = std::move(ownership);
    }
  }
  const TimePoint now = MonotonicNow();
  const ShareFunction share = [&](const std::string& aMinion, int aTotal, Micros aLongestRun) {
    return m_slotShares ? m_slotShares->Shares().Share(now, aMinion, aTotal, aLongestRun) : 0;
  };
  const std::uint64_t generation =
    m_slotShares ? m_slotShares->Shares().NewestRow().m_generation : 0;
  m_publish(BuildRoutingSnapshot({ m_self.m_id,
                                   m_settings.m_zone,
                                   m_compiled,
                                   fleet,
                                   m_peers,
                                   share,
                                   generation,
                                   m_ownership,
                                   now }));
}

void ControlPlane::OnTrafficReport(TrafficReport aReport)
{
  m_trafficReport = std::move(aReport);
  m_demandMeter.OnReport(MonotonicNow(), m_trafficReport);
  m_reportsSinceShutdown += m_isLeaving ? 1 : 0;
  if (!m_registration.IsRegistered()) {
    return;
  }
  m_slotShares->Shares().OnInFlightReport(m_trafficReport.m_appliedSnapshot->m_shareGeneration,
                                          m_trafficReport.m_isWithinShares);
  for (const StoppedPartition& stopped : m_trafficReport.m_stoppedPartitions) {
    m_keyPartitions->Partitions().OnStopped(stopped);
  }
  std::map<std::string, LocalTargetStatus> targets;
  for (const auto& [name, row] : m_fleet.View().m_vms) {
    const auto running = m_trafficReport.m_slotsInUseByVm.find(name);
    const int inFlight = running == m_trafficReport.m_slotsInUseByVm.end() ? 0 : running->second;
    targets[name] = { inFlight, m_targetHealth.HealthOf(name) };
  }
  EntryReport report = BuildEntryReport(m_reportWriter->Identity(), m_fleet.View(), targets);
  const auto& applied = m_trafficReport.m_appliedSnapshot->m_excludedVmGenerations;
  // Report a VM that is out of service only once the traffic thread applies the same row.
  std::erase_if(report.m_targets, [&](const auto& aTarget) {
    const VmRecord* vm = m_fleet.View().Vm(aTarget.first);
    const auto known = applied.find(aTarget.first);
    return vm->IsOut() && (known == applied.end() || known->second != aTarget.second.m_generation);
  });
  m_reportWriter->Update(report);
}

// --- Shutdown

void ControlPlane::BeginShutdown()
{
  m_isLeaving = true;
  if (m_keyPartitions) {
    m_keyPartitions->Partitions().BeginShutdown();
  }
  SendHeartbeats();
  Poll();
}

bool ControlPlane::IsReleased() const
{
  if (!m_registration.IsRegistered()) {
    return true;
  }
  return m_keyPartitions->Partitions().IsReleased() && !m_slotShares->IsMember();
}

bool ControlPlane::IsReady() const
{
  if (!m_configuration || m_isLeaving) {
    return false;
  }
  for (const auto& [service, load] : m_trafficReport.m_loads) {
    if (load.m_slots > 0) {
      return true;
    }
  }
  const RoutingSnapshotPointer& applied = m_trafficReport.m_appliedSnapshot;
  return applied && !applied->m_peerCapacities.empty();
}

} // namespace mustardtray
