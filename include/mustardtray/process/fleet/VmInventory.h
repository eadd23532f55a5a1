#pragma once

/// Reconciles the platform's lagging and contradictory VM lists into one believed state.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// One VM as it is believed to be.
struct BelievedVm
{
  VmListing m_listing;            ///< Zone, rack and address as first seen since the VM was gone.
  bool m_isMissing = false;       ///< Not on the last list.
  TimePoint m_missingSince{};     ///< Valid while missing.
  std::set<std::string> m_faults; ///< What the lists say that cannot be.
};

class VmInventory
{
public:
  explicit VmInventory(Millis aVanishGrace)
    : m_vanishGrace(aVanishGrace)
  {
  }

  /// Takes in a whole list. A VM that is listed twice is believed to be in the state that promises
  /// less, but gone only when no line says otherwise. One that vanishes keeps its last state.
  void Update(const std::vector<VmListing>& aList, TimePoint aNow);

  /// The VM, or nullptr when no list has ever named it.
  const BelievedVm* Find(const std::string& aVm) const;
  /// Whether the platform has said without contradiction that the VM is gone.
  bool IsGone(const std::string& aVm) const;
  const std::map<std::string, BelievedVm>& Vms() const { return m_vms; }
  /// Whether any list has been taken in.
  bool IsKnown() const { return m_isKnown; }

private:
  void Merge(const std::vector<const VmListing*>& aLines);
  void MarkMissing(BelievedVm& aVm, TimePoint aNow) const;

  Millis m_vanishGrace;
  bool m_isKnown = false;
  std::map<std::string, BelievedVm> m_vms;
};

} // namespace mustardtray
