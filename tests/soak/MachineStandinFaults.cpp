#include "tests/soak/MachineStandin.h"

#include "mustardtray/process/Log.h"
#include "standin/StandinJson.h"

/// Faults of the requests that minions receive, and of the machines' time of day.

namespace mustardtray::soak {

void MachineStandin::SetOrderFaults(OrderFaults* aFaults)
{
  m_orderFaults = aFaults;
}

void MachineStandin::StepClock(const std::string& aName, Millis aStep)
{
  m_machines.at(aName)->m_clockStep = aStep;
}

void MachineStandin::ResetConnections(const std::string& aName)
{
  m_machines.at(aName)->m_server->CloseConnections(true);
}

std::vector<std::string> MachineStandin::MachinesWithLateStarts() const
{
  std::vector<std::string> machines;
  for (const auto& [name, machine] : m_machines) {
    if (machine->m_incarnation && machine->m_lateStartCount > 0) {
      machines.push_back(name);
    }
  }
  return machines;
}

void MachineStandin::ApplyOrderFault(Machine& aMachine,
                                     const std::shared_ptr<StandinExchange>& aExchange,
                                     const OrderFault& aFault)
{
  const HttpRequest request = aExchange->Request();
  switch (aFault.m_response) {
    case OrderFault::Response::None:
      break;
    case OrderFault::Response::Reset:
      aExchange->Reset();
      break;
    case OrderFault::Response::Refusal:
      SendError(*aExchange, aFault.m_status, "unhealthy");
  }
  if (!aFault.m_delay) {
    return;
  }
  const std::string receiver = aMachine.m_incarnation ? IncarnationName(aMachine) : "";
  const bool isReset = aFault.m_response == OrderFault::Response::Reset;
  const bool isStart = request.m_path == "/-/run-start";
  aMachine.m_lateStartCount += isStart ? 1 : 0;
  m_lateOrderTimers.push_back(
    m_timers.After(*aFault.m_delay,
                   [this, &aMachine, request, receiver, isReset, isStart, delay = *aFault.m_delay] {
                     aMachine.m_lateStartCount -= isStart ? 1 : 0;
                     const HttpResponse response = CarryOut(aMachine, request);
                     Log(LogCategory::Process,
                         LogLevel::Info,
                         "late-order",
                         "machine",
                         aMachine.m_name,
                         "path",
                         request.m_path,
                         "order",
                         request.m_body,
                         "delay-ms",
                         delay.count(),
                         "reset",
                         isReset,
                         "receiver",
                         receiver,
                         "status",
                         response.m_status,
                         "incarnation",
                         aMachine.m_incarnation ? IncarnationName(aMachine) : "");
                   }));
}

} // namespace mustardtray::soak
