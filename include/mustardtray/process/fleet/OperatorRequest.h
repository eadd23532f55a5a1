#pragma once

/// Requests of operators to the fleet controllers.

#include <string>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

enum class OperatorRequestKind
{
  Drain,    ///< Drain a VM and hold it until it is released.
  Release,  ///< End the hold.
  Maintain, ///< Start a maintenance wave over the VMs that match the selector.
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
  std::string m_operationId; ///< Makes repeated requests idempotent; identifies a wave.
  std::string m_vm;          ///< For Drain and Release.
  Selector m_selector;       ///< For Maintain.
};

/// Builds the transaction that carries out the request. It has no writes when the request has
/// already been carried out. Errors: Refused with the reason, NotFound, Invalid, and those of
/// PlanVmEvent.
Result<Transaction> PlanOperatorRequest(const FleetState& aState, const OperatorRequest& aRequest);

/// Returns the wave with that operation id, or nullptr. Sets aRow to the name of its row, which is
/// the key without the prefix.
const Versioned<WaveRecord>* FindWave(const FleetView& aView,
                                      const std::string& aOperationId,
                                      std::string* aRow = nullptr);

} // namespace mustardtray
