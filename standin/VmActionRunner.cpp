#include "standin/VmActionRunner.h"

#include <memory>

namespace mustardtray {

namespace {

/// A graceful stop waits for the runs of the minions.
constexpr Millis kControlTimeout{ 120'000 };

ActionState StateOf(bool aIsGood)
{
  return aIsGood ? ActionState::Done : ActionState::Failed;
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
                         const Done& aDone)
{
  switch (aRequest.m_action) {
    case VmAction::Stop:
      Ask(aVm, "stop", Json::object(), [this, aFails, aDone](bool aIsGood) {
        After(m_times.m_stop, [=] { aDone(StateOf(aIsGood && !aFails)); });
      });
      break;
    case VmAction::Reboot:
      Ask(aVm, "kill", Json::object(), [this, aFails, aDone](bool aIsGood) {
        After(m_times.m_reboot, [=] { aDone(StateOf(aIsGood && !aFails)); });
      });
      break;
    case VmAction::Start:
      After(m_times.m_start, [=, this, pool = aRequest.m_pool] {
        Ask(aVm, "start", { { "pool", pool } }, [=](bool aIsGood) {
          aDone(StateOf(aIsGood && !aFails));
        });
      });
      break;
  }
}

void VmActionRunner::Tell(const StandinVm& aVm, const std::string& aVerb, const Json& aBody)
{
  Ask(aVm, aVerb, aBody, [](bool) {});
}

void VmActionRunner::After(Millis aDelay, std::function<void()> aCallback)
{
  const auto entry = m_pending.emplace(m_pending.end());
  *entry = m_timers.After(aDelay, [this, entry, callback = std::move(aCallback)] {
    const TimerHandle ended = std::move(*entry);
    m_pending.erase(entry);
    callback();
  });
}

void VmActionRunner::Ask(const StandinVm& aVm,
                         const std::string& aVerb,
                         const Json& aBody,
                         std::function<void(bool)> aDone)
{
  if (aVm.m_control.empty()) {
    aDone(true);
    return;
  }
  HttpCall call;
  call.m_method = "POST";
  call.m_url = "http://" + aVm.m_control + "/control/minions/" + aVm.m_listing.m_name + "/" + aVerb;
  call.m_body = aBody.dump();
  call.m_timeout = kControlTimeout;
  call.m_step = aVerb + " minions";
  m_http.Start(std::move(call), [done = std::move(aDone)](const HttpCallResult& aResult) {
    done(aResult && aResult.value().m_status == 200);
  });
}

} // namespace mustardtray
