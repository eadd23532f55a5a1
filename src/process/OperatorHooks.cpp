#include "process/OperatorHooks.h"

#include <asio/steady_timer.hpp>

namespace mustardtray {

namespace {

FleetStatus MakeStatus(const ControlPlane& aControl)
{
  const TimePoint now = MonotonicNow();
  FleetStatus status;
  status.m_node = aControl.Self().m_id.m_node;
  status.m_version = aControl.Config().Version();
  status.m_isPlatformReachable = aControl.Config().IsPlatformReachable();
  status.m_nodes.push_back(
    { status.m_node, aControl.Self().m_zone, status.m_version, Millis(0), true });
  for (const auto& [node, peer] : aControl.Peers().All()) {
    const bool hasBeenHeard = peer.m_lastHeardAt != TimePoint::min();
    const Millis timeSinceHeard =
      hasBeenHeard ? CeilMillis(now - peer.m_lastHeardAt) : Millis::max();
    status.m_nodes.push_back({ node,
                               peer.m_info.m_zone,
                               peer.m_lastHeartbeat.m_configVersion,
                               timeSinceHeard,
                               aControl.Peers().IsAlive(now, peer) });
  }
  return status;
}

Json ProgressToJson(const ControlPlane& aControl, const std::string& aWave)
{
  const std::optional<WaveProgress> progress = aControl.Fleet().Progress(aWave);
  if (!progress) {
    return nullptr;
  }
  return { { "wave", aWave },
           { "total", progress->m_total },
           { "done", progress->m_done },
           { "out", progress->m_out },
           { "failing", progress->m_failing },
           { "waiting", progress->m_waiting },
           { "is_halted", progress->m_isHalted },
           { "remaining_ms", progress->m_remaining.count() } };
}

void ChangeWave(ControlPlane& aControl,
                const std::string& aWave,
                const std::string& aAction,
                Callback<std::string> aCallback)
{
  if (aAction == "pause") {
    aControl.Fleet().Pause(aWave, std::move(aCallback));
  } else if (aAction == "resume") {
    aControl.Fleet().Resume(aWave, std::move(aCallback));
  } else {
    aControl.Fleet().Cancel(aWave, std::move(aCallback));
  }
}

} // namespace

OperatorHooks MakeOperatorHooks(ControlPlane& aControl, ConfigStore<PlatformClient>& aStore)
{
  OperatorHooks hooks;
  hooks.m_apply = [&aStore](ApplyRequest aRequest, std::function<void(ApplyOutcome)> aDone) {
    aStore.Apply(std::move(aRequest), std::move(aDone));
  };
  hooks.m_history = [&aStore](std::size_t aCount, Callback<std::vector<Json>> aCallback) {
    aStore.History(aCount, std::move(aCallback));
  };
  hooks.m_findOperation = [&aStore](const std::string& aId,
                                    Callback<std::optional<std::uint64_t>> aCallback) {
    aStore.FindOperation(aId, std::move(aCallback));
  };
  hooks.m_document = [&aControl] { return aControl.Config().Replica().Document(); };
  hooks.m_compiled = [&aControl] { return aControl.Compiled(); };
  hooks.m_status = [&aControl] { return MakeStatus(aControl); };
  hooks.m_explainVm = [&aControl](const std::string& aVm) { return aControl.Fleet().Explain(aVm); };
  hooks.m_drain =
    [&aControl](const std::string& aVm, const std::string& aId, Callback<std::string> aDone) {
      aControl.Fleet().Drain(aVm, aId, std::move(aDone));
    };
  hooks.m_release = [&aControl](const std::string& aVm, Callback<std::string> aDone) {
    aControl.Fleet().Release(aVm, std::move(aDone));
  };
  hooks.m_maintain =
    [&aControl](const Selector& aSelector, const std::string& aId, Callback<std::string> aDone) {
      aControl.Fleet().Maintain(aSelector, aId, std::move(aDone));
    };
  hooks.m_wave =
    [&aControl](const std::string& aWave, const std::string& aAction, Callback<std::string> aDone) {
      ChangeWave(aControl, aWave, aAction, std::move(aDone));
    };
  hooks.m_waveProgress = [&aControl](const std::string& aWave) {
    return ProgressToJson(aControl, aWave);
  };
  return hooks;
}

ConfigStoreClock MakeConfigStoreClock(asio::io_context& aContext)
{
  return { MonotonicNow, WallNow, [&aContext](Millis aDelay, std::function<void()> aCallback) {
            auto timer = std::make_shared<asio::steady_timer>(aContext, aDelay);
            timer->async_wait(
              [timer, callback = std::move(aCallback)](const asio::error_code& aError) {
                if (!aError) {
                  callback();
                }
              });
          } };
}

} // namespace mustardtray
