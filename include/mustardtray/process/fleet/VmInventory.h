#pragma once

/// Reconciles the platform's VM lists, which lag and may be inconsistent, into one state per VM.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Reconciled state of one VM.
struct ReconciledVm
{
  VmListing m_listing; ///< Zone as first listed since the VM was last gone; rack as last listed.
  bool m_isMissing = false;                ///< The last list does not contain the VM.
  TimePoint m_missingSince{};              ///< Valid while m_isMissing is set.
  std::set<std::string> m_inconsistencies; ///< Inconsistencies in the lists, for operators.
};

class VmInventory
{
public:
  explicit VmInventory(Millis aMissingGrace)
    : m_missingGrace(aMissingGrace)
  {
  }

  /// Applies a complete list. A VM that is listed several times counts as live or gone only when
  /// all its lines agree, and as leaving otherwise. A VM that is missing from the list keeps its
  /// last state.
  void Update(const std::vector<VmListing>& aList, TimePoint aNow);

  /// Returns the VM, or nullptr when no list has contained it.
  const ReconciledVm* Find(const std::string& aVm) const;
  /// Returns whether all lines of the platform's list about the VM say that it is gone.
  bool IsGone(const std::string& aVm) const;
  const std::map<std::string, ReconciledVm>& Vms() const { return m_vms; }
  /// Returns whether a list has been applied.
  bool HasVmList() const { return m_hasVmList; }

private:
  void MergeListings(const std::vector<const VmListing*>& aListings);
  void MarkMissing(ReconciledVm& aVm, TimePoint aNow) const;

  Millis m_missingGrace;
  bool m_hasVmList = false;
  std::map<std::string, ReconciledVm> m_vms;
};

} // namespace mustardtray
