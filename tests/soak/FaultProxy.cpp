#include "tests/soak/FaultProxy.h"

#include <array>

#include <asio/write.hpp>

namespace mustardtray::soak {

namespace {

constexpr Micros kDelay{ 120'000 };
/// How often a silenced link looks whether the fault has ended.
constexpr Micros kSilencePoll{ 50'000 };
constexpr std::size_t kChunk = 16'384;

} // namespace

/// One proxied connection: both sockets, with a buffer for each direction.
struct FaultProxy::Pipe
{
  explicit Pipe(asio::io_context& aContext)
    : m_near(aContext)
    , m_far(aContext)
  {
  }

  void Reset()
  {
    asio::error_code ignored;
    m_near.set_option(asio::socket_base::linger(true, 0), ignored);
    m_near.close(ignored);
    m_far.close(ignored);
  }

  asio::ip::tcp::socket m_near;
  asio::ip::tcp::socket m_far;
  std::array<char, kChunk> m_requests{};
  std::array<char, kChunk> m_answers{};
  TimerHandle m_requestTimer;
  TimerHandle m_answerTimer;
};

FaultProxy::FaultProxy(asio::io_context& aContext, TimerService& aTimers, std::uint16_t aTargetPort)
  : m_context(aContext)
  , m_timers(aTimers)
  , m_targetPort(aTargetPort)
  , m_acceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
{
  Accept();
}

void FaultProxy::ResetAll()
{
  for (const std::weak_ptr<Pipe>& weak : m_pipes) {
    if (const auto pipe = weak.lock()) {
      pipe->Reset();
    }
  }
  m_pipes.clear();
}

void FaultProxy::Accept()
{
  auto pipe = std::make_shared<Pipe>(m_context);
  m_acceptor.async_accept(pipe->m_near, [this, pipe](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    pipe->m_far.async_connect({ asio::ip::address_v4::loopback(), m_targetPort },
                              [this, pipe](const asio::error_code& aFailure) {
                                if (aFailure) {
                                  pipe->Reset();
                                  return;
                                }
                                Forward(pipe, false);
                                Forward(pipe, true);
                              });
    m_pipes.push_back(pipe);
    Accept();
  });
}

void FaultProxy::Forward(const std::shared_ptr<Pipe>& aPipe, bool aIsAnswer)
{
  auto& from = aIsAnswer ? aPipe->m_far : aPipe->m_near;
  auto& buffer = aIsAnswer ? aPipe->m_answers : aPipe->m_requests;
  from.async_read_some(
    asio::buffer(buffer),
    [this, aPipe, aIsAnswer](const asio::error_code& aError, std::size_t aBytes) {
      if (aError) {
        asio::error_code ignored;
        aPipe->m_near.close(ignored);
        aPipe->m_far.close(ignored);
        return;
      }
      Pass(aPipe, aIsAnswer, aBytes);
    });
}

void FaultProxy::Pass(const std::shared_ptr<Pipe>& aPipe, bool aIsAnswer, std::size_t aBytes)
{
  const bool isHeld =
    m_fault == LinkFault::Silent || (m_fault == LinkFault::CutAnswers && aIsAnswer);
  TimerHandle& timer = aIsAnswer ? aPipe->m_answerTimer : aPipe->m_requestTimer;
  if (isHeld) {
    timer = m_timers.After(kSilencePoll,
                           [this, aPipe, aIsAnswer, aBytes] { Pass(aPipe, aIsAnswer, aBytes); });
    return;
  }
  const auto write = [this, aPipe, aIsAnswer, aBytes] {
    auto& to = aIsAnswer ? aPipe->m_near : aPipe->m_far;
    auto& buffer = aIsAnswer ? aPipe->m_answers : aPipe->m_requests;
    asio::async_write(to,
                      asio::buffer(buffer.data(), aBytes),
                      [this, aPipe, aIsAnswer](const asio::error_code& aError, std::size_t) {
                        if (!aError) {
                          Forward(aPipe, aIsAnswer);
                        }
                      });
  };
  if (m_fault == LinkFault::Delayed) {
    timer = m_timers.After(kDelay, write);
  } else {
    write();
  }
}

} // namespace mustardtray::soak
