#pragma once

/// The table's row of one target VM: its pool and where it stands in its life cycle.

#include <cstdint>
#include <string>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"

namespace mustardtray {

enum class VmPhase
{
  Active,    ///< Takes work.
  Draining,  ///< Takes no new work; work in flight ends or is checkpointed.
  Drained,   ///< No work left; about to be stopped.
  Rebooting, ///< Stopped, being rebooted or moved.
  Verifying, ///< Started; not yet seen healthy.
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

/// Why a VM is out of service on purpose.
enum class VmOperation
{
  None,
  Hold,     ///< An operator's drain: stays drained, is never stopped, until released.
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
  std::string m_address; ///< IP number.
  std::string m_zone;
  std::string m_rack;
  std::string m_pool;     ///< The one pool that the VM belongs to.
  std::string m_homePool; ///< Pool that the operators' labels give it; differs while it is lent.
  VmPhase m_phase = VmPhase::Active;
  std::uint64_t m_generation = 0; ///< Grows with every change of pool or phase.
  VmOperation m_operation = VmOperation::None;
  std::string m_operationId;     ///< Operation that the VM is out for; empty when active.
  std::string m_lastOperationId; ///< Operation that ended last, so that a repeat does nothing.
  std::string m_targetPool;      ///< Pool after the operation, until the pool has changed.
  int m_attempt = 0;             ///< Grows with each failed action; part of the actions' ids.
  bool m_down = false;           ///< Down unplanned.
  std::vector<std::string> m_services;  ///< Services whose ledgers count this planned stop.
  std::uint64_t m_waveNumber = 0;       ///< Wave that the operation belongs to; 0 when none.
  std::uint64_t m_configVersion = 0;    ///< Configuration that m_homePool comes from.
  std::uint64_t m_maintainedNumber = 0; ///< Highest wave that has rebooted the VM.

  bool IsOut() const { return m_phase != VmPhase::Active; }
  bool operator==(const VmRecord&) const = default;
};

Json ToJson(const VmRecord& aRecord);
/// Errors: Invalid with the pointer of the first fault.
Result<VmRecord> ParseVmRecord(const Json& aValue);

} // namespace mustardtray
