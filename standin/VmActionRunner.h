#pragma once

/// Executes VM actions for the platform stand-in. Each action takes a configured time and stops or
/// starts the minions of the VM through their control interface.

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
  Millis m_stopTime{ 0 };
  Millis m_rebootTime{ 100 };
  Millis m_startTime{ 0 };
};

class VmActionRunner
{
public:
  using DoneCallback = std::function<void(ActionState)>;

  VmActionRunner(asio::io_context& aContext, VmActionTimes aTimes);

  const VmActionTimes& Times() const { return m_times; }
  void SetTimes(const VmActionTimes& aTimes) { m_times = aTimes; }
  /// Calls aDone when the action has ended. With aFails the action takes its usual time and then
  /// fails.
  void Run(const StandinVm& aVm,
           const VmActionRequest& aRequest,
           bool aFails,
           const DoneCallback& aDone);
  /// Sends a control command to the minions of the VM and ignores the result.
  void NotifyMinions(const StandinVm& aVm, const std::string& aCommand, const Json& aBody);

private:
  void RunAfter(Millis aDelay, std::function<void()> aCallback);
  /// Sends a control command to the minions of the VM. Calls aDone with whether it succeeded; true
  /// when the VM has no minions.
  void CommandMinions(const StandinVm& aVm,
                      const std::string& aCommand,
                      const Json& aBody,
                      std::function<void(bool)> aDone);

  TimerService m_timers;
  HttpClient m_http;
  VmActionTimes m_times;
  std::list<TimerHandle> m_pendingTimers;
};

} // namespace mustardtray
