#pragma once

/// One seeded run: nodes as separate processes, stand-ins around them, faults from outside in
/// series that overlap, then calm until all accepted jobs have ended.

#include <map>
#include <memory>
#include <random>
#include <string>

#include "standin/LocalProcess.h"
#include "tests/soak/Callers.h"
#include "tests/soak/FaultProxy.h"
#include "tests/soak/Machines.h"
#include "tests/soak/Promises.h"
#include "tests/soak/RowStore.h"

namespace mustardtray::soak {

struct SoakOptions
{
  std::string m_program; ///< Of the nodes.
  std::string m_folder;  ///< For settings and logs.
  std::uint64_t m_seed = 1;
  std::size_t m_nodes = 4;
  Millis m_faultTime{ 12'000 };
  bool m_hasFaults = true;
};

class Soak
{
public:
  explicit Soak(SoakOptions aOptions);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  /// Runs it to its end; the broken promises, none when all held.
  std::vector<std::string> Run();
  std::size_t AcceptedJobs() const { return m_promises.Accepted(); }
  std::size_t Jobs() const { return m_promises.Jobs(); }

private:
  struct Node
  {
    LocalProcess m_process;
    std::unique_ptr<FaultProxy> m_storeLink;
    std::string m_callerAddress;
    bool m_isStopping = false; ///< Was told to end.
    TimerHandle m_restart;
    TimerHandle m_resume;
    TimerHandle m_heal;
  };

  void AddNode(std::size_t aNumber);
  void WriteSettings(const Node& aNode, const std::string& aIp);
  void WriteConfiguration();
  void Watch();
  void InjectFault();
  void FaultNode(Node& aNode);
  void FaultLink(Node& aNode);
  void FaultStore();
  void FaultMachine();
  void Heal();
  /// Whether everything has ended, or the time for it is over.
  void CheckEnd();
  int Draw(int aLeast, int aMost);
  Millis DrawMillis(int aLeast, int aMost) { return Millis(Draw(aLeast, aMost)); }
  Node& AnyNode();

  SoakOptions m_options;
  std::mt19937_64 m_random;
  asio::io_context m_context;
  TimerService m_timers{ m_context };
  Promises m_promises;
  RowStore m_store{ m_context, m_timers };
  Machines m_machines{ m_context, m_timers, m_store, m_promises };
  std::map<std::string, std::unique_ptr<Node>> m_nodes;
  std::unique_ptr<Callers> m_callers;
  std::uint64_t m_configVersion = 0;
  std::uint64_t m_waves = 0;
  TimePoint m_calmSince{};
  TimerHandle m_watch;
  TimerHandle m_fault;
  TimerHandle m_healStore;
  TimerHandle m_calm;
  TimerHandle m_check;
};

} // namespace mustardtray::soak
