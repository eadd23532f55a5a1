#include "mustardtray/version/CheckConfiguration.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "mustardtray/version/VmPlacement.h"
#include "version/ServiceCheck.h"

namespace mustardtray {

namespace {

/// Maximum number of VM names in one message.
constexpr std::size_t kMaxListedVms = 3;

template<typename T>
std::vector<std::string> CollectNames(const std::map<std::string, T>& aItems)
{
  std::vector<std::string> names;
  for (const auto& [name, item] : aItems) {
    names.push_back(name);
  }
  return names;
}

std::string AppendSuggestion(const std::string& aText, const std::string& aClosest)
{
  return aClosest.empty() ? aText : aText + "; did you mean \"" + aClosest + "\"?";
}

std::string JoinNames(const std::vector<std::string>& aNames)
{
  std::string text;
  for (std::size_t i = 0; i < aNames.size() && i < kMaxListedVms; ++i) {
    text += (i ? ", " : "") + aNames[i];
  }
  if (aNames.size() > kMaxListedVms) {
    text += fmt::format(" and {} more", aNames.size() - kMaxListedVms);
  }
  return text;
}

class Checker
{
public:
  Checker(const Configuration& aConfiguration, const std::vector<VmListing>& aVms)
    : m_configuration(aConfiguration)
    , m_vms(LabelTargetVms(aConfiguration, aVms))
  {
  }

  ConfigurationCheckResult Run()
  {
    CheckPoolReferences();
    CheckSelectorKeys();
    CheckServices(m_configuration, m_check.m_errors);
    if (m_vms.empty()) {
      m_check.m_warnings.push_back(
        { "", "no list of target VMs", "a VM list, to check which VMs the selectors match" });
      return std::move(m_check);
    }
    CheckPoolMembership();
    CheckPoolSizes();
    CheckMinionCounts();
    return std::move(m_check);
  }

private:
  void CheckPoolExists(const std::string& aPointer, const std::string& aPool)
  {
    if (m_configuration.m_pools.contains(aPool)) {
      return;
    }
    const std::string closest = ClosestName(aPool, CollectNames(m_configuration.m_pools));
    m_check.m_errors.push_back(
      { aPointer, ShortText(aPool), AppendSuggestion("the name of a pool", closest) });
  }

  void CheckPoolReferences()
  {
    if (!m_configuration.m_sparePool.empty()) {
      CheckPoolExists("/spare_pool", m_configuration.m_sparePool);
    }
    for (const auto& [name, service] : m_configuration.m_services) {
      CheckPoolExists("/services/" + name + "/pool", service.m_pool);
    }
  }

  void CheckLabelKeys(const std::string& aObject, const Selector& aSelector)
  {
    for (const auto& [key, values] : aSelector.m_anyOf) {
      if (m_labelKeys.contains(key)) {
        continue;
      }
      const std::vector<std::string> known(m_labelKeys.begin(), m_labelKeys.end());
      m_check.m_errors.push_back(
        { aObject + "/selector/" + key,
          "a label key that no VM has",
          AppendSuggestion("a label key of a VM", ClosestName(key, known)) });
    }
  }

  void CheckSelectorKeys()
  {
    m_labelKeys = { std::string(kVmLabel), std::string(kZoneLabel), std::string(kRackLabel) };
    for (const auto& [vm, labels] : m_configuration.m_vmLabels) {
      for (const auto& [key, value] : labels) {
        m_labelKeys.insert(key);
      }
    }
    for (const auto& [name, pool] : m_configuration.m_pools) {
      CheckLabelKeys("/pools/" + name, pool.m_selector);
    }
    for (const auto& [name, service] : m_configuration.m_services) {
      CheckLabelKeys("/services/" + name, service.m_selector);
    }
    for (const auto& [name, window] : m_configuration.m_windows) {
      CheckLabelKeys("/maintenance_windows/" + name, window.m_selector);
    }
  }

  void CheckPoolMembership()
  {
    std::map<std::pair<std::string, std::string>, std::vector<std::string>> vmsByPoolPair;
    const PoolMatcher matcher(m_configuration);
    for (const LabelledVm& vm : m_vms) {
      const std::string& name = vm.m_listing.m_name;
      const std::vector<std::string> pools = matcher.Match(vm.m_labels);
      if (pools.empty() && m_configuration.m_vmLabels.contains(name)) {
        m_check.m_warnings.push_back(
          { "/vm_labels/" + name, "labels that no pool's selector matches", "labels of one pool" });
      }
      for (std::size_t i = 1; i < pools.size(); ++i) {
        vmsByPoolPair[{ pools[0], pools[i] }].push_back(name);
      }
      for (const std::string& pool : pools) {
        m_vmsByPool[pool].push_back(&vm);
      }
    }
    for (const auto& [pools, vms] : vmsByPoolPair) {
      m_check.m_errors.push_back(
        { "/pools/" + pools.second + "/selector",
          fmt::format("VM {} also matched by pool {}", JoinNames(vms), pools.first),
          "each VM matched by one pool" });
    }
    CheckLabelledVmsExist();
  }

  void CheckLabelledVmsExist()
  {
    std::vector<std::string> listed;
    for (const LabelledVm& vm : m_vms) {
      listed.push_back(vm.m_listing.m_name);
    }
    for (const auto& [name, labels] : m_configuration.m_vmLabels) {
      if (!std::binary_search(listed.begin(), listed.end(), name)) {
        m_check.m_warnings.push_back(
          { "/vm_labels/" + name,
            "no such VM in the platform's list",
            AppendSuggestion("a target VM", ClosestName(name, listed)) });
      }
    }
  }

  void CheckPoolSizes()
  {
    for (const auto& [name, pool] : m_configuration.m_pools) {
      const int vms = static_cast<int>(m_vmsByPool[name].size());
      if (vms == 0) {
        m_check.m_warnings.push_back(
          { "/pools/" + name + "/selector", "no VM", "a selector that matches a VM" });
      } else if (vms < pool.m_minVms) {
        m_check.m_errors.push_back({ "/pools/" + name + "/min_vms",
                                     std::to_string(pool.m_minVms),
                                     fmt::format("at most the {} VMs of the pool", vms) });
      }
    }
  }

  void CheckMinionCounts()
  {
    for (const auto& [name, service] : m_configuration.m_services) {
      const auto& vms = m_vmsByPool[service.m_pool];
      const Selector& selector = service.m_selector;
      const auto minions =
        std::count_if(vms.begin(), vms.end(), [&selector](const LabelledVm* aVm) {
          return selector.Matches(aVm->m_labels);
        });
      if (minions == 0) {
        m_check.m_errors.push_back({ "/services/" + name + "/selector",
                                     "no VM",
                                     "a pool and selector that match at least one VM" });
      } else if (service.m_budget.m_maxUnavailable >= minions) {
        m_check.m_errors.push_back({ "/services/" + name + "/budget/max_unavailable",
                                     std::to_string(service.m_budget.m_maxUnavailable),
                                     fmt::format("fewer than the service's {} minions", minions) });
      }
    }
  }

  const Configuration& m_configuration;
  std::vector<LabelledVm> m_vms;
  std::set<std::string> m_labelKeys;
  std::map<std::string, std::vector<const LabelledVm*>> m_vmsByPool;
  ConfigurationCheckResult m_check;
};

} // namespace

ConfigurationCheckResult CheckConfiguration(const Configuration& aConfiguration,
                                            const std::vector<VmListing>& aVms)
{
  return Checker(aConfiguration, aVms).Run();
}

} // namespace mustardtray
