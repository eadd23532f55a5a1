#pragma once

/// The fleet's rows as read by a controller, with an index by service and pool.

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

/// All rows by name. Rows that cannot be parsed are left out and listed in m_parseErrors.
struct FleetView
{
  std::map<std::string, Versioned<VmRecord>> m_vms;
  std::map<std::string, Versioned<LedgerRecord>> m_ledgers;
  std::map<std::string, Versioned<PoolRecord>> m_pools;
  std::map<std::string, Versioned<WaveRecord>> m_waves;
  std::map<std::string, Versioned<LeaseRecord>> m_leases;
  std::map<std::string, Versioned<EntryReport>> m_reports;
  std::map<std::string, std::string> m_parseErrors; ///< Error text by row key.

  /// Applies a scan page of one prefix; the page may hold only the changed rows.
  void Apply(const ScanPage& aPage);

  const VmRecord* Vm(const std::string& aName) const;
  Versioned<LedgerRecord> Ledger(const std::string& aService) const;
  Versioned<PoolRecord> Pool(const std::string& aPool) const;
};

/// The order in which a controller scans the prefixes. Pool rows are scanned before VM rows, so
/// that a transaction that checks a pool row is based on every VM that left the pool before that
/// version.
inline constexpr std::array kScanOrder{ kLeaseRowPrefix,  kWaveRowPrefix, kPoolRowPrefix,
                                        kLedgerRowPrefix, kVmRowPrefix,   kReportRowPrefix };

/// Index of VMs, services and pools, built from the pools in the VM rows and the configuration's
/// selectors.
struct FleetIndex
{
  std::map<std::string, Labels> m_labelsByVm;                     ///< Labels by VM.
  std::map<std::string, std::vector<std::string>> m_servicesByVm; ///< Services by VM.
  std::map<std::string, std::vector<std::string>> m_vmsByService; ///< VMs by service.
  std::map<std::string, std::vector<std::string>> m_vmsByPool;    ///< VMs by pool.
};

FleetIndex BuildFleetIndex(const FleetView& aView, const Configuration& aConfiguration);

/// Returns the labels that the configuration and the platform assign to the VM.
Labels LabelsOf(const Configuration& aConfiguration, const VmRecord& aVm);

/// Returns the first pool whose selector matches the labels, or an empty string when there is none.
std::string PoolByLabels(const Configuration& aConfiguration, const Labels& aLabels);

/// Returns whether a move has transferred the VM to its new pool, where it is not active yet.
bool IsJoining(const VmRecord& aRecord);

} // namespace mustardtray
