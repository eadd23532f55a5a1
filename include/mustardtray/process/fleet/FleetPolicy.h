#pragma once

/// Safety rules, limits and durations of the fleet controllers.

#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Safety rules that can be disabled. The daemon keeps all of them enabled; tests and benchmarks
/// disable single rules to show which failure each one prevents.
struct FleetSafetyRules
{
  bool m_enforceBudget = true; ///< A planned stop must fit the budget of every service on the VM.
  bool m_keepFailureReserve = true; ///< Planned stops leave the failure reserve free.
  bool m_keepMinionPerZone = true;  ///< Keep one minion of a service up in each zone with several.
  bool m_countUnplannedOutages = true; ///< VMs that are down unplanned count against the budget.
  bool m_refuseOlderConfig = true;     ///< An older configuration takes no VM out of service.
  bool m_awaitDrain = true;            ///< A stop waits for every entry VM of the zone.
  bool m_checkLedgerVersions = true;   ///< Transactions check the versions of the ledger rows.
  bool m_haltOnFailure = true;         ///< A wave halts when actions on its VMs fail.
  bool m_avoidFailingRacks = true;     ///< A wave skips racks that have VMs with failed actions.
  bool m_keepPoolMinimum = true;       ///< A move must not take the source pool below its minimum.
  bool m_requireSustainedLoad = true;  ///< Moves need a sustained deficit or surplus.
};

struct FleetPolicy
{
  FleetSafetyRules m_rules;
  int m_haltAfterFailures = 2;       ///< Number of failing VMs at which a wave halts.
  int m_maxAttempts = 3;             ///< Failed actions before m_retryDelay applies.
  int m_maxOutPerWave = 0;           ///< VMs out of service per wave; 0 for no limit.
  Millis m_retryDelay{ 300'000 };    ///< Delay between attempts beyond m_maxAttempts.
  Millis m_verifyTimeout{ 120'000 }; ///< Longest time in phase verifying before a retry.
  Millis m_leaseDuration{ 20'000 };
  Millis m_leaseMargin{ 4'000 };        ///< Added by observers for clock drift and delays.
  Millis m_vmOutageEstimate{ 180'000 }; ///< Assumed time out of service for one VM.
  Millis m_moveDuration{ 120'000 };     ///< Time during which a moved VM serves no pool.
  int m_deficitFactor = 4;  ///< Move durations that a deficit must last; also the averaging window.
  int m_surplusFactor = 30; ///< Move durations that a surplus must last before a return.
  double m_targetUtilization = 0.75; ///< Highest utilization under sustained load.
  double m_returnUtilization = 0.55; ///< Highest utilization that a pool may have after a return.
  Millis m_missingGrace{ 60'000 };   ///< A VM missing from the list for longer is reported.
};

} // namespace mustardtray
