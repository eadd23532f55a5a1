#pragma once

/// One soak run with a given random seed. Runs nodes as separate processes against stand-ins,
/// injects overlapping faults from outside, then waits without faults until all accepted jobs have
/// ended.

#include <map>
#include <memory>
#include <random>
#include <string>

#include "standin/LocalProcess.h"
#include "tests/soak/CallerSimulator.h"
#include "tests/soak/FaultProxy.h"
#include "tests/soak/GuaranteeChecker.h"
#include "tests/soak/MachineStandin.h"
#include "tests/soak/RowStoreStandin.h"

namespace mustardtray::soak {

struct SoakOptions
{
  std::string m_nodeProgram; ///< Executable of the nodes.
  std::string m_folder;      ///< Directory for settings and logs.
  std::uint64_t m_seed = 1;
  std::size_t m_nodeCount = 4;
  Millis m_faultDuration{ 12'000 };
  bool m_injectsFaults = true;
};

class SoakRun
{
public:
  explicit SoakRun(SoakOptions aOptions);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  /// Runs until the end and returns the violated guarantees. Returns only the error text when a
  /// node cannot be started.
  std::vector<std::string> Run();
  std::size_t AcceptedJobCount() const { return m_checker.AcceptedJobCount(); }
  std::size_t JobCount() const { return m_checker.JobCount(); }

private:
  struct Node
  {
    LocalProcess m_process;
    std::unique_ptr<FaultProxy> m_storeProxy;
    std::string m_callerAddress;
    bool m_isStopping = false; ///< A signal that ends the process was sent.
    TimerHandle m_restartTimer;
    TimerHandle m_resumeTimer;
    TimerHandle m_linkHealTimer;
  };

  void AddNode(std::size_t aNumber);
  void WriteSettings(const Node& aNode, const std::string& aIp);
  void WriteConfiguration();
  void RestartEndedNodes();
  void InjectFault();
  void InjectNodeFault(Node& aNode);
  void InjectLinkFault(Node& aNode);
  void InjectStoreFault();
  void InjectMachineFault();
  void EndFaults();
  /// Stops the event loop when all accepted jobs have ended or the calm phase has reached its
  /// maximum duration.
  void StopWhenDone();
  int Draw(int aMin, int aMax);
  Millis DrawMillis(int aMin, int aMax) { return Millis(Draw(aMin, aMax)); }
  Node& DrawNode();

  SoakOptions m_options;
  std::mt19937_64 m_random;
  asio::io_context m_context;
  TimerService m_timers{ m_context };
  GuaranteeChecker m_checker;
  RowStoreStandin m_store{ m_context, m_timers };
  MachineStandin m_machines{ m_context, m_timers, m_store, m_checker };
  std::map<std::string, std::unique_ptr<Node>> m_nodes;
  std::unique_ptr<CallerSimulator> m_callers;
  std::uint64_t m_configVersion = 0;
  std::uint64_t m_waveCount = 0;
  TimePoint m_calmStart{};
  TimerHandle m_watchTimer;
  TimerHandle m_faultTimer;
  TimerHandle m_storeHealTimer;
  TimerHandle m_phaseTimer;
  TimerHandle m_endCheckTimer;
};

} // namespace mustardtray::soak
