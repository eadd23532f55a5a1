#pragma once

/// The configuration parts of a daemon: the agent that keeps the configuration up to date and the
/// store that accepts changes. Used on the control thread only.

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/ConfigAgent.h"
#include "mustardtray/process/ConfigStore.h"
#include "mustardtray/process/OperatorInterface.h"
#include "mustardtray/process/TimerService.h"

namespace mustardtray {

/// One-shot timers that are kept until they fire.
class DelayedCalls
{
public:
  explicit DelayedCalls(TimerService& aTimers)
    : m_timers(aTimers)
  {
  }

  void After(Millis aDelay, std::function<void()> aCallback)
  {
    const std::uint64_t id = m_next++;
    m_handles[id] = m_timers.After(aDelay, [this, id, callback = std::move(aCallback)] {
      const auto fired = m_handles.extract(id);
      callback();
    });
  }

private:
  TimerService& m_timers;
  std::map<std::uint64_t, TimerHandle> m_handles;
  std::uint64_t m_next = 0;
};

/// The operator hooks that concern the configuration. aAgent and aStore must outlive them. After a
/// change the agent polls at once instead of at its next period.
template<PlatformAccess P>
OperatorHooks MakeConfigHooks(ConfigAgent<P>& aAgent, ConfigStore<P>& aStore)
{
  OperatorHooks hooks;
  hooks.m_apply = [&aAgent, &aStore](ApplyRequest aRequest,
                                     std::function<void(ApplyOutcome)> aDone) {
    aStore.Apply(std::move(aRequest), [&aAgent, done = std::move(aDone)](ApplyOutcome aOutcome) {
      aAgent.Poll();
      done(std::move(aOutcome));
    });
  };
  hooks.m_history = [&aStore](std::size_t aCount, Callback<std::vector<Json>> aDone) {
    aStore.History(aCount, std::move(aDone));
  };
  hooks.m_findOperation = [&aStore](const std::string& aId,
                                    Callback<std::optional<std::uint64_t>> aDone) {
    aStore.FindOperation(aId, std::move(aDone));
  };
  hooks.m_document = [&aAgent] { return aAgent.Replica().Document(); };
  return hooks;
}

template<PlatformAccess P>
class ConfigService
{
public:
  using OnConfiguration = std::function<void(ConfigurationPointer)>;

  ConfigService(P& aPlatform,
                TimerService& aTimers,
                HttpClient& aHttp,
                std::vector<std::string> aSeeds,
                OnConfiguration aOnConfiguration)
    : m_timers(aTimers)
    , m_delays(aTimers)
    , m_agent(aPlatform, { MakePeerFetch(aHttp), std::move(aOnConfiguration) }, std::move(aSeeds))
    , m_store(aPlatform,
              { &MonotonicNow, &WallNow, [this](Millis aDelay, std::function<void()> aCallback) {
                 m_delays.After(aDelay, std::move(aCallback));
               } })
  {
  }

  void Start(Millis aPollPeriod) { m_agent.Start(m_timers, aPollPeriod); }
  ConfigAgent<P>& Agent() { return m_agent; }
  const ConfigAgent<P>& Agent() const { return m_agent; }
  ConfigStore<P>& Store() { return m_store; }

  /// The hooks that concern the configuration; the caller adds those of peers and fleet.
  OperatorHooks MakeHooks() { return MakeConfigHooks(m_agent, m_store); }

private:
  TimerService& m_timers;
  DelayedCalls m_delays;
  ConfigAgent<P> m_agent;
  ConfigStore<P> m_store;
};

} // namespace mustardtray
