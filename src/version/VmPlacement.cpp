#include "mustardtray/version/VmPlacement.h"

#include <algorithm>
#include <map>
#include <set>

namespace mustardtray {

Labels LabelsOf(const Configuration& aConfiguration, const VmListing& aVm)
{
  Labels labels;
  const auto configured = aConfiguration.m_vmLabels.find(aVm.m_name);
  if (configured != aConfiguration.m_vmLabels.end()) {
    labels = configured->second;
  }
  labels[std::string(kVmLabel)] = aVm.m_name;
  labels[std::string(kZoneLabel)] = aVm.m_zone;
  if (!aVm.m_rack.empty()) {
    labels[std::string(kRackLabel)] = aVm.m_rack;
  }
  return labels;
}

std::vector<LabelledVm> LabelTargetVms(const Configuration& aConfiguration,
                                       const std::vector<VmListing>& aVms)
{
  std::map<std::string, const VmListing*> byName;
  for (const VmListing& vm : aVms) {
    if (vm.m_role == VmRole::Target && vm.m_state != VmState::Gone) {
      byName.emplace(vm.m_name, &vm);
    }
  }
  std::vector<LabelledVm> labelled;
  labelled.reserve(byName.size());
  for (const auto& [name, vm] : byName) {
    labelled.push_back({ *vm, LabelsOf(aConfiguration, *vm) });
  }
  return labelled;
}

PoolMatcher::PoolMatcher(const Configuration& aConfiguration)
{
  for (const auto& [name, pool] : aConfiguration.m_pools) {
    if (pool.m_selector.m_anyOf.empty()) {
      m_matchAll.push_back(&pool);
      continue;
    }
    const auto& [key, values] = *pool.m_selector.m_anyOf.begin();
    for (const std::string& value : std::set<std::string>(values.begin(), values.end())) {
      m_poolsByLabel[{ key, value }].push_back(&pool);
    }
  }
}

std::vector<std::string> PoolMatcher::Match(const Labels& aLabels) const
{
  std::vector<std::string> names;
  for (const PoolConfig* pool : m_matchAll) {
    names.push_back(pool->m_name);
  }
  for (const auto& label : aLabels) {
    const auto pools = m_poolsByLabel.find(label);
    if (pools == m_poolsByLabel.end()) {
      continue;
    }
    for (const PoolConfig* pool : pools->second) {
      if (pool->m_selector.Matches(aLabels)) {
        names.push_back(pool->m_name);
      }
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<std::string> FindMatchingPools(const Configuration& aConfiguration,
                                           const Labels& aLabels)
{
  std::vector<std::string> names;
  for (const auto& [name, pool] : aConfiguration.m_pools) {
    if (pool.m_selector.Matches(aLabels)) {
      names.push_back(name);
    }
  }
  return names;
}

bool RunsOn(const ServiceConfig& aService, const std::string& aPool, const Labels& aLabels)
{
  return aService.m_pool == aPool && aService.m_selector.Matches(aLabels);
}

} // namespace mustardtray
