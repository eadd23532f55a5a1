#pragma once

/// Rows that the fleet controllers store in the platform's table in addition to the VM rows.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

inline constexpr std::string_view kLedgerRowPrefix = "fleet/ledger/"; ///< Followed by the service.
inline constexpr std::string_view kPoolRowPrefix = "fleet/pool/";     ///< Followed by the pool.
inline constexpr std::string_view kWaveRowPrefix = "fleet/wave/"; ///< Followed by the wave number.
inline constexpr std::string_view kLeaseRowPrefix = "fleet/lease/";   ///< Followed by the scope.
inline constexpr std::string_view kReportRowPrefix = "fleet/report/"; ///< Followed by the entry VM.

/// A record with the version of its row; version 0 means that the row does not exist.
template<typename T>
struct Versioned
{
  std::uint64_t m_version = 0;
  T m_value;
};

/// VMs of a service that are unavailable, planned and unplanned. The transaction that takes a VM
/// out of service also adds its planned entry.
struct LedgerRecord
{
  std::map<std::string, std::string> m_planned; ///< Operation id by VM.
  std::set<std::string> m_down;                 ///< VMs that are down unplanned.
  std::uint64_t m_configVersion = 0;            ///< Newest configuration that updated the row.

  /// Returns the number of unavailable VMs; one that is both planned and down counts once.
  int CountUnavailable() const;
  bool operator==(const LedgerRecord&) const = default;
};

/// VMs that moves in progress are removing from a pool or adding to it.
struct PoolRecord
{
  std::map<std::string, std::string> m_leaving; ///< Operation id by VM.
  std::map<std::string, std::string> m_joining; ///< Operation id by VM.

  bool operator==(const PoolRecord&) const = default;
};

enum class WaveState
{
  Running,
  Paused,    ///< By an operator: no further VMs are taken out; those out of service finish.
  Cancelled, ///< VMs that are still draining return to service; the others finish.
  Done,
};

template<>
struct EnumNames<WaveState>
{
  static constexpr std::array kTable{
    std::pair{ WaveState::Running, std::string_view("running") },
    std::pair{ WaveState::Paused, std::string_view("paused") },
    std::pair{ WaveState::Cancelled, std::string_view("cancelled") },
    std::pair{ WaveState::Done, std::string_view("done") },
  };
};

/// A maintenance wave. The VM rows record which VMs are done, which keeps this row small.
struct WaveRecord
{
  std::string m_operationId;
  std::uint64_t m_number = 0; ///< Creation order; a VM rebooted by a later wave counts as done.
  Selector m_selector;        ///< Matched against the VMs' labels.
  WaveState m_state = WaveState::Running;
  int m_acceptedFailures = 0; ///< Failing VMs accepted by an operator's resume.
};

/// Names the controller that works on one scope. The lease only avoids duplicate work; the row
/// checks of the transactions ensure safety.
struct LeaseRecord
{
  std::string m_holder;
  std::uint64_t m_renewals = 0;
};

enum class VmHealth
{
  Unknown,
  Healthy,
  Unreachable,
};

template<>
struct EnumNames<VmHealth>
{
  static constexpr std::array kTable{
    std::pair{ VmHealth::Unknown, std::string_view("unknown") },
    std::pair{ VmHealth::Healthy, std::string_view("healthy") },
    std::pair{ VmHealth::Unreachable, std::string_view("unreachable") },
  };
};

/// Report of one entry VM on one target VM of its zone.
struct TargetReport
{
  std::uint64_t m_generation = 0; ///< Generation of the VM row that the entry VM uses.
  int m_inFlight = 0;             ///< Its requests in flight on the target.
  VmHealth m_health = VmHealth::Unknown;

  bool operator==(const TargetReport&) const = default;
};

/// Row of one entry VM with the targets that are out of service or not healthy. An entry VM writes
/// its row before it reads any VM row, and sends nothing to a VM whose row it has not read. If a
/// drain finds no row of an entry VM, that entry VM therefore reads the VM row after the drain has
/// begun. Reporting a generation in phase draining acknowledges the drain: the entry VM sends no
/// new work before a later generation is active.
struct EntryReport
{
  std::string m_entryVm;
  std::string m_address;
  std::string m_zone;
  std::uint64_t m_incarnation = 0; ///< Increases with every start at the address.
  std::map<std::string, TargetReport> m_targets;

  bool operator==(const EntryReport&) const = default;
};

Json ToJson(const LedgerRecord& aRecord);
Json ToJson(const PoolRecord& aRecord);
Json ToJson(const WaveRecord& aRecord);
Json ToJson(const LeaseRecord& aRecord);
Json ToJson(const EntryReport& aReport);

/// Errors of all parse functions: Invalid with the JSON pointer of the first invalid field.
Result<LedgerRecord> ParseLedgerRecord(const Json& aValue);
Result<PoolRecord> ParsePoolRecord(const Json& aValue);
Result<WaveRecord> ParseWaveRecord(const Json& aValue);
Result<LeaseRecord> ParseLeaseRecord(const Json& aValue);
Result<EntryReport> ParseEntryReport(const Json& aValue);

} // namespace mustardtray
