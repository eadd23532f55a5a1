#pragma once

/// Loopback proxy between one node and one address: it delays, resets, silences or cuts one way
/// what passes, from outside of both.

#include <list>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "mustardtray/process/TimerService.h"

namespace mustardtray::soak {

enum class LinkFault
{
  None,
  Delayed,   ///< Each piece waits.
  Silent,    ///< Nothing passes; what came meanwhile passes when the fault ends.
  CutAnswers ///< Requests pass, answers do not.
};

class FaultProxy
{
public:
  FaultProxy(asio::io_context& aContext, TimerService& aTimers, std::uint16_t aTargetPort);

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  void SetFault(LinkFault aFault) { m_fault = aFault; }
  /// Resets every open connection.
  void ResetAll();

private:
  struct Pipe;
  void Accept();
  void Forward(const std::shared_ptr<Pipe>& aPipe, bool aIsAnswer);
  void Pass(const std::shared_ptr<Pipe>& aPipe, bool aIsAnswer, std::size_t aBytes);

  asio::io_context& m_context;
  TimerService& m_timers;
  std::uint16_t m_targetPort;
  asio::ip::tcp::acceptor m_acceptor;
  LinkFault m_fault = LinkFault::None;
  std::list<std::weak_ptr<Pipe>> m_pipes;
};

} // namespace mustardtray::soak
