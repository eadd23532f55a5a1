#pragma once

/// Periodic and one-shot timers on one io_context. Each timer belongs to a handle, and destroying
/// the handle cancels the timer.

#include <functional>
#include <memory>

#include <asio/io_context.hpp>

#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Owns one timer. The callback is never called after the handle was destroyed.
class TimerHandle
{
public:
  struct State;
  TimerHandle() = default;
  explicit TimerHandle(std::shared_ptr<State> aState);
  ~TimerHandle();
  TimerHandle(TimerHandle&&) noexcept = default;
  TimerHandle& operator=(TimerHandle&& aOther) noexcept;
  TimerHandle(const TimerHandle&) = delete;
  TimerHandle& operator=(const TimerHandle&) = delete;
  void Cancel();
  bool IsActive() const { return m_state != nullptr; }

private:
  std::shared_ptr<State> m_state;
};

/// All calls and callbacks happen on the thread that runs the io_context.
class TimerService
{
public:
  explicit TimerService(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  /// Calls aCallback every aPeriod. Each period varies randomly by up to the fraction aJitter (0 to
  /// 1), so that nodes that started at the same time do not stay synchronised.
  [[nodiscard]] TimerHandle Every(Millis aPeriod, double aJitter, std::function<void()> aCallback);
  /// Calls aCallback once, after aDelay.
  [[nodiscard]] TimerHandle After(Micros aDelay, std::function<void()> aCallback);

private:
  asio::io_context& m_context;
};

} // namespace mustardtray
