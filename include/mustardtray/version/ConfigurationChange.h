#pragma once

/// What differs between two configurations, and what the change does to the fleet.

#include <string>
#include <vector>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// One field that differs. Null stands for a field that is not there.
struct FieldChange
{
  std::string m_pointer;
  Json m_before;
  Json m_after;

  bool operator==(const FieldChange&) const = default;
};

/// Fields that differ, in the order of their pointers; objects are compared field by field, arrays
/// as a whole, versions not at all.
std::vector<FieldChange> Difference(const Configuration& aBefore, const Configuration& aAfter);
std::vector<FieldChange> Difference(const Json& aBefore, const Json& aAfter);

struct VmMove
{
  std::string m_vm;
  std::string m_from; ///< Empty when the VM was in no pool.
  std::string m_to;   ///< Empty when the VM leaves all pools.
};

/// A service whose minions or budget change.
struct BudgetEffect
{
  std::string m_service;
  std::size_t m_minionsBefore = 0;
  std::size_t m_minionsAfter = 0;
  std::size_t m_drains = 0; ///< Minions that have to leave.
  int m_atOnce = 0;         ///< Most of them that the budget lets drain at once.
};

/// What accepting a configuration would do.
struct ConfigurationEffect
{
  std::vector<FieldChange> m_changes;
  std::vector<VmMove> m_moves;
  std::vector<std::string> m_drains; ///< VMs that run a minion now and have to be drained.
  std::vector<BudgetEffect> m_budgets;
};

ConfigurationEffect EffectOf(const Configuration& aBefore,
                             const Configuration& aAfter,
                             const std::vector<VmListing>& aVms);
Json ToJson(const FieldChange& aChange);
Json ToJson(const ConfigurationEffect& aEffect);

} // namespace mustardtray
