#include "process/RoutingPublisher.h"

namespace mustardtray {

namespace {

MinionEndpoint MakeEndpoint(const RoutingInputs& aInputs,
                            const ServiceConfig& aService,
                            const Minion& aMinion)
{
  MinionEndpoint endpoint;
  endpoint.m_vm = aMinion.m_vm;
  endpoint.m_address = aMinion.m_address;
  endpoint.m_port = aMinion.m_port;
  const VmRecord* vm = aInputs.m_fleet.Vm(aMinion.m_vm);
  if (vm && AcceptsWork(*vm, aInputs.m_peers)) {
    const std::string name = aService.m_name + "/" + aMinion.m_vm;
    endpoint.m_slots = aInputs.m_share(name, aService.m_slots, aService.m_maxRun);
    endpoint.m_connections = aInputs.m_share(name, aService.m_connections, aService.m_maxRun);
  }
  return endpoint;
}

void AddMinions(const RoutingInputs& aInputs, RoutingSnapshot& aSnapshot)
{
  for (const auto& [name, service] : aInputs.m_configuration->Source().m_services) {
    std::vector<MinionEndpoint>& endpoints = aSnapshot.m_minions[name];
    const MinionsByZone& zones = aInputs.m_configuration->MinionsOf(name);
    const auto own = zones.find(aInputs.m_zone);
    if (own == zones.end()) {
      continue;
    }
    for (const Minion& minion : own->second) {
      endpoints.push_back(MakeEndpoint(aInputs, service, minion));
    }
  }
}

} // namespace

CompiledConfigurationPointer CompileForFleet(const Configuration& aConfiguration,
                                             const FleetView& aFleet)
{
  std::vector<VmListing> vms;
  std::map<std::string, std::string> pools;
  for (const auto& [name, row] : aFleet.m_vms) {
    const VmRecord& record = row.m_value;
    VmListing listing;
    listing.m_name = name;
    listing.m_address = record.m_address;
    listing.m_zone = record.m_zone;
    listing.m_rack = record.m_rack;
    vms.push_back(std::move(listing));
    pools[name] = record.m_pool;
  }
  return CompiledConfiguration::Compile(aConfiguration, vms, pools);
}

bool AcceptsWork(const VmRecord& aVm, const PeerTable& aPeers)
{
  if (aVm.IsOut() || aVm.m_isDown) {
    return false;
  }
  for (const auto& [node, peer] : aPeers.All()) {
    const auto outOfService = peer.m_lastHeartbeat.m_outOfServiceVms.find(aVm.m_name);
    if (outOfService != peer.m_lastHeartbeat.m_outOfServiceVms.end() &&
        outOfService->second > aVm.m_generation) {
      return false;
    }
  }
  return true;
}

RoutingSnapshotPointer BuildRoutingSnapshot(const RoutingInputs& aInputs)
{
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->m_self = aInputs.m_self;
  snapshot->m_configuration = aInputs.m_configuration;
  snapshot->m_shareGeneration = aInputs.m_shareGeneration;
  snapshot->m_ownership = aInputs.m_ownership;
  snapshot->m_peers = aInputs.m_peers.Endpoints();
  snapshot->m_peerCapacities = aInputs.m_peers.FreeCapacities(aInputs.m_now);
  if (aInputs.m_configuration) {
    AddMinions(aInputs, *snapshot);
  }
  for (const auto& [name, row] : aInputs.m_fleet.m_vms) {
    if (row.m_value.m_zone == aInputs.m_zone && row.m_value.IsOut()) {
      snapshot->m_excludedVmGenerations[name] = row.m_value.m_generation;
    }
  }
  return snapshot;
}

} // namespace mustardtray
