#pragma once

/// Rows that the fleet controllers keep in the platform's table beside the VM rows.

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

inline constexpr std::string_view kLedgerRowPrefix = "fleet/ledger/"; ///< Then the service.
inline constexpr std::string_view kPoolRowPrefix = "fleet/pool/";     ///< Then the pool.
inline constexpr std::string_view kWaveRowPrefix = "fleet/wave/";     ///< Then the operation id.
inline constexpr std::string_view kLeaseRowPrefix = "fleet/lease/";   ///< Then the scope.
inline constexpr std::string_view kReportRowPrefix = "fleet/report/"; ///< Then the entry VM.

/// A record together with the version of its row; version 0 means that there is no row yet.
template<typename T>
struct Versioned
{
  std::uint64_t m_version = 0;
  T m_value;
};

/// Which VMs of a service are out, planned and unplanned. A planned stop is entered in the same
/// transaction that takes the VM out.
struct LedgerRecord
{
  std::map<std::string, std::string> m_planned; ///< VM to operation id.
  std::set<std::string> m_down;                 ///< Down unplanned.
  std::uint64_t m_configVersion = 0;            ///< Configuration of the last planned entry.

  /// Number of VMs out, each counted once.
  int OutCount() const;
  bool operator==(const LedgerRecord&) const = default;
};

/// VMs that moves are taking out of a pool or bringing into it.
struct PoolRecord
{
  std::map<std::string, std::string> m_leaving; ///< VM to operation id.
  std::map<std::string, std::string> m_joining; ///< VM to operation id.

  bool operator==(const PoolRecord&) const = default;
};

enum class WaveState
{
  Running,
  Paused,    ///< By an operator: VMs that are out finish, no others are taken out.
  Cancelled, ///< VMs not yet drained return; the others finish.
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

/// A maintenance wave. Which VMs are done stands in the VM rows, so the row stays small.
struct WaveRecord
{
  std::string m_operationId;
  std::uint64_t m_number = 0; ///< Order of creation; a VM rebooted for a later wave is done.
  Selector m_selector;        ///< Over the VMs' labels.
  WaveState m_state = WaveState::Running;
  int m_acceptedFailures = 0; ///< Failing VMs that an operator has accepted by resuming.
};

/// Says which controller should do the work of one scope. It saves wasted work and no more:
/// safety comes from the checks of the transactions.
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

/// What one entry VM says about one target VM of its zone.
struct TargetReport
{
  std::uint64_t m_generation = 0; ///< Of the VM row that the entry VM acts on.
  int m_inFlight = 0;             ///< Requests that it has running there.
  VmHealth m_health = VmHealth::Unknown;

  bool operator==(const TargetReport&) const = default;
};

/// One row per entry VM, with the targets that are out or not healthy. An entry VM writes its row
/// before it reads any VM row, and sends nothing to a VM whose row it has not read; so a drain that
/// sees no row of an entry VM cannot be missed by it. A report of a generation in phase draining
/// is a promise to send no new work before a later generation is active.
struct EntryReport
{
  std::string m_entryVm;
  std::string m_address;
  std::string m_zone;
  std::uint64_t m_incarnation = 0; ///< Grows with every start at an address.
  std::map<std::string, TargetReport> m_targets;

  bool operator==(const EntryReport&) const = default;
};

Json ToJson(const LedgerRecord& aRecord);
Json ToJson(const PoolRecord& aRecord);
Json ToJson(const WaveRecord& aRecord);
Json ToJson(const LeaseRecord& aRecord);
Json ToJson(const EntryReport& aReport);

/// Errors of all: Invalid with the pointer of the first fault.
Result<LedgerRecord> ParseLedgerRecord(const Json& aValue);
Result<PoolRecord> ParsePoolRecord(const Json& aValue);
Result<WaveRecord> ParseWaveRecord(const Json& aValue);
Result<LeaseRecord> ParseLeaseRecord(const Json& aValue);
Result<EntryReport> ParseEntryReport(const Json& aValue);

} // namespace mustardtray
