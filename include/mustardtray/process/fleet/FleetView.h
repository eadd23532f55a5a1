#pragma once

/// What a controller has read of the fleet's rows, and an index of it by service and pool.

#include <array>
#include <map>
#include <string>
#include <vector>

#include "mustardtray/process/Platform.h"
#include "mustardtray/process/VmRecord.h"
#include "mustardtray/process/fleet/FleetRows.h"
#include "mustardtray/version/Configuration.h"
#include "mustardtray/version/VmPlacement.h"

namespace mustardtray {

/// All rows by name. Rows that cannot be parsed are left out and named in m_faults.
struct FleetView
{
  std::map<std::string, Versioned<VmRecord>> m_vms;
  std::map<std::string, Versioned<LedgerRecord>> m_ledgers;
  std::map<std::string, Versioned<PoolRecord>> m_pools;
  std::map<std::string, Versioned<WaveRecord>> m_waves;
  std::map<std::string, Versioned<LeaseRecord>> m_leases;
  std::map<std::string, Versioned<EntryReport>> m_reports;
  std::map<std::string, std::string> m_faults; ///< Row key to what is wrong with it.

  /// Takes in the rows of a scan of one prefix; the page may hold only what changed.
  void Apply(const ScanPage& aPage);

  const VmRecord* Vm(const std::string& aName) const;
  Versioned<LedgerRecord> Ledger(const std::string& aService) const;
  Versioned<PoolRecord> Pool(const std::string& aPool) const;
};

/// The order in which a controller scans the prefixes. Pool rows come before VM rows: a transaction
/// that checks a pool row has then seen every VM that left the pool before.
inline constexpr std::array kScanOrder{ kLeaseRowPrefix,  kWaveRowPrefix, kPoolRowPrefix,
                                        kLedgerRowPrefix, kVmRowPrefix,   kReportRowPrefix };

/// Who is where, by the VM rows' pools and the configuration's selectors.
struct FleetIndex
{
  std::map<std::string, Labels> m_labelsOf;                     ///< By VM.
  std::map<std::string, std::vector<std::string>> m_servicesOf; ///< VM to services.
  std::map<std::string, std::vector<std::string>> m_membersOf;  ///< Service to VMs.
  std::map<std::string, std::vector<std::string>> m_poolMembers;
};

FleetIndex BuildFleetIndex(const FleetView& aView, const Configuration& aConfiguration);

/// Labels that the operators and the platform give the VM.
Labels LabelsOf(const Configuration& aConfiguration, const VmRecord& aVm);

/// The pool whose selector matches the labels; empty when there is none.
std::string PoolByLabels(const Configuration& aConfiguration, const Labels& aLabels);

/// Whether a move has brought the VM into its new pool, where it has not been active yet.
bool IsJoining(const VmRecord& aRecord);

} // namespace mustardtray
