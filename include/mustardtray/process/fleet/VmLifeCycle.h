#pragma once

/// The life cycle of a target VM as a pure state machine, which maps a record and an event to the
/// next record or an error.

#include <cstdint>
#include <string>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/VmRecord.h"

namespace mustardtray {

enum class VmEventKind
{
  Begin,         ///< Starts an operation: active to draining.
  DrainComplete, ///< No requests run or are sent any more: draining to drained.
  StopDone,      ///< Drained to rebooting, or for a move to verifying in the new pool.
  RebootDone,    ///< Rebooting to verifying.
  Verified,      ///< Verifying to active.
  ActionFailed,  ///< A stop or reboot failed: same phase, next attempt.
  VerifyFailed,  ///< Start failed or not healthy in time: back to rebooting, next attempt.
  Cancel,        ///< Draining back to active.
  Release,       ///< Ends an operator's hold: draining or drained to active.
  Crashed,       ///< Down although it should be up; no change of phase.
  Recovered,     ///< Up again after a crash.
};

template<>
struct EnumNames<VmEventKind>
{
  static constexpr std::array kTable{
    std::pair{ VmEventKind::Begin, std::string_view("begin") },
    std::pair{ VmEventKind::DrainComplete, std::string_view("drain-complete") },
    std::pair{ VmEventKind::StopDone, std::string_view("stop-done") },
    std::pair{ VmEventKind::RebootDone, std::string_view("reboot-done") },
    std::pair{ VmEventKind::Verified, std::string_view("verified") },
    std::pair{ VmEventKind::ActionFailed, std::string_view("action-failed") },
    std::pair{ VmEventKind::VerifyFailed, std::string_view("verify-failed") },
    std::pair{ VmEventKind::Cancel, std::string_view("cancel") },
    std::pair{ VmEventKind::Release, std::string_view("release") },
    std::pair{ VmEventKind::Crashed, std::string_view("crashed") },
    std::pair{ VmEventKind::Recovered, std::string_view("recovered") },
  };
};

struct VmEvent
{
  VmEventKind m_kind = VmEventKind::Begin;
  std::string m_operationId;      ///< Operation that the event belongs to.
  std::uint64_t m_generation = 0; ///< Generation of the record that the event is based on.
  VmOperation m_operation = VmOperation::None; ///< For Begin.
  std::string m_targetPool;                    ///< For Begin of a move.
  std::string m_homePool;              ///< For Begin: new home pool; empty keeps the old one.
  std::uint64_t m_configVersion = 0;   ///< For Begin with a home pool: its configuration.
  std::uint64_t m_waveNumber = 0;      ///< For Begin by a wave; 0 otherwise.
  std::vector<std::string> m_services; ///< For Begin: services with a minion on the VM.
};

/// Returns the record after the event. An event that was already applied under the same operation
/// id leaves the record unchanged. Errors: Refused when the event is not allowed in the current
/// phase, Conflict when it belongs to another operation or to a generation that does not exist.
Result<VmRecord> ApplyVmEvent(const VmRecord& aRecord, const VmEvent& aEvent);

/// Returns the idempotency id of an action for the current attempt of the record's operation.
std::string ActionOperationId(const VmRecord& aRecord, std::string_view aAction);

} // namespace mustardtray
