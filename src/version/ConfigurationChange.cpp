#include "mustardtray/version/ConfigurationChange.h"

#include <algorithm>
#include <set>

#include "mustardtray/version/CompiledConfiguration.h"
#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray {

namespace {

const Json& MemberOrNull(const Json& aObject, const std::string& aKey)
{
  static const Json sNull;
  const auto found = aObject.find(aKey);
  return found == aObject.end() ? sNull : *found;
}

/// True for the pointer to the label set of one VM. Label sets are compared label by label even
/// when the VM has no labels on one side, so that operators who set different keys on a new VM do
/// not conflict.
bool IsVmLabelSet(const Json::json_pointer& aPointer)
{
  static const Json::json_pointer sLabels("/vm_labels");
  return !aPointer.empty() && aPointer.parent_pointer() == sLabels;
}

Json NullToEmptyObject(const Json& aValue)
{
  return aValue.is_null() ? Json::object() : aValue;
}

void AppendDifferences(const Json::json_pointer& aPointer,
                       const Json& aBefore,
                       const Json& aAfter,
                       std::vector<FieldChange>& aChanges)
{
  if (aBefore == aAfter) {
    return;
  }
  if (IsVmLabelSet(aPointer) && (aBefore.is_null() || aAfter.is_null())) {
    AppendDifferences(aPointer, NullToEmptyObject(aBefore), NullToEmptyObject(aAfter), aChanges);
    return;
  }
  if (!aBefore.is_object() || !aAfter.is_object()) {
    aChanges.push_back({ aPointer.to_string(), aBefore, aAfter });
    return;
  }
  std::set<std::string> keys;
  for (const auto& [key, value] : aBefore.items()) {
    keys.insert(key);
  }
  for (const auto& [key, value] : aAfter.items()) {
    keys.insert(key);
  }
  for (const std::string& key : keys) {
    AppendDifferences(
      aPointer / key, MemberOrNull(aBefore, key), MemberOrNull(aAfter, key), aChanges);
  }
}

std::set<std::string> CollectVmNames(const CompiledConfiguration& aCompiled,
                                     const std::string& aService)
{
  std::set<std::string> names;
  for (const auto& [zone, minions] : aCompiled.MinionsOf(aService)) {
    for (const Minion& minion : minions) {
      names.insert(minion.m_vm);
    }
  }
  return names;
}

std::size_t CountMissing(const std::set<std::string>& aBefore, const std::set<std::string>& aAfter)
{
  return static_cast<std::size_t>(
    std::count_if(aBefore.begin(), aBefore.end(), [&aAfter](const std::string& aName) {
      return !aAfter.contains(aName);
    }));
}

class ConfigurationEffectBuilder
{
public:
  ConfigurationEffectBuilder(const Configuration& aBefore,
                             const Configuration& aAfter,
                             const std::vector<VmListing>& aVms)
    : m_before(CompiledConfiguration::Compile(aBefore, aVms))
    , m_after(CompiledConfiguration::Compile(aAfter, aVms))
  {
    for (const VmListing& vm : aVms) {
      m_vms.insert(vm.m_name);
    }
  }

  ConfigurationEffect Build()
  {
    m_effect.m_changes = FindDifferences(m_before->Source(), m_after->Source());
    for (const std::string& vm : m_vms) {
      AddVmEffect(vm);
    }
    std::set<std::string> services;
    for (const auto& [name, service] : m_before->Source().m_services) {
      services.insert(name);
    }
    for (const auto& [name, service] : m_after->Source().m_services) {
      services.insert(name);
    }
    for (const std::string& service : services) {
      AddBudgetEffect(service);
    }
    return std::move(m_effect);
  }

private:
  void AddVmEffect(const std::string& aVm)
  {
    const std::string from(m_before->PoolOf(aVm));
    const std::string to(m_after->PoolOf(aVm));
    if (from != to) {
      m_effect.m_moves.push_back({ aVm, from, to });
    }
    const std::vector<std::string>& runs = m_before->ServicesOn(aVm);
    if (!runs.empty() && (from != to || runs != m_after->ServicesOn(aVm))) {
      m_effect.m_drains.push_back(aVm);
    }
  }

  void AddBudgetEffect(const std::string& aService)
  {
    const std::set<std::string> before = CollectVmNames(*m_before, aService);
    const std::set<std::string> after = CollectVmNames(*m_after, aService);
    const AvailabilityBudget budgetBefore = BudgetOf(*m_before, aService);
    const AvailabilityBudget budget = BudgetOf(*m_after, aService);
    if (before == after && budget == budgetBefore) {
      return;
    }
    m_effect.m_budgets.push_back({ aService,
                                   before.size(),
                                   after.size(),
                                   CountMissing(before, after),
                                   budget.m_maxUnavailable - budget.m_failureReserve });
  }

  static AvailabilityBudget BudgetOf(const CompiledConfiguration& aCompiled,
                                     const std::string& aService)
  {
    const auto& services = aCompiled.Source().m_services;
    const auto found = services.find(aService);
    return found == services.end() ? AvailabilityBudget{ 0, 0 } : found->second.m_budget;
  }

  CompiledConfigurationPointer m_before;
  CompiledConfigurationPointer m_after;
  std::set<std::string> m_vms;
  ConfigurationEffect m_effect;
};

} // namespace

std::vector<FieldChange> FindDifferences(const Json& aBefore, const Json& aAfter)
{
  std::vector<FieldChange> changes;
  AppendDifferences(Json::json_pointer(), aBefore, aAfter, changes);
  return changes;
}

std::vector<FieldChange> FindDifferences(const Configuration& aBefore, const Configuration& aAfter)
{
  Json before = ToJson(aBefore);
  Json after = ToJson(aAfter);
  before.erase("version");
  after.erase("version");
  return FindDifferences(before, after);
}

ConfigurationEffect ComputeEffect(const Configuration& aBefore,
                                  const Configuration& aAfter,
                                  const std::vector<VmListing>& aVms)
{
  return ConfigurationEffectBuilder(aBefore, aAfter, aVms).Build();
}

Json ToJson(const FieldChange& aChange)
{
  return Json{ { "pointer", aChange.m_pointer },
               { "before", aChange.m_before },
               { "after", aChange.m_after } };
}

Json ToJson(const ConfigurationEffect& aEffect)
{
  Json changes = Json::array();
  for (const FieldChange& change : aEffect.m_changes) {
    changes.push_back(ToJson(change));
  }
  Json moves = Json::array();
  for (const VmMove& move : aEffect.m_moves) {
    moves.push_back({ { "vm", move.m_vm }, { "from", move.m_from }, { "to", move.m_to } });
  }
  Json budgets = Json::array();
  for (const BudgetEffect& budget : aEffect.m_budgets) {
    budgets.push_back({ { "service", budget.m_service },
                        { "minions_before", budget.m_minionsBefore },
                        { "minions_after", budget.m_minionsAfter },
                        { "drains", budget.m_drains },
                        { "at_once", budget.m_maxConcurrentDrains } });
  }
  return Json{ { "changes", std::move(changes) },
               { "moves", std::move(moves) },
               { "drains", aEffect.m_drains },
               { "budgets", std::move(budgets) } };
}

} // namespace mustardtray
