#pragma once

/// The timer service: parts subscribe to periodic or single wake-ups on one io_context. Ending a
/// subscription is a matter of dropping its handle.

#include <functional>
#include <memory>

#include <asio/io_context.hpp>

#include "mustardtray/process/Time.h"

namespace mustardtray {

/// Keeps one timer alive; the callback is never called after the handle is gone.
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

  /// Calls back every aPeriod, each time varied by up to aJitter (a fraction from 0 to 1), so
  /// that nodes that started together do not stay in step.
  [[nodiscard]] TimerHandle Every(Millis aPeriod, double aJitter, std::function<void()> aCallback);
  /// Calls back once.
  [[nodiscard]] TimerHandle After(Micros aDelay, std::function<void()> aCallback);

private:
  asio::io_context& m_context;
};

} // namespace mustardtray
