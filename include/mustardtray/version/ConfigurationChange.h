#pragma once

/// Differences between two configurations, and the effect of a change on the fleet.

#include <string>
#include <vector>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// One field that differs. A missing field is represented by null.
struct FieldChange
{
  std::string m_pointer;
  Json m_before;
  Json m_after;

  bool operator==(const FieldChange&) const = default;
};

/// Returns the fields that differ, sorted by pointer. Objects are compared field by field and
/// arrays as a whole. The versions of two configurations are not compared.
std::vector<FieldChange> FindDifferences(const Configuration& aBefore, const Configuration& aAfter);
std::vector<FieldChange> FindDifferences(const Json& aBefore, const Json& aAfter);

/// A VM that changes its pool.
struct VmMove
{
  std::string m_vm;
  std::string m_from; ///< Empty when the VM was in no pool.
  std::string m_to;   ///< Empty when the VM leaves all pools.
};

/// Change of a service's minions or availability budget.
struct BudgetEffect
{
  std::string m_service;
  std::size_t m_minionsBefore = 0;
  std::size_t m_minionsAfter = 0;
  std::size_t m_drains = 0;      ///< Minions that have to be drained.
  int m_maxConcurrentDrains = 0; ///< Concurrent drains that the budget allows.
};

/// Changes that follow when a configuration is accepted.
struct ConfigurationEffect
{
  std::vector<FieldChange> m_changes;
  std::vector<VmMove> m_moves;
  std::vector<std::string> m_drains; ///< VMs with a running minion that have to be drained.
  std::vector<BudgetEffect> m_budgets;
};

ConfigurationEffect ComputeEffect(const Configuration& aBefore,
                                  const Configuration& aAfter,
                                  const std::vector<VmListing>& aVms);
Json ToJson(const FieldChange& aChange);
Json ToJson(const ConfigurationEffect& aEffect);

} // namespace mustardtray
