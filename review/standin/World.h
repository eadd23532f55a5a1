#pragma once

/// A small deployment on loopback addresses: node processes as the deploy file starts them, the
/// platform's store, machines with their minions, and a caller. A case runs it step by step.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/TimerService.h"
#include "review/standin/Minion.h"
#include "review/standin/Record.h"
#include "review/standin/RunLedger.h"
#include "review/standin/StoreGate.h"
#include "standin/LocalProcess.h"
#include "tests/soak/RowStoreStandin.h"

namespace mustardtray::review {

// Exit statuses of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

struct WorldOptions
{
  std::size_t m_nodes = 3;
  std::size_t m_minions = 8;
  std::int64_t m_minionCpu = 64'000;
  std::uint32_t m_maxAttempts = 3;
  std::size_t m_maxRowBytes = 65'536;
};

/// The only queue and its pool.
inline constexpr const char* kPool = "bookings";
inline constexpr const char* kQueue = "booking-check";
inline constexpr const char* kPrefix = "/bookings/";
inline constexpr const char* kHost = "desk.example";

class World
{
public:
  /// aFolder: of the case, for record.txt.
  World(const std::string& aFolder, WorldOptions aOptions);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Record& Log() { return m_record; }
  RunLedger& Runs() { return m_runs; }
  soak::RowStoreStandin& Store() { return m_store; }
  StoreGate& Gate() { return *m_gate; }
  std::vector<std::unique_ptr<Minion>>& Minions() { return m_minions; }
  TimerService& Timers() { return m_timers; }

  /// Starts the nodes and waits until they are ready and the pool has an owner that has loaded it.
  bool Start();
  void RunFor(Millis aTime);
  /// Returns whether the condition became true in time.
  bool RunUntil(const std::function<bool()>& aCondition, Millis aTimeout);

  // Nodes, by number from 0.
  std::size_t OwnerOfPool() const;
  void Signal(std::size_t aNode, int aSignal);
  void RestartNode(std::size_t aNode, Millis aDownTime);

  // Caller. Answers are awaited; 0 stands for no answer.
  /// Sends a job, again after 429, 502, 503, 504 or no answer, as callers do. Returns whether a 2xx
  /// came within the attempts.
  bool Submit(const std::string& aId, const Json& aSpec, Json aSteps);
  /// Sends a job once, without waiting for the answer.
  void SubmitOnce(const std::string& aId, const Json& aSpec, Json aSteps);
  int Cancel(const std::string& aId, std::size_t aNode);
  std::string State(const std::string& aId, std::size_t aNode);
  /// Waiting jobs of the queue, or nothing without an answer.
  std::optional<std::size_t> Waiting(std::size_t aNode);
  /// Answers to submissions so far, by job; the last one counts.
  const std::map<std::string, int>& SubmitAnswers() const { return m_submitAnswers; }
  HttpCallResult Call(std::size_t aNode,
                      const std::string& aMethod,
                      const std::string& aPath,
                      std::string aBody);
  /// Sends a request without waiting for the answer. The callback gets the status; 0: no answer.
  void Send(std::size_t aNode,
            const std::string& aMethod,
            const std::string& aPath,
            std::string aBody,
            std::function<void(int)> aDone);
  std::size_t NodeCount() const { return m_nodes.size(); }

  /// Kills the nodes, writes the verdict and returns the exit status.
  int Finish(const std::optional<std::string>& aViolation);

private:
  struct Node
  {
    LocalProcess m_process;
    std::string m_ip;
    std::string m_settings;
    TimerHandle m_restartTimer;
  };
  void WriteConfiguration();
  void WriteSettings(const Node& aNode) const;
  bool StartNode(Node& aNode);
  HttpCall MakeCall(std::size_t aNode,
                    const std::string& aMethod,
                    const std::string& aPath,
                    std::string aBody) const;

  WorldOptions m_options;
  std::string m_folder;
  Record m_record;
  asio::io_context m_context;
  TimerService m_timers{ m_context };
  RunLedger m_runs;
  soak::RowStoreStandin m_store{ m_context, m_timers };
  HttpClient m_http{ m_context };
  std::unique_ptr<StoreGate> m_gate;
  std::unique_ptr<StandinServer> m_machineApi;
  std::vector<std::unique_ptr<Minion>> m_minions;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::map<std::string, int> m_submitAnswers;
  TimerHandle m_heartbeatTimer;
  std::size_t m_nextNode = 0;
};

/// Whether the case runs with its disruption: TROUBLE=0 leaves it out.
bool HasTrouble();

} // namespace mustardtray::review
