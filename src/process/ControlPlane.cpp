#include "process/ControlPlane.h"

#include <fmt/format.h>

#include "mustardtray/process/Log.h"

namespace mustardtray {

namespace {

constexpr double kPeriodJitter = 0.1;
constexpr Millis kHeartbeatTimeout{ 1'000 };
constexpr Millis kHeardLately{ 10'000 };
constexpr Millis kDefaultLongestRun{ 30'000 };

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

/// Tells whether VM rows have changed in any way that minions depend on.
std::size_t FingerprintOf(const FleetView& aFleet)
{
  std::size_t fingerprint = aFleet.m_vms.size();
  for (const auto& [name, row] : aFleet.m_vms) {
    const std::size_t one = std::hash<std::string>()(name) ^ (row.m_version * 0x9E3779B97F4A7C15u);
    fingerprint += one * one + one;
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
  , m_goneWatch(aSettings.m_node)
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
                       m_goneWatch.OnSeen(aInfo.m_id, MonotonicNow());
                     },
                     [this](const std::string& aNode) { m_peers.OnRowDeleted(aNode); } })
  , m_config(m_platform,
             { MakePeerFetch(m_http),
               [this](ConfigurationPointer aConfiguration) {
                 OnConfiguration(std::move(aConfiguration));
               } },
             aSettings.m_seeds)
  , m_fleet(m_platform, aSettings.m_node, FleetPolicy{})
  , m_health(aContext)
{
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::Start()
{
  m_pollTimer = m_timers.Every(m_settings.m_pollPeriod, kPeriodJitter, [this] { Poll(); });
  m_beatTimer = m_timers.Every(m_settings.m_heartbeatPeriod, kPeriodJitter, [this] { Beat(); });
  m_fleet.SetVmListListener([this](const std::vector<VmListing>& aVms, TimePoint aAskedAfter) {
    m_vms = aVms;
    m_goneWatch.OnVmList(m_vms, aAskedAfter);
  });
  m_config.Start(m_timers, m_settings.m_pollPeriod);
  Poll();
}

// --- Platform

void ControlPlane::OnRegistered(const NodeIncarnation& aId)
{
  m_self.m_id = aId;
  const EntryMember member{ aId.m_node, std::to_string(aId.m_incarnation) };
  m_keys.emplace(m_platform, aId);
  m_shares.emplace(m_platform, m_settings.m_zone, member, LongestRun());
  EntryReport identity;
  identity.m_entryVm = aId.m_node;
  identity.m_address = m_settings.m_caller.m_listen.m_address;
  identity.m_zone = m_settings.m_zone;
  identity.m_incarnation = aId.m_incarnation;
  m_reports.emplace(m_platform, identity);
  m_reports->Update(identity);
}

void ControlPlane::Poll()
{
  m_registration.Tick();
  m_peers.Expire(MonotonicNow());
  if (!m_registration.IsRegistered()) {
    return;
  }
  if (!m_isLeaving) {
    m_shares->Tick(m_vms, HeardLately());
  } else if (IsIdle()) {
    m_shares->Leave();
  }
  m_keys->Partitions().OnMembers(KeyMembers(), MonotonicNow());
  m_keys->Tick(m_goneWatch);
  if (m_configuration && m_reports->IsWritten()) {
    const TimePoint now = MonotonicNow();
    m_fleet.AddLoads(PoolLoadsOf(*m_configuration, m_demand.Latest(), m_peers, now), now);
    m_fleet.Tick(now, WallNow());
  }
}

std::set<std::string> ControlPlane::HeardLately() const
{
  std::set<std::string> heard;
  for (const auto& [node, peer] : m_peers.All()) {
    const bool wasHeard = peer.m_lastHeard != TimePoint::min();
    if (wasHeard && peer.m_lastHeard + kHeardLately > MonotonicNow()) {
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

Micros ControlPlane::LongestRun() const
{
  Millis longest{ 0 };
  if (m_configuration) {
    for (const auto& [name, service] : m_configuration->m_services) {
      longest = std::max(longest, service.m_maxRun);
    }
  }
  return longest > Millis(0) ? longest : kDefaultLongestRun;
}

// --- Peers

Heartbeat ControlPlane::MakeHeartbeat() const
{
  Heartbeat heartbeat;
  heartbeat.m_sender = m_self;
  heartbeat.m_isLeaving = m_isLeaving;
  heartbeat.m_configVersion = m_configuration ? m_configuration->m_version : 0;
  if (m_shares) {
    const ShareHeartbeat shares = m_shares->Shares().Heartbeat(MonotonicNow());
    heartbeat.m_sharesAcknowledged = shares.m_acknowledged;
    heartbeat.m_sharesSettledLoss = shares.m_settledLoss;
  }
  for (const auto& [service, load] : m_traffic.m_loads) {
    const auto demand = m_demand.Latest().find(service);
    const double slots = demand == m_demand.Latest().end() ? 0 : demand->second;
    heartbeat.m_free[service] = { load.m_freeUrgent, load.m_freeMayWait, slots };
  }
  for (const auto& [name, row] : m_fleet.View().m_vms) {
    if (row.m_value.m_zone == m_settings.m_zone && row.m_value.IsOut()) {
      heartbeat.m_leaving[name] = row.m_value.m_generation;
    }
  }
  return heartbeat;
}

void ControlPlane::Beat()
{
  const std::string text = ToJson(MakeHeartbeat()).dump();
  for (const NodeInfo& target : m_peers.HeartbeatTargets()) {
    m_messenger.Send(target.m_peerUrl, text);
  }
  const bool knowsNobody = m_peers.All().empty();
  if (knowsNobody) {
    for (const std::string& seed : m_settings.m_seeds) {
      m_messenger.Send(seed, text);
    }
  }
  if (m_compiled) {
    m_health.ProbeSome(m_settings.m_zone, m_fleet.View(), *m_compiled);
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
    m_goneWatch.OnSeen(sender.m_id, now);
    m_goneWatch.OnHeard(sender.m_id, now);
  }
  if (m_shares && sender.m_zone == m_settings.m_zone) {
    m_shares->Shares().OnHeartbeat(
      { { sender.m_id.m_node, std::to_string(sender.m_id.m_incarnation) },
        aHeartbeat.m_sharesAcknowledged,
        aHeartbeat.m_sharesSettledLoss });
  }
}

void ControlPlane::HandlePeer(const HttpRequest& aRequest, const HttpResponder& aResponder)
{
  if (aRequest.m_path == kPeerConfigPath) {
    aResponder.Send(m_config.AnswerPeer(aRequest));
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
  if (m_shares) {
    m_shares->Shares().SetLongestRun(LongestRun());
  }
  PublishRouting();
}

void ControlPlane::PublishRouting()
{
  const FleetView& fleet = m_fleet.View();
  const std::size_t fingerprint = FingerprintOf(fleet);
  const bool isStale = !m_compiled || fingerprint != m_compiledFleet;
  if (m_configuration && isStale) {
    m_compiled = CompileForFleet(*m_configuration, fleet);
    m_compiledFleet = fingerprint;
  }
  if (m_keys) {
    if (auto ownership = m_keys->Partitions().TakeSnapshot()) {
      m_ownership = std::move(ownership);
    }
  }
  const TimePoint now = MonotonicNow();
  const ShareFunction share = [&](const std::string& aMinion, int aTotal, Micros aLongestRun) {
    return m_shares ? m_shares->Shares().Share(now, aMinion, aTotal, aLongestRun) : 0;
  };
  const std::uint64_t generation = m_shares ? m_shares->Shares().Newest().m_generation : 0;
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
  m_traffic = std::move(aReport);
  m_demand.OnReport(MonotonicNow(), m_traffic);
  m_reportsSinceLeaving += m_isLeaving ? 1 : 0;
  if (!m_registration.IsRegistered()) {
    return;
  }
  m_shares->Shares().OnInFlight(m_traffic.m_appliedSnapshot->m_shareGeneration,
                                m_traffic.m_isWithinShares);
  for (const StoppedPartition& stopped : m_traffic.m_stoppedPartitions) {
    m_keys->Partitions().OnStopped(stopped);
  }
  std::map<std::string, LocalTargetStatus> targets;
  for (const auto& [name, row] : m_fleet.View().m_vms) {
    const auto running = m_traffic.m_slotsInUseByVm.find(name);
    const int inFlight = running == m_traffic.m_slotsInUseByVm.end() ? 0 : running->second;
    targets[name] = { inFlight, m_health.Of(name) };
  }
  EntryReport report = BuildEntryReport(m_reports->Identity(), m_fleet.View(), targets);
  const auto& applied = m_traffic.m_appliedSnapshot->m_excludedVmGenerations;
  // A VM that is out counts only when the traffic thread has taken over the same row.
  std::erase_if(report.m_targets, [&](const auto& aTarget) {
    const VmRecord* vm = m_fleet.View().Vm(aTarget.first);
    const auto known = applied.find(aTarget.first);
    return vm->IsOut() && (known == applied.end() || known->second != aTarget.second.m_generation);
  });
  m_reports->Update(report);
}

// --- Shutdown

void ControlPlane::BeginShutdown()
{
  m_isLeaving = true;
  if (m_keys) {
    m_keys->Partitions().BeginShutdown();
  }
  Beat();
  Poll();
}

bool ControlPlane::IsReleased() const
{
  if (!m_registration.IsRegistered()) {
    return true;
  }
  return m_keys->Partitions().IsReleased() && !m_shares->IsMember();
}

bool ControlPlane::IsReady() const
{
  if (!m_configuration || m_isLeaving) {
    return false;
  }
  for (const auto& [service, load] : m_traffic.m_loads) {
    if (load.m_slots > 0) {
      return true;
    }
  }
  const RoutingSnapshotPointer& applied = m_traffic.m_appliedSnapshot;
  return applied && !applied->m_peerCapacities.empty();
}

} // namespace mustardtray
