#include "standin/VmActionRunner.h"

#include <memory>

namespace mustardtray {

namespace {

/// Long, because a graceful stop waits for the runs of the minions.
constexpr Millis kMinionControlTimeout{ 120'000 };

ActionState ToActionState(bool aHasSucceeded)
{
  return aHasSucceeded ? ActionState::Done : ActionState::Failed;
}

} // namespace

VmActionRunner::VmActionRunner(asio::io_context& aContext, VmActionTimes aTimes)
  : m_timers(aContext)
  , m_http(aContext)
  , m_times(aTimes)
{
}

void VmActionRunner::Run(const StandinVm& aVm,
                         const VmActionRequest& aRequest,
                         bool aFails,
                         const DoneCallback& aDone)
{
  switch (aRequest.m_action) {
    case VmAction::Stop:
      CommandMinions(aVm, "stop", Json::object(), [this, aFails, aDone](bool aHasSucceeded) {
        RunAfter(m_times.m_stopTime, [=] { aDone(ToActionState(aHasSucceeded && !aFails)); });
      });
      break;
    case VmAction::Reboot:
      CommandMinions(aVm, "kill", Json::object(), [this, aFails, aDone](bool aHasSucceeded) {
        RunAfter(m_times.m_rebootTime, [=] { aDone(ToActionState(aHasSucceeded && !aFails)); });
      });
      break;
    case VmAction::Start:
      RunAfter(m_times.m_startTime, [=, this, pool = aRequest.m_pool] {
        CommandMinions(aVm, "start", { { "pool", pool } }, [=](bool aHasSucceeded) {
          aDone(ToActionState(aHasSucceeded && !aFails));
        });
      });
      break;
  }
}

void VmActionRunner::NotifyMinions(const StandinVm& aVm,
                                   const std::string& aCommand,
                                   const Json& aBody)
{
  CommandMinions(aVm, aCommand, aBody, [](bool) {});
}

void VmActionRunner::RunAfter(Millis aDelay, std::function<void()> aCallback)
{
  const auto entry = m_pendingTimers.emplace(m_pendingTimers.end());
  *entry = m_timers.After(aDelay, [this, entry, callback = std::move(aCallback)] {
    const TimerHandle ended = std::move(*entry);
    m_pendingTimers.erase(entry);
    callback();
  });
}

void VmActionRunner::CommandMinions(const StandinVm& aVm,
                                    const std::string& aCommand,
                                    const Json& aBody,
                                    std::function<void(bool)> aDone)
{
  if (aVm.m_control.empty()) {
    aDone(true);
    return;
  }
  HttpCall call;
  call.m_method = "POST";
  call.m_url =
    "http://" + aVm.m_control + "/control/minions/" + aVm.m_listing.m_name + "/" + aCommand;
  call.m_body = aBody.dump();
  call.m_timeout = kMinionControlTimeout;
  call.m_step = aCommand + " minions";
  m_http.Start(std::move(call), [done = std::move(aDone)](const HttpCallResult& aResult) {
    done(aResult && aResult.value().m_status == 200);
  });
}

} // namespace mustardtray
