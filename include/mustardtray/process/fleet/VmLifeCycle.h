#pragma once

/// The life cycle of a target VM as a pure state machine: a record and an event give the next
/// record, or a refusal.

#include <cstdint>
#include <string>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/VmRecord.h"

namespace mustardtray {

enum class VmEventKind
{
  Begin,         ///< Start an operation: active to draining.
  DrainComplete, ///< Nothing runs there and nobody sends: draining to drained.
  StopDone,      ///< Drained to rebooting; for a move, to verifying in the new pool.
  RebootDone,    ///< Rebooting to verifying.
  Verified,      ///< Verifying to active.
  ActionFailed,  ///< A stop or reboot failed: same phase, next attempt.
  VerifyFailed,  ///< Not healthy in time: back to rebooting, next attempt.
  Cancel,        ///< Draining back to active.
  Release,       ///< End of an operator's hold: draining or drained to active.
  Crashed,       ///< Seen down though it should be up.
  Recovered,     ///< Seen up again.
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
  std::string m_operationId;                   ///< Of the operation that the event belongs to.
  std::uint64_t m_generation = 0;              ///< Of the record that the event was decided on.
  VmOperation m_operation = VmOperation::None; ///< For Begin.
  std::string m_targetPool;                    ///< For Begin of a move.
  std::string m_homePool;                      ///< For Begin: home after a move; empty keeps it.
  std::uint64_t m_configVersion = 0;           ///< For Begin with a home pool.
  std::uint64_t m_waveNumber = 0;              ///< For Begin by a wave.
  std::vector<std::string> m_services;         ///< For Begin: services that lose a minion.
};

/// The record after the event. A repeat of an event that has been applied under the same operation
/// id gives the record unchanged. Errors: Refused for an illegal step, Conflict when the event
/// belongs to another operation or to a generation that never was.
Result<VmRecord> ApplyVmEvent(const VmRecord& aRecord, const VmEvent& aEvent);

/// Id under which the platform carries out an action of the record's operation once.
std::string ActionOperationId(const VmRecord& aRecord, std::string_view aAction);

} // namespace mustardtray
