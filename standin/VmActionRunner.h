#pragma once

/// Carries out VM actions for the platform's stand-in: after the set time, and by the control
/// interface of the VM's minions, so that minions really stop and start.

#include <functional>
#include <list>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/TimerService.h"
#include "standin/VmFleet.h"

namespace mustardtray {

struct VmActionTimes
{
  Millis m_stop{ 0 };
  Millis m_reboot{ 100 };
  Millis m_start{ 0 };
};

class VmActionRunner
{
public:
  using Done = std::function<void(ActionState)>;

  VmActionRunner(asio::io_context& aContext, VmActionTimes aTimes);

  const VmActionTimes& Times() const { return m_times; }
  void SetTimes(const VmActionTimes& aTimes) { m_times = aTimes; }
  /// Calls back when the action ended; with aFails it takes its time and fails.
  void Run(const StandinVm& aVm, const VmActionRequest& aRequest, bool aFails, const Done& aDone);
  /// Asks the VM's minions for something, without waiting for the answer.
  void Tell(const StandinVm& aVm, const std::string& aVerb, const Json& aBody);

private:
  void After(Millis aDelay, std::function<void()> aCallback);
  /// Calls back with whether the minions did as told; true when the VM has none.
  void Ask(const StandinVm& aVm,
           const std::string& aVerb,
           const Json& aBody,
           std::function<void(bool)> aDone);

  TimerService m_timers;
  HttpClient m_http;
  VmActionTimes m_times;
  std::list<TimerHandle> m_pending;
};

} // namespace mustardtray
