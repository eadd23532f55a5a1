#pragma once

/// The VMs of the platform stand-in: their list, which may lag, and the state of VM actions.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

struct StandinVm
{
  VmListing m_listing;     ///< m_state is the initial state.
  std::string m_control;   ///< Control address of its minions as "IP:PORT"; empty when it has none.
  bool m_isWorker = false; ///< Whether tasks can run on it.
};

StandinVm ReadStandinVm(JsonReader& aReader);
/// Parses {"vms": [...]}. Errors: Invalid; the message lists every error of the document.
Result<std::vector<StandinVm>> ParseStandinVms(std::string_view aText);

struct VmFleetCounts
{
  std::map<std::string, std::uint64_t> m_actions; ///< Started actions by action name.
  std::uint64_t m_failedActions = 0;
  std::uint64_t m_overlappingActions = 0; ///< Refused because another action was running on the VM.
  std::uint64_t m_rebootsOfRunning = 0;   ///< Reboots of VMs that had not been stopped.
};

/// Tracks VM states and actions only; the caller executes the actions.
class VmFleet
{
public:
  explicit VmFleet(const std::vector<StandinVm>& aVms);

  /// VM states at aNow - aLag, without VMs that were added later.
  std::vector<VmListing> List(TimePoint aNow, Millis aLag) const;
  /// Returns the first VM with this name; nullptr when there is none.
  const StandinVm* Find(std::string_view aName) const;
  VmState StateOf(std::string_view aName) const;
  void Add(StandinVm aVm, TimePoint aNow);
  /// Returns false for an unknown VM.
  bool SetState(std::string_view aName, VmState aState, TimePoint aNow);

  struct BegunAction
  {
    ActionState m_state = ActionState::Running;
    bool m_isNew = false;     ///< Whether the caller has to execute the action.
    bool m_wasRunning = true; ///< Whether the VM was running when the action started.
  };
  /// Starts an action, or returns its state when the operation id is known. Errors: NotFound for an
  /// unknown VM, Conflict when another action is running on the VM or the operation id belongs to
  /// another action.
  Result<BegunAction> BeginAction(const VmActionRequest& aRequest);
  /// Ends a running action. An action on a VM that is gone always fails.
  void EndAction(const std::string& aOperationId, ActionState aState);

  const VmFleetCounts& Counts() const { return m_counts; }

private:
  struct StateChange
  {
    TimePoint m_time;
    VmState m_state = VmState::Live;
  };
  struct Vm
  {
    StandinVm m_vm;
    std::vector<StateChange> m_stateChanges; ///< Ordered from oldest to newest; never empty.
    bool m_isRunning = true;
    std::string m_operationId; ///< Of the running action; empty when there is none.
  };
  struct Action
  {
    VmActionRequest m_request;
    ActionState m_state = ActionState::Running;
  };

  Vm* FindVm(std::string_view aName);
  const Vm* FindVm(std::string_view aName) const;

  std::vector<Vm> m_vms;
  std::map<std::string, Action> m_actions; ///< By operation id.
  VmFleetCounts m_counts;
};

} // namespace mustardtray
