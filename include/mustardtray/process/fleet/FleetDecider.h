#pragma once

/// The decisions of one fleet controller: from what it has read, the steps that are due now.

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
#include "mustardtray/process/fleet/LeaseKeeper.h"
#include "mustardtray/process/fleet/MovePlanner.h"
#include "mustardtray/process/fleet/OperatorRequest.h"
#include "mustardtray/process/fleet/VmInventory.h"
#include "mustardtray/process/fleet/WavePlanner.h"

namespace mustardtray {

/// One step: a transaction or a VM action.
struct FleetStep
{
  std::string m_event;   ///< Name of the decision, for the log.
  std::string m_subject; ///< VM, service, wave or lease scope.
  std::string m_reason;
  std::optional<Transaction> m_transaction;
  std::optional<VmActionRequest> m_action;
  std::string m_leaseScope; ///< Set when the transaction takes or renews this lease.
};

/// Any number of controllers may decide at once: each step is safe by its row checks or by its
/// operation id. What it remembers (leases, loads, times) only delays steps when it is lost.
class FleetDecider
{
public:
  FleetDecider(std::string aNode, FleetPolicy aPolicy);

  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void TakeRows(const ScanPage& aPage, TimePoint aNow);
  void TakeVmList(const std::vector<VmListing>& aList, TimePoint aNow);
  void TakeLoads(const std::vector<PoolLoad>& aLoads, TimePoint aNow);
  void TakeActionState(const std::string& aOperationId, ActionState aState);
  void TakeLease(const std::string& aScope, TimePoint aSentAt);

  /// Steps due now. No two of them touch the same row.
  std::vector<FleetStep> Decide(TimePoint aNow, WallTime aWallNow);
  /// The transaction for an operator's request; empty when it has been carried out before.
  Result<Transaction> PlanRequest(const OperatorRequest& aRequest) const;
  /// Where the VM stands and why it waits, one line each.
  std::vector<std::string> Explain(const std::string& aVm) const;
  /// Progress of a wave by operation id; nothing when there is none.
  std::optional<WaveProgress> ProgressOf(const std::string& aWaveId) const;

  const FleetView& View() const { return m_view; }
  const FleetPolicy& Policy() const { return m_policy; }
  /// Why each VM waits, as of the last round.
  const std::map<std::string, std::string>& Reasons() const { return m_reasons; }

private:
  struct PhaseClock
  {
    std::uint64_t m_generation = 0;
    TimePoint m_since{};
  };

  FleetState State() const { return { m_view, m_index, *m_configuration, m_policy, &m_inventory }; }
  EntryEvidence Evidence() const { return { m_view, m_inventory, m_goneNodeDetector, m_now }; }
  void NoteReport(const std::string& aEntryVm, TimePoint aNow);
  void DecideLeases();
  void DecideInventory();
  void DecideHealth();
  void DecideLedgers();
  void DecideHomePools();
  void DecideOperations();
  void DecideDraining(const VmRecord& aVm);
  void DecideDrained(const VmRecord& aVm);
  void DecideRebooting(const VmRecord& aVm);
  void DecideVerifying(const VmRecord& aVm);
  void DecideWaves();
  void DecideWave(const Versioned<WaveRecord>& aWave, const std::string& aRow);
  void ForgetOldWaves();
  void DecideMoves();

  bool IsRetryDue(const VmRecord& aVm) const;
  std::optional<ActionState> AskAction(const VmRecord& aVm, VmAction aAction);
  void AddEvent(const VmRecord& aVm, VmEventKind aKind, const std::string& aReason);
  void AddBegin(const std::string& aVm, const VmEvent& aEvent, const std::string& aReason);
  /// Adds the step unless an earlier one of this round touches one of its rows.
  void AddTransaction(const std::string& aEvent,
                      const std::string& aSubject,
                      const std::string& aReason,
                      Transaction aTransaction);
  void Wait(const std::string& aVm, const std::string& aReason);
  std::string ScopeOf(const VmRecord& aVm) const;

  FleetPolicy m_policy;
  std::shared_ptr<const Configuration> m_configuration;
  FleetView m_view;
  FleetIndex m_index;
  VmInventory m_inventory;
  GoneNodeDetector m_goneNodeDetector;
  std::set<std::string> m_seenReports; ///< Entry VMs whose row has been read before.
  LeaseKeeper m_leases;
  MovePlanner m_moves;
  std::map<std::string, ActionState> m_actions;    ///< By operation id of the action.
  std::map<std::string, PhaseClock> m_phaseClocks; ///< By VM.
  std::map<std::string, std::string> m_reasons;    ///< Why each VM waits.

  TimePoint m_now{};
  WallTime m_wallNow{};
  std::vector<FleetStep> m_steps;
  std::set<std::string> m_touched; ///< Rows that this round's steps write.
};

} // namespace mustardtray
