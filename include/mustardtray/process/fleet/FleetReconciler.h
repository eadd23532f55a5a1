#pragma once

/// Plans the steps of one fleet controller from the rows and lists that it has read.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/process/GoneNodeDetector.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/process/fleet/BudgetLedger.h"
#include "mustardtray/process/fleet/DrainGate.h"
#include "mustardtray/process/fleet/LeaseManager.h"
#include "mustardtray/process/fleet/MovePlanner.h"
#include "mustardtray/process/fleet/OperatorRequest.h"
#include "mustardtray/process/fleet/VmInventory.h"
#include "mustardtray/process/fleet/WavePlanner.h"

namespace mustardtray {

/// One step of a controller: either a transaction or a VM action.
struct FleetStep
{
  std::string m_event;   ///< Event name for the log.
  std::string m_subject; ///< VM, service, wave or lease scope.
  std::string m_reason;
  std::optional<Transaction> m_transaction;
  std::optional<VmActionRequest> m_action;
  std::string m_leaseScope; ///< Set when the transaction takes or renews this lease.
};

/// Any number of controllers may plan steps concurrently: the row checks of a transaction or the
/// operation id of an action make each step safe. Losing the state in memory (leases, loads, times)
/// only delays steps.
class FleetReconciler
{
public:
  FleetReconciler(std::string aNode, FleetPolicy aPolicy);

  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void ApplyRows(const ScanPage& aPage, TimePoint aNow);
  void ApplyVmList(const std::vector<VmListing>& aList, TimePoint aNow);
  void ApplyLoads(const std::vector<PoolLoad>& aLoads, TimePoint aNow);
  void ApplyActionState(const std::string& aOperationId, ActionState aState);
  void ApplyLeaseCommit(const std::string& aScope, TimePoint aSentAt);

  /// Returns the steps that are due now. No two of their transactions write the same row.
  std::vector<FleetStep> PlanSteps(TimePoint aNow, WallTime aWallNow);
  /// Builds the transaction for an operator's request; it is empty when the request has already
  /// been carried out.
  Result<Transaction> PlanRequest(const OperatorRequest& aRequest) const;
  /// Describes the state of the VM and the reason why it waits, one line each.
  std::vector<std::string> Explain(const std::string& aVm) const;
  /// Returns the progress of the wave with that operation id, or nothing when there is none.
  std::optional<WaveProgress> ProgressOf(const std::string& aWaveId) const;

  const FleetView& View() const { return m_view; }
  const FleetPolicy& Policy() const { return m_policy; }
  /// Returns by VM why it waits, as of the last round.
  const std::map<std::string, std::string>& WaitReasons() const { return m_waitReasons; }

private:
  struct PhaseStart
  {
    std::uint64_t m_generation = 0;
    TimePoint m_since{};
  };

  FleetState State() const { return { m_view, m_index, *m_configuration, m_policy, &m_inventory }; }
  EntryVmObservations Observations() const
  {
    return { m_view, m_inventory, m_goneNodeDetector, m_now };
  }
  void ApplyEntryReport(const std::string& aEntryVm, TimePoint aNow);
  void AddLeaseSteps();
  void AddInventorySteps();
  void AddHealthSteps();
  void AddLedgerRepairSteps();
  void AddHomePoolSteps();
  void AddOperationSteps();
  void AddDrainingSteps(const VmRecord& aVm);
  void AddDrainedSteps(const VmRecord& aVm);
  void AddRebootingSteps(const VmRecord& aVm);
  void AddVerifyingSteps(const VmRecord& aVm);
  void AddWaveSteps();
  void AddStepsOfWave(const Versioned<WaveRecord>& aWave, const std::string& aRow);
  void AddWaveCleanupSteps();
  void AddMoveSteps();

  bool IsRetryDue(const VmRecord& aVm) const;
  std::optional<ActionState> RequestAction(const VmRecord& aVm, VmAction aAction);
  void AddEventStep(const VmRecord& aVm, VmEventKind aKind, const std::string& aReason);
  void AddBeginStep(const std::string& aVm, const VmEvent& aEvent, const std::string& aReason);
  /// Adds the step unless an earlier one of this round writes one of its rows.
  void AddTransactionStep(const std::string& aEvent,
                          const std::string& aSubject,
                          const std::string& aReason,
                          Transaction aTransaction);
  void AddWaitReason(const std::string& aVm, const std::string& aReason);
  std::string LeaseScopeOf(const VmRecord& aVm) const;

  FleetPolicy m_policy;
  std::shared_ptr<const Configuration> m_configuration;
  FleetView m_view;
  FleetIndex m_index;
  VmInventory m_inventory;
  GoneNodeDetector m_goneNodeDetector;
  std::set<std::string> m_reportedEntryVms; ///< Entry VMs whose report row was read.
  LeaseManager m_leases;
  MovePlanner m_moves;
  std::map<std::string, ActionState> m_actions;     ///< By operation id of the action.
  std::map<std::string, PhaseStart> m_phaseStarts;  ///< By VM.
  std::map<std::string, std::string> m_waitReasons; ///< By VM.

  TimePoint m_now{};
  WallTime m_wallNow{};
  std::vector<FleetStep> m_steps;
  std::set<std::string> m_writtenKeys; ///< Row keys that this round's steps write.
};

} // namespace mustardtray
