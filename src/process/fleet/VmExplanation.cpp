#include "mustardtray/process/fleet/VmExplanation.h"

#include <fmt/format.h>

namespace mustardtray {

namespace {

void AddRecordLines(const VmRecord& aVm, std::vector<std::string>& aLines)
{
  aLines.push_back(
    fmt::format("VM {} is {} in pool {}, availability zone {}, rack {}, generation {}",
                aVm.m_name,
                ToName(aVm.m_phase),
                aVm.m_pool,
                aVm.m_zone,
                aVm.m_rack,
                aVm.m_generation));
  if (aVm.IsOut()) {
    aLines.push_back(fmt::format(
      "out for {} {}, attempt {}", ToName(aVm.m_operation), aVm.m_operationId, aVm.m_attempt));
  }
  if (aVm.m_isDown) {
    aLines.emplace_back("down (unplanned)");
  }
}

} // namespace

std::vector<std::string> ExplainVm(const FleetState& aState, const std::string& aVm)
{
  std::vector<std::string> lines;
  if (const VmRecord* vm = aState.m_view.Vm(aVm)) {
    AddRecordLines(*vm, lines);
    if (PoolByLabels(aState.m_configuration, aState.m_index.m_labelsByVm.at(aVm)).empty()) {
      lines.emplace_back("no pool's selector matches its labels");
    }
  } else {
    lines.push_back(fmt::format("VM {} has no row", aVm));
  }
  const ReconciledVm* reconciledVm = aState.m_inventory ? aState.m_inventory->Find(aVm) : nullptr;
  if (reconciledVm) {
    for (const std::string& inconsistency : reconciledVm->m_inconsistencies) {
      lines.push_back("platform list: " + inconsistency);
    }
  }
  return lines;
}

} // namespace mustardtray
