#include "mustardtray/process/TimerService.h"

#include <random>

#include <asio/steady_timer.hpp>

namespace mustardtray {

struct TimerHandle::State : std::enable_shared_from_this<TimerHandle::State>
{
  explicit State(asio::io_context& aContext)
    : m_timer(aContext)
  {
  }

  Micros NextDelay()
  {
    if (m_jitter <= 0) {
      return m_period;
    }
    thread_local std::minstd_rand sRandom{ std::random_device{}() };
    std::uniform_real_distribution<double> spread(1 - m_jitter, 1 + m_jitter);
    return std::chrono::duration_cast<Micros>(m_period * spread(sRandom));
  }

  void Arm()
  {
    m_timer.expires_after(NextDelay());
    m_timer.async_wait([self = shared_from_this()](const asio::error_code& aError) {
      if (!aError && self->m_isActive) {
        self->Fire();
      }
    });
  }

  void Fire()
  {
    if (!m_isPeriodic) {
      m_isActive = false;
    }
    m_callback();
    if (m_isActive) {
      Arm();
    }
  }

  asio::steady_timer m_timer;
  Micros m_period{ 0 };
  double m_jitter = 0;
  bool m_isPeriodic = false;
  bool m_isActive = true;
  std::function<void()> m_callback;
};

TimerHandle::TimerHandle(std::shared_ptr<State> aState)
  : m_state(std::move(aState))
{
}

TimerHandle::~TimerHandle()
{
  Cancel();
}

TimerHandle& TimerHandle::operator=(TimerHandle&& aOther) noexcept
{
  Cancel();
  m_state = std::move(aOther.m_state);
  return *this;
}

void TimerHandle::Cancel()
{
  if (m_state) {
    m_state->m_isActive = false;
    m_state->m_timer.cancel();
    m_state.reset();
  }
}

TimerHandle TimerService::Every(Millis aPeriod, double aJitter, std::function<void()> aCallback)
{
  auto state = std::make_shared<TimerHandle::State>(m_context);
  state->m_period = aPeriod;
  state->m_jitter = aJitter;
  state->m_isPeriodic = true;
  state->m_callback = std::move(aCallback);
  state->Arm();
  return TimerHandle(std::move(state));
}

TimerHandle TimerService::After(Micros aDelay, std::function<void()> aCallback)
{
  auto state = std::make_shared<TimerHandle::State>(m_context);
  state->m_period = aDelay;
  state->m_callback = std::move(aCallback);
  state->Arm();
  return TimerHandle(std::move(state));
}

} // namespace mustardtray
