#include "mustardtray/version/CompiledConfiguration.h"

#include <algorithm>

#include "mustardtray/version/PathPrefix.h"
#include "mustardtray/version/VmPlacement.h"

namespace mustardtray {

CompiledConfiguration::CompiledConfiguration(Configuration aConfiguration)
  : m_configuration(std::move(aConfiguration))
{
  for (const auto& [name, service] : m_configuration.m_services) {
    m_prefixes.emplace(WithoutTrailingSlash(service.m_pathPrefix), &service);
    m_minions[name];
  }
  for (const auto& [name, pool] : m_configuration.m_pools) {
    m_poolVms[name];
  }
}

CompiledPointer CompiledConfiguration::Compile(Configuration aConfiguration,
                                               const std::vector<VmListing>& aVms,
                                               const std::map<std::string, std::string>& aPools)
{
  std::shared_ptr<CompiledConfiguration> compiled(
    new CompiledConfiguration(std::move(aConfiguration)));
  const Configuration& source = compiled->m_configuration;
  for (const LabelledVm& vm : LabelTargetVms(source, aVms)) {
    const std::string& name = vm.m_listing.m_name;
    const std::vector<std::string> matching = MatchingPools(source, vm.m_labels);
    const std::string wanted = matching.empty() ? std::string() : matching.front();
    if (!wanted.empty()) {
      compiled->m_wantedPools.emplace(name, wanted);
    }
    const auto real = aPools.find(name);
    compiled->Place(vm.m_listing, vm.m_labels, real == aPools.end() ? wanted : real->second);
  }
  return compiled;
}

void CompiledConfiguration::Place(const VmListing& aVm,
                                  const Labels& aLabels,
                                  const std::string& aPool)
{
  if (aPool.empty()) {
    return;
  }
  m_poolVms[aPool].push_back(aVm.m_name);
  m_vmPools.emplace(aVm.m_name, aPool);
  for (const auto& [name, service] : m_configuration.m_services) {
    if (RunsOn(service, aPool, aLabels)) {
      m_minions[name][aVm.m_zone].push_back(
        { aVm.m_name, aVm.m_address, service.m_port, aVm.m_zone, aVm.m_rack });
    }
  }
}

const std::vector<std::string>& CompiledConfiguration::VmsOf(std::string_view aPool) const
{
  static const std::vector<std::string> sNone;
  const auto found = m_poolVms.find(aPool);
  return found == m_poolVms.end() ? sNone : found->second;
}

std::string_view CompiledConfiguration::PoolOf(std::string_view aVm) const
{
  const auto found = m_vmPools.find(aVm);
  return found == m_vmPools.end() ? std::string_view() : found->second;
}

std::string_view CompiledConfiguration::WantedPoolOf(std::string_view aVm) const
{
  const auto found = m_wantedPools.find(aVm);
  return found == m_wantedPools.end() ? std::string_view() : found->second;
}

const MinionsByZone& CompiledConfiguration::MinionsOf(std::string_view aService) const
{
  static const MinionsByZone sNone;
  const auto found = m_minions.find(aService);
  return found == m_minions.end() ? sNone : found->second;
}

std::size_t CompiledConfiguration::MinionCount(std::string_view aService) const
{
  std::size_t count = 0;
  for (const auto& [zone, minions] : MinionsOf(aService)) {
    count += minions.size();
  }
  return count;
}

std::vector<std::string> CompiledConfiguration::ServicesOn(std::string_view aVm) const
{
  std::vector<std::string> names;
  for (const auto& [service, zones] : m_minions) {
    for (const auto& [zone, minions] : zones) {
      if (std::any_of(minions.begin(), minions.end(), [aVm](const Minion& aMinion) {
            return aMinion.m_vm == aVm;
          })) {
        names.push_back(service);
      }
    }
  }
  return names;
}

RequestRoute CompiledConfiguration::FindRoute(std::string_view aMethod,
                                              std::string_view aPath) const
{
  std::string_view prefix = WithoutTrailingSlash(aPath);
  while (true) {
    const auto found = m_prefixes.find(prefix);
    if (found != m_prefixes.end()) {
      return { found->second, FindQueue(*found->second, aMethod, aPath) };
    }
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return {};
    }
    prefix = prefix.substr(0, slash);
  }
}

const QueueConfig* FindQueue(const ServiceConfig& aService,
                             std::string_view aMethod,
                             std::string_view aPath)
{
  const std::string_view below =
    aPath.substr(std::min(aPath.size(), WithoutTrailingSlash(aService.m_pathPrefix).size()));
  for (const QueueConfig& queue : aService.m_queues) {
    const auto& methods = queue.m_methods;
    const bool takesMethod =
      methods.empty() || std::find(methods.begin(), methods.end(), aMethod) != methods.end();
    if (takesMethod && StartsWithPath(below, queue.m_pathPrefix)) {
      return &queue;
    }
  }
  return nullptr;
}

} // namespace mustardtray
