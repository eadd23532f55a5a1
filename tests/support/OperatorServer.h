#pragma once

/// Runs an operator listener on loopback, with a FakePlatform and one configuration agent, on its
/// own thread.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/ConfigAgent.h"
#include "mustardtray/process/ConfigService.h"
#include "mustardtray/process/ConfigStore.h"
#include "mustardtray/process/OperatorListener.h"
#include "tests/support/ContextThread.h"
#include "tests/support/ExampleFiles.h"
#include "tests/support/FakePlatform.h"

namespace mustardtray::test {

class OperatorServer
{
public:
  explicit OperatorServer(const std::string& aTokenFile = "")
  {
    m_state.m_vms = ExampleVms("wroblewski");
    m_settings.m_tokenFile = aTokenFile;
    m_listener.emplace(m_thread.Context(), m_settings, Hooks());
    Run([this] { m_started = !m_listener->Start(m_timers).has_error(); });
  }
  ~OperatorServer()
  {
    Run([this] {
      m_listener->Stop();
      m_listener.reset();
      m_delays.clear();
    });
  }

  std::string Url() const { return "http://127.0.0.1:" + std::to_string(m_listener->Port()); }
  /// Runs a function on the control thread and blocks until it ends.
  void Run(const std::function<void()>& aWork)
  {
    m_thread.Run([&aWork] { aWork(); });
  }
  bool HasStarted() const { return m_started; }

  FakePlatformState m_state;
  FakePlatform m_platform{ m_state };
  std::vector<std::string> m_drainedVms;
  std::vector<NodeStatus> m_otherNodes;

private:
  OperatorHooks Hooks()
  {
    OperatorHooks hooks = MakeConfigHooks(m_agent, m_store);
    hooks.m_compiled = [this] { return m_compiled; };
    hooks.m_status = [this] {
      FleetStatus status{ "self", m_agent.Version(), m_agent.IsPlatformReachable(), m_otherNodes };
      status.m_nodes.push_back({ "self", "pl-a", m_agent.Version(), Millis(0), true });
      return status;
    };
    hooks.m_drain =
      [this](const std::string& aVm, const std::string& aId, const Callback<std::string>& aDone) {
        m_drainedVms.push_back(aVm);
        aDone(aId);
      };
    return hooks;
  }

  ContextThread m_thread;
  TimerService m_timers{ m_thread.Context() };
  std::vector<TimerHandle> m_delays;
  ConfigStore<FakePlatform> m_store{ m_platform,
                                     { &MonotonicNow,
                                       &WallNow,
                                       [this](Millis aDelay, std::function<void()> aCallback) {
                                         m_delays.push_back(
                                           m_timers.After(aDelay, std::move(aCallback)));
                                       } } };
  CompiledConfigurationPointer m_compiled;
  ConfigAgent<FakePlatform> m_agent{
    m_platform,
    { [](const std::string&, std::uint64_t, const Callback<ConfigDelta>&) {},
      [this](const ConfigurationPointer& aConfiguration) {
        m_compiled = CompiledConfiguration::Compile(*aConfiguration, m_state.m_vms);
      } }
  };
  OperatorSettings m_settings;
  std::optional<OperatorListener> m_listener;
  bool m_started = false;
};

} // namespace mustardtray::test
