#pragma once

/// The VMs of the platform's stand-in: their lagging list, and the actions that each may go
/// through.

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
  VmListing m_listing;   ///< m_state is the state at the start.
  std::string m_control; ///< Control address of its minions, "IP:PORT"; empty for none.
  bool m_worker = false; ///< Takes tasks.
};

StandinVm ReadStandinVm(JsonReader& aReader);
/// Reads {"vms": [...]}. Errors: Invalid with every fault.
Result<std::vector<StandinVm>> ParseStandinVms(std::string_view aText);

struct VmFleetCounts
{
  std::map<std::string, std::uint64_t> m_actions; ///< Begun, by name of the action.
  std::uint64_t m_failedActions = 0;
  std::uint64_t m_overlappingActions = 0; ///< Refused, since another one ran on the VM.
  std::uint64_t m_rebootsOfRunning = 0;   ///< Reboots of VMs that had not been stopped.
};

/// Decides only: carrying out an action is up to the caller.
class VmFleet
{
public:
  explicit VmFleet(const std::vector<StandinVm>& aVms);

  /// VM states as of aNow - aLag; VMs added since then are missing.
  std::vector<VmListing> List(TimePoint aNow, Millis aLag) const;
  /// The first VM with that name; nullptr when there is none.
  const StandinVm* Find(std::string_view aName) const;
  VmState StateOf(std::string_view aName) const;
  void Add(StandinVm aVm, TimePoint aNow);
  /// Returns false when there is no such VM.
  bool SetState(std::string_view aName, VmState aState, TimePoint aNow);

  struct Begun
  {
    ActionState m_state = ActionState::Running;
    bool m_isNew = false;     ///< The caller has to carry it out.
    bool m_wasRunning = true; ///< The VM had not been stopped.
  };
  /// Errors: NotFound for an unknown VM, Conflict when another action runs on it or the operation
  /// id stands for another action.
  Result<Begun> BeginAction(const VmActionRequest& aRequest);
  /// Ends a running action; one on a VM that is gone fails.
  void EndAction(const std::string& aOperationId, ActionState aState);

  const VmFleetCounts& Counts() const { return m_counts; }

private:
  struct Change
  {
    TimePoint m_at;
    VmState m_state = VmState::Live;
  };
  struct Vm
  {
    StandinVm m_vm;
    std::vector<Change> m_changes; ///< Oldest first; never empty.
    bool m_isOn = true;
    std::string m_operationId; ///< Of the action that runs on it; empty for none.
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
