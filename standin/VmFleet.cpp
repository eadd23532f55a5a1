#include "standin/VmFleet.h"

#include <algorithm>

#include "process/PlatformCodec.h"
#include "standin/StandinJson.h"

namespace mustardtray {

StandinVm ReadStandinVm(JsonReader& aReader)
{
  StandinVm vm;
  vm.m_listing = ReadVmListing(aReader);
  vm.m_control = aReader.String("control", "");
  vm.m_isWorker = aReader.Bool("worker", false);
  return vm;
}

Result<std::vector<StandinVm>> ParseStandinVms(std::string_view aText)
{
  return ParseDocument<std::vector<StandinVm>>("VMs", aText, [](JsonReader& aReader) {
    std::vector<StandinVm> vms;
    aReader.Each("vms", [&](JsonReader& aItem) { vms.push_back(ReadStandinVm(aItem)); });
    return vms;
  });
}

VmFleet::VmFleet(const std::vector<StandinVm>& aVms)
{
  for (const StandinVm& vm : aVms) {
    Add(vm, TimePoint::min());
  }
}

std::vector<VmListing> VmFleet::List(TimePoint aNow, Millis aLag) const
{
  std::vector<VmListing> list;
  const TimePoint listTime = aNow - aLag;
  for (const Vm& vm : m_vms) {
    const auto firstLater =
      std::find_if(vm.m_stateChanges.begin(),
                   vm.m_stateChanges.end(),
                   [&](const StateChange& aChange) { return aChange.m_time > listTime; });
    if (firstLater != vm.m_stateChanges.begin()) {
      list.push_back(vm.m_vm.m_listing);
      list.back().m_state = (firstLater - 1)->m_state;
    }
  }
  return list;
}

const VmFleet::Vm* VmFleet::FindVm(std::string_view aName) const
{
  const auto found = std::find_if(
    m_vms.begin(), m_vms.end(), [&](const Vm& aVm) { return aVm.m_vm.m_listing.m_name == aName; });
  return found == m_vms.end() ? nullptr : &*found;
}

VmFleet::Vm* VmFleet::FindVm(std::string_view aName)
{
  return const_cast<Vm*>(std::as_const(*this).FindVm(aName));
}

const StandinVm* VmFleet::Find(std::string_view aName) const
{
  const Vm* vm = FindVm(aName);
  return vm ? &vm->m_vm : nullptr;
}

VmState VmFleet::StateOf(std::string_view aName) const
{
  const Vm* vm = FindVm(aName);
  return vm ? vm->m_stateChanges.back().m_state : VmState::Gone;
}

void VmFleet::Add(StandinVm aVm, TimePoint aNow)
{
  Vm vm;
  vm.m_stateChanges.push_back({ aNow, aVm.m_listing.m_state });
  vm.m_vm = std::move(aVm);
  m_vms.push_back(std::move(vm));
}

bool VmFleet::SetState(std::string_view aName, VmState aState, TimePoint aNow)
{
  Vm* vm = FindVm(aName);
  if (vm) {
    vm->m_stateChanges.push_back({ aNow, aState });
  }
  return vm != nullptr;
}

Result<VmFleet::BegunAction> VmFleet::BeginAction(const VmActionRequest& aRequest)
{
  const auto known = m_actions.find(aRequest.m_operationId);
  if (known != m_actions.end()) {
    const VmActionRequest& first = known->second.m_request;
    if (first.m_vm != aRequest.m_vm || first.m_action != aRequest.m_action) {
      return Error{ ErrorKind::Conflict, "begin action", "", "operation id of another action" };
    }
    return BegunAction{ known->second.m_state, false, false };
  }
  Vm* vm = FindVm(aRequest.m_vm);
  if (!vm) {
    return Error{ ErrorKind::NotFound, "begin action", "", "no VM " + aRequest.m_vm };
  }
  if (!vm->m_operationId.empty()) {
    ++m_counts.m_overlappingActions;
    return Error{ ErrorKind::Conflict, "begin action", "", "runs " + vm->m_operationId };
  }
  ++m_counts.m_actions[std::string(ToName(aRequest.m_action))];
  m_counts.m_rebootsOfRunning += aRequest.m_action == VmAction::Reboot && vm->m_isRunning ? 1 : 0;
  m_actions[aRequest.m_operationId] = { aRequest, ActionState::Running };
  vm->m_operationId = aRequest.m_operationId;
  return BegunAction{ ActionState::Running, true, vm->m_isRunning };
}

void VmFleet::EndAction(const std::string& aOperationId, ActionState aState)
{
  Action& action = m_actions[aOperationId];
  const VmActionRequest& request = action.m_request;
  const bool isGone = StateOf(request.m_vm) == VmState::Gone;
  action.m_state = isGone ? ActionState::Failed : aState;
  m_counts.m_failedActions += action.m_state == ActionState::Failed ? 1 : 0;
  Vm* vm = FindVm(request.m_vm);
  vm->m_operationId.clear();
  if (action.m_state == ActionState::Done) {
    vm->m_isRunning = request.m_action == VmAction::Start;
  }
}

} // namespace mustardtray
