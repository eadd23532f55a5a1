#pragma once

/// The table's row of one target VM: its pool and its life cycle phase.

#include <cstdint>
#include <string>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"

namespace mustardtray {

enum class VmPhase
{
  Active,    ///< Accepts work.
  Draining,  ///< Accepts no new work; work in flight ends or is checkpointed.
  Drained,   ///< Has no work left and is about to be stopped.
  Rebooting, ///< Stopped, being rebooted or moved.
  Verifying, ///< Started, but not yet confirmed healthy.
};

template<>
struct EnumNames<VmPhase>
{
  static constexpr std::array kTable{
    std::pair{ VmPhase::Active, std::string_view("active") },
    std::pair{ VmPhase::Draining, std::string_view("draining") },
    std::pair{ VmPhase::Drained, std::string_view("drained") },
    std::pair{ VmPhase::Rebooting, std::string_view("rebooting") },
    std::pair{ VmPhase::Verifying, std::string_view("verifying") },
  };
};

/// The planned operation that a VM is out of service for.
enum class VmOperation
{
  None,
  Hold,     ///< An operator's drain: the VM stays drained until released and is never stopped.
  Maintain, ///< Drain, stop, reboot, verify.
  Move,     ///< Drain, stop, change the pool, start, verify.
};

template<>
struct EnumNames<VmOperation>
{
  static constexpr std::array kTable{
    std::pair{ VmOperation::None, std::string_view("none") },
    std::pair{ VmOperation::Hold, std::string_view("hold") },
    std::pair{ VmOperation::Maintain, std::string_view("maintain") },
    std::pair{ VmOperation::Move, std::string_view("move") },
  };
};

/// Rows of target VMs are stored under this prefix followed by the VM's name.
inline constexpr std::string_view kVmRowPrefix = "vm/";

struct VmRecord
{
  std::string m_name;
  std::string m_address; ///< IP address.
  std::string m_zone;
  std::string m_rack;
  std::string m_pool;     ///< The pool that the VM currently belongs to.
  std::string m_homePool; ///< Pool by the operators' labels; differs from m_pool while borrowed.
  VmPhase m_phase = VmPhase::Active;
  std::uint64_t m_generation = 0; ///< Increases with every change of pool or phase.
  VmOperation m_operation = VmOperation::None;
  std::string m_operationId;           ///< Operation that takes the VM out; empty when active.
  std::string m_lastOperationId;       ///< Last ended operation; a repeat of it does nothing.
  std::string m_targetPool;            ///< Pool to move to; empty once the pool has changed.
  int m_attempt = 0;                   ///< Increases with each failed action; part of action ids.
  bool m_isDown = false;               ///< Down without a planned operation.
  std::vector<std::string> m_services; ///< Services whose budget ledgers count this planned stop.
  std::uint64_t m_waveNumber = 0;      ///< Wave of the operation; 0 when there is none.
  std::uint64_t m_configVersion = 0;   ///< Configuration version that set m_homePool.
  std::uint64_t m_lastRebootWave = 0;  ///< Highest wave that has rebooted the VM.

  bool IsOut() const { return m_phase != VmPhase::Active; }
  bool operator==(const VmRecord&) const = default;
};

Json ToJson(const VmRecord& aRecord);
/// Errors: Invalid with the JSON pointer of the first fault.
Result<VmRecord> ParseVmRecord(const Json& aValue);

} // namespace mustardtray
