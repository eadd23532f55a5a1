#include "tests/soak/SoakRun.h"

#include <csignal>

/// Faults of nodes, links, the store and machines.

namespace mustardtray::soak {

void SoakRun::InjectNodeFault(Node& aNode)
{
  if (aNode.m_process.m_pid == 0 || aNode.m_isStopping) {
    return;
  }
  switch (Draw(0, 2)) {
    case 0:
      aNode.m_isStopping = true;
      kill(aNode.m_process.m_pid, SIGKILL);
      break;
    case 1:
      Terminate(aNode);
      break;
    default:
      kill(aNode.m_process.m_pid, SIGSTOP);
      aNode.m_resumeTimer =
        m_timers.After(DrawMillis(200, 5'000), [pid = aNode.m_process.m_pid, &aNode] {
          if (aNode.m_process.m_pid == pid) {
            kill(pid, SIGCONT);
          }
        });
  }
}

void SoakRun::InjectFault()
{
  switch (Draw(0, 9)) {
    case 0:
    case 1:
      InjectNodeFault(DrawNode());
      break;
    case 2:
      InjectLinkFault(DrawNode());
      break;
    case 3:
      InjectStoreFault();
      break;
    case 4:
      InjectMachineFault();
      break;
    case 7:
      for (const std::string& machine : m_machines.MachineNames()) {
        if (Draw(0, 2) == 0) {
          ChangeCapacity(machine);
        }
      }
      break;
    case 8:
      StartPlannedSeries();
      break;
    case 9: {
      // Long enough that the owners on the node lose their pools.
      Node& node = DrawNode();
      node.m_storeProxy->SetFault(LinkFault::Stalled);
      node.m_linkHealTimer = m_timers.After(
        DrawMillis(6'000, 10'000), [&node] { node.m_storeProxy->SetFault(LinkFault::None); });
      break;
    }
    case 5:
      WriteConfiguration();
      m_store.Compact();
      break;
    default:
      // Several nodes are killed at the same time, so that state survives only in the store.
      for (auto& [name, node] : m_nodes) {
        if (Draw(0, 2) == 0 && node->m_process.m_pid != 0) {
          node->m_isStopping = true;
          kill(node->m_process.m_pid, SIGKILL);
        }
      }
      if (m_waveCount == 0) {
        std::vector<std::string> machines = m_machines.MachineNames();
        machines.resize(std::min<std::size_t>(5, machines.size()));
        m_machines.StartWave(++m_waveCount, machines, 2);
      }
  }
  m_faultTimer = m_timers.After(DrawMillis(100, 1'500), [this] { InjectFault(); });
}

void SoakRun::InjectLinkFault(Node& aNode)
{
  switch (Draw(0, 3)) {
    case 0:
      aNode.m_storeProxy->ResetConnections();
      return;
    case 1:
      aNode.m_storeProxy->SetFault(LinkFault::Delayed);
      break;
    case 2:
      aNode.m_storeProxy->SetFault(LinkFault::Stalled);
      break;
    default:
      aNode.m_storeProxy->SetFault(LinkFault::ResponsesStalled);
  }
  aNode.m_linkHealTimer = m_timers.After(
    DrawMillis(300, 5'000), [&aNode] { aNode.m_storeProxy->SetFault(LinkFault::None); });
}

void SoakRun::InjectStoreFault()
{
  constexpr std::array kFaults{ StoreFault::Busy,
                                StoreFault::Unresponsive,
                                StoreFault::Slow,
                                StoreFault::ResponsesLost,
                                StoreFault::WritesLate };
  m_store.SetFault(kFaults[static_cast<std::size_t>(Draw(0, int(kFaults.size()) - 1))]);
  m_storeHealTimer =
    m_timers.After(DrawMillis(300, 4'000), [this] { m_store.SetFault(StoreFault::None); });
}

void SoakRun::InjectMachineFault()
{
  const std::vector<std::string> names = m_machines.MachineNames();
  const std::string& name = names[static_cast<std::size_t>(Draw(0, int(names.size()) - 1))];
  switch (Draw(0, 3)) {
    case 0:
      m_machines.Hang(name, DrawMillis(300, 5'000));
      break;
    case 1:
      ChangeCapacity(name);
      break;
    case 2:
      // The next incarnation may be of another kind.
      ChangeCapacity(name);
      [[fallthrough]];
    default:
      m_machines.Crash(name, DrawMillis(200, 4'000), Draw(0, 2) > 0);
  }
}

void SoakRun::ChangeCapacity(const std::string& aMachine)
{
  m_machines.SetCapacity(aMachine, kMachineCpu * Draw(0, 6) / 8);
  m_capacityTimers[aMachine] = m_timers.After(
    DrawMillis(2'000, 12'000), [this, aMachine] { m_machines.SetCapacity(aMachine, kMachineCpu); });
}

} // namespace mustardtray::soak
