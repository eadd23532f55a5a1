#pragma once

/// The table's row of one target VM: its pool and where it stands in its life cycle.

#include <cstdint>
#include <string>

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

/// Rows of target VMs are stored under this prefix followed by the VM's name.
inline constexpr std::string_view kVmRowPrefix = "vm/";

struct VmRecord
{
  std::string m_name;
  std::string m_address; ///< IP number.
  std::string m_zone;
  std::string m_rack;
  std::string m_pool; ///< The one pool that the VM belongs to.
  VmPhase m_phase = VmPhase::Active;
  std::uint64_t m_generation = 0; ///< Grows with every change of pool or phase.
  std::string m_operationId;      ///< Operation that the VM is out for; empty when active.
  std::string m_targetPool;       ///< Pool after the operation, when it is a move.
};

Json ToJson(const VmRecord& aRecord);
/// Errors: Invalid with the pointer of the first fault.
Result<VmRecord> ParseVmRecord(const Json& aValue);

} // namespace mustardtray
