#include "mustardtray/version/CompiledConfiguration.h"

#include <algorithm>

#include "mustardtray/version/PathPrefix.h"
#include "mustardtray/version/VmPlacement.h"

namespace mustardtray {

CompiledConfiguration::CompiledConfiguration(Configuration aConfiguration)
  : m_configuration(std::move(aConfiguration))
{
  for (const auto& [name, service] : m_configuration.m_services) {
    m_servicesByPrefix.emplace(StripTrailingSlash(service.m_pathPrefix), &service);
    m_minionsByService[name];
    m_servicesByPool[service.m_pool].push_back(&service);
  }
  for (const auto& [name, pool] : m_configuration.m_pools) {
    m_vmsByPool[name];
  }
}

CompiledConfigurationPointer CompiledConfiguration::Compile(
  Configuration aConfiguration,
  const std::vector<VmListing>& aVms,
  const std::map<std::string, std::string>& aPools)
{
  std::shared_ptr<CompiledConfiguration> compiled(
    new CompiledConfiguration(std::move(aConfiguration)));
  const Configuration& source = compiled->m_configuration;
  const PoolMatcher matcher(source);
  for (const LabelledVm& vm : LabelTargetVms(source, aVms)) {
    const std::string& name = vm.m_listing.m_name;
    const std::vector<std::string> matching = matcher.Match(vm.m_labels);
    const std::string desiredPool = matching.empty() ? std::string() : matching.front();
    if (!desiredPool.empty()) {
      compiled->m_desiredPools.emplace(name, desiredPool);
    }
    const auto currentPool = aPools.find(name);
    compiled->AddVm(
      vm.m_listing, vm.m_labels, currentPool == aPools.end() ? desiredPool : currentPool->second);
  }
  return compiled;
}

void CompiledConfiguration::AddVm(const VmListing& aVm,
                                  const Labels& aLabels,
                                  const std::string& aPool)
{
  if (aPool.empty()) {
    return;
  }
  m_vmsByPool[aPool].push_back(aVm.m_name);
  m_currentPools.emplace(aVm.m_name, aPool);
  const auto services = m_servicesByPool.find(aPool);
  if (services == m_servicesByPool.end()) {
    return;
  }
  for (const ServiceConfig* service : services->second) {
    if (service->m_selector.Matches(aLabels)) {
      m_serviceNamesByVm[aVm.m_name].push_back(service->m_name);
      m_minionsByService[service->m_name][aVm.m_zone].push_back(
        { aVm.m_name, aVm.m_address, service->m_port, aVm.m_zone, aVm.m_rack });
    }
  }
}

const std::vector<std::string>& CompiledConfiguration::VmsOf(std::string_view aPool) const
{
  static const std::vector<std::string> sEmpty;
  const auto found = m_vmsByPool.find(aPool);
  return found == m_vmsByPool.end() ? sEmpty : found->second;
}

std::string_view CompiledConfiguration::PoolOf(std::string_view aVm) const
{
  const auto found = m_currentPools.find(aVm);
  return found == m_currentPools.end() ? std::string_view() : found->second;
}

std::string_view CompiledConfiguration::DesiredPoolOf(std::string_view aVm) const
{
  const auto found = m_desiredPools.find(aVm);
  return found == m_desiredPools.end() ? std::string_view() : found->second;
}

const MinionsByZone& CompiledConfiguration::MinionsOf(std::string_view aService) const
{
  static const MinionsByZone sEmpty;
  const auto found = m_minionsByService.find(aService);
  return found == m_minionsByService.end() ? sEmpty : found->second;
}

std::size_t CompiledConfiguration::MinionCount(std::string_view aService) const
{
  std::size_t count = 0;
  for (const auto& [zone, minions] : MinionsOf(aService)) {
    count += minions.size();
  }
  return count;
}

const std::vector<std::string>& CompiledConfiguration::ServicesOn(std::string_view aVm) const
{
  static const std::vector<std::string> sEmpty;
  const auto found = m_serviceNamesByVm.find(aVm);
  return found == m_serviceNamesByVm.end() ? sEmpty : found->second;
}

RequestRoute CompiledConfiguration::FindRoute(std::string_view aMethod,
                                              std::string_view aPath) const
{
  std::string_view prefix = StripTrailingSlash(aPath);
  while (true) {
    const auto found = m_servicesByPrefix.find(prefix);
    if (found != m_servicesByPrefix.end()) {
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
  const std::string_view relativePath =
    aPath.substr(std::min(aPath.size(), StripTrailingSlash(aService.m_pathPrefix).size()));
  for (const QueueConfig& queue : aService.m_queues) {
    const auto& methods = queue.m_methods;
    const bool matchesMethod =
      methods.empty() || std::find(methods.begin(), methods.end(), aMethod) != methods.end();
    if (matchesMethod && HasPathPrefix(relativePath, queue.m_pathPrefix)) {
      return &queue;
    }
  }
  return nullptr;
}

} // namespace mustardtray
