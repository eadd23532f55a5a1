#pragma once

/// What operators ask of the fleet controllers.

#include <string>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

enum class OperatorRequestKind
{
  Drain,    ///< Hold a VM drained until released.
  Release,  ///< End the hold.
  Maintain, ///< Start a wave over the VMs that the selector matches.
  PauseWave,
  ResumeWave, ///< Also accepts the failures that halted the wave.
  CancelWave,
};

template<>
struct EnumNames<OperatorRequestKind>
{
  static constexpr std::array kTable{
    std::pair{ OperatorRequestKind::Drain, std::string_view("drain") },
    std::pair{ OperatorRequestKind::Release, std::string_view("release") },
    std::pair{ OperatorRequestKind::Maintain, std::string_view("maintain") },
    std::pair{ OperatorRequestKind::PauseWave, std::string_view("pause") },
    std::pair{ OperatorRequestKind::ResumeWave, std::string_view("resume") },
    std::pair{ OperatorRequestKind::CancelWave, std::string_view("cancel") },
  };
};

struct OperatorRequest
{
  OperatorRequestKind m_kind = OperatorRequestKind::Drain;
  std::string m_operationId; ///< A repeat under the same id does nothing; names the wave.
  std::string m_vm;          ///< For Drain and Release.
  Selector m_selector;       ///< For Maintain.
};

/// The transaction that carries out the request; it has no writes when it has been carried out
/// before. Errors: Refused with the reason, NotFound, Invalid, and those of PlanVmEvent.
Result<Transaction> PlanOperatorRequest(const FleetState& aState, const OperatorRequest& aRequest);

/// The wave with that operation id, or nullptr. Sets aRow to the name of its row.
const Versioned<WaveRecord>* FindWave(const FleetView& aView,
                                      const std::string& aOperationId,
                                      std::string* aRow = nullptr);

} // namespace mustardtray
