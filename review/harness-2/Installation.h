#pragma once

/// A small deployment on loopback addresses: node processes, the platform's store, minions, and a
/// client. One thread runs all stand-ins; a scenario is a sequence of calls and waits on it.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpClient.h"
#include "review/harness-2/Fleet.h"
#include "review/harness-2/Record.h"
#include "standin/LocalProcess.h"
#include "tests/soak/RowStoreStandin.h"

namespace mustardtray::review {

struct Route
{
  std::string m_name;
  std::string m_prefix;
  std::string m_service;
  std::uint32_t m_maxAttempts = 3;
};

/// Machines and bounds of a deployment, as in its sheet.
enum class Site
{
  WrobLodz,
  RutachapinGt, ///< With the smallest of its machines.
};

/// Answer of a node to a client; status 0 when there was none.
struct Answer
{
  int m_status = 0;
  std::string m_body;

  /// Value of `state`; empty when there is none.
  std::string State() const;
};

class Installation
{
public:
  Installation(Record& aRecord, std::string aFolder, Site aSite);
  ~Installation();
  Installation(const Installation&) = delete;
  Installation& operator=(const Installation&) = delete;

  /// Writes `op/config` with the next version.
  void PutConfig(const std::vector<Route>& aRoutes, const std::vector<std::string>& aServices);
  /// Starts the nodes and waits until each is ready and has accepted a first job of the route.
  /// Returns whether that was so in time.
  bool StartNodes(std::size_t aCount, const Route& aProbe);
  std::size_t NodeCount() const { return m_nodes.size(); }
  /// Sends a client's request to a node and waits for the answer.
  Answer Call(std::size_t aNode,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody = {});
  /// Sends a client's request to a node. aDone gets the answer.
  void CallLater(std::size_t aNode,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody,
                 std::function<void(const Answer&)> aDone);
  void Run(Millis aDuration);
  /// Returns whether the condition came true in time.
  bool RunUntil(Millis aLimit, const std::function<bool()>& aCondition);
  /// Sends a signal to a node process.
  void Signal(std::size_t aNode, int aSignal);
  /// Kills a node process with SIGKILL.
  void Kill(std::size_t aNode);
  /// Starts a node process that has ended, with the same settings.
  bool Restart(std::size_t aNode);
  /// From now on each node has what its settings say. It gets limits.cpu_share of a core: it runs
  /// at full speed until its allowance is used up, and then not at all for the rest of that tenth
  /// of a second. A process that exceeds limits.memory_mb is killed and starts again.
  void EnforceLimits();
  /// Most memory that a node has used since then, in MB.
  std::size_t PeakMemoryMb(std::size_t aNode) const { return m_nodes.at(aNode)->m_peakMemoryMb; }
  /// Number of processes that were killed because they exceeded limits.memory_mb.
  std::size_t MemoryKills() const { return m_memoryKills; }
  /// Returns whether a node process has ended by itself.
  bool HasNodeEnded();

  soak::RowStoreStandin& Store() { return *m_store; }
  Fleet& Minions() { return *m_fleet; }
  TimerService& Timers() { return m_timers; }

private:
  double CpuShare() const;
  std::size_t MemoryMb() const;
  struct Node
  {
    LocalProcess m_process;
    std::string m_ip;
    std::int64_t m_usedAtWindow = 0; ///< Processor time in microseconds.
    bool m_isThrottled = false;
    std::size_t m_peakMemoryMb = 0;
    TimerHandle m_restart;
  };

  void AddNode(std::size_t aNumber);
  void EnforceAllowances();
  void EnforceMemory();
  bool IsReady(const Node& aNode);
  Answer Request(HttpCall aCall);

  Record& m_record;
  std::string m_folder;
  Site m_site;
  asio::io_context m_context;
  TimerService m_timers{ m_context };
  std::unique_ptr<HttpClient> m_http;
  std::unique_ptr<soak::RowStoreStandin> m_store;
  std::unique_ptr<Fleet> m_fleet;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::uint64_t m_configVersion = 0;
  TimerHandle m_allowanceTimer;
  TimerHandle m_memoryTimer;
  std::size_t m_memoryKills = 0;
  TimePoint m_windowBeganAt{};
};

/// Body of a job with one step.
struct JobShape
{
  std::uint32_t m_count = 1;
  std::int64_t m_cpu = 1'000;
  Millis m_duration{ 300 };
  std::string m_label;
};

std::string MakeJob(const JobShape& aShape);

} // namespace mustardtray::review
