#pragma once

/// Limits and times of the fleet controllers' decisions.

#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Each safety rule that can be switched off. The daemon keeps all on; tests and benches switch one
/// off to show what it prevents.
struct FleetRules
{
  bool m_checkBudget = true;     ///< A planned stop needs room in every ledger.
  bool m_keepReserve = true;     ///< Planned stops leave the failure reserve free.
  bool m_keepZoneMinion = true;  ///< A service keeps one minion in each zone that has several.
  bool m_countDown = true;       ///< VMs that are down unplanned count as out.
  bool m_checkConfig = true;     ///< A controller with an older configuration takes nothing out.
  bool m_awaitDrain = true;      ///< A stop waits for every entry VM of the zone.
  bool m_checkLedgerRows = true; ///< Transactions check the versions of the ledger rows.
  bool m_haltOnFailure = true;   ///< A wave halts when its reboots fail.
  bool m_avoidFailedRack = true; ///< A wave leaves a rack alone where a reboot has failed.
  bool m_keepPoolMinimum = true; ///< A move leaves the source pool its minimum.
  bool m_lastingOnly = true;     ///< Moves answer lasting deficits only.
};

struct FleetPolicy
{
  FleetRules m_rules;
  int m_haltAfterFailures = 2;       ///< Failing VMs at which a wave halts.
  int m_maxAttempts = 3;             ///< Failed actions after which retries become rare.
  int m_takeOutsPerWave = 0;         ///< VMs that one wave has out at once; 0 for as many as fit.
  Millis m_retryDelay{ 300'000 };    ///< Between attempts beyond the maximum.
  Millis m_verifyTimeout{ 120'000 }; ///< From phase verifying until seen healthy.
  Millis m_lease{ 20'000 };
  Millis m_leaseGuard{ 4'000 };      ///< Added by observers for clock drift and delays.
  Millis m_vmOutEstimate{ 180'000 }; ///< Time that one VM is out, until one was measured.
  Millis m_moveCost{ 120'000 };      ///< Time during which a moved VM serves nobody.
  int m_deficitFactor = 4;           ///< A deficit must outlive this many move costs.
  int m_surplusFactor = 30;          ///< A surplus must outlive this many before a return.
  double m_targetUse = 0.75;         ///< Part of a pool's capacity that lasting load may fill.
  double m_returnUse = 0.55;         ///< Load, after a return, below which a VM goes home.
  Millis m_vanishGrace{ 60'000 };    ///< Missing from the VM list for so long is reported.
};

} // namespace mustardtray
