#pragma once

/// One node of the configuration bench: agent, store and peer listener on a thread of its own, with
/// real HTTP to the platform's stand-in and to the other nodes.

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/ConfigService.h"
#include "mustardtray/process/PlatformClient.h"

namespace mustardtray {

struct ConfigNodeOptions
{
  std::string m_platformUrl;
  std::uint16_t m_peerPort = 0;
  std::vector<std::string> m_peers; ///< URLs that it sends its version to.
  Millis m_heartbeat{ 500 };
  Millis m_poll{ 1'000 };
};

/// What a node spent since its start.
struct ConfigNodeCost
{
  double m_cpuSeconds = 0; ///< Of the control thread.
  std::uint64_t m_platformBytes = 0;
};

class ConfigNode
{
public:
  explicit ConfigNode(ConfigNodeOptions aOptions);
  ~ConfigNode();
  ConfigNode(const ConfigNode&) = delete;
  ConfigNode& operator=(const ConfigNode&) = delete;

  /// Version in force; readable from every thread.
  std::uint64_t Version() const { return m_version; }
  /// True when the version in force ever went down.
  bool HasMovedBack() const { return m_movedBack; }
  std::future<ApplyOutcome> Apply(ApplyRequest aRequest);
  /// Stops the node's thread: it takes connections and answers nothing.
  void Freeze();
  void Thaw();
  ConfigNodeCost Cost();

private:
  void HandlePeer(const HttpRequest& aRequest, const HttpResponder& aResponder);
  void SendHeartbeats();
  template<typename F>
  auto RunOnThread(F aFunction);

  ConfigNodeOptions m_options;
  std::atomic<std::uint64_t> m_version{ 0 };
  std::atomic<bool> m_movedBack{ false };
  std::atomic<bool> m_frozen{ false };
  asio::io_context m_context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  TimerService m_timers{ m_context };
  HttpClient m_http{ m_context };
  PlatformClient m_platform;
  ConfigService<PlatformClient> m_config;
  HttpServer m_server;
  TimerHandle m_beat;
  std::thread m_thread;
};

} // namespace mustardtray
