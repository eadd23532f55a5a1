#pragma once

/// Sends orders to one incarnation of a minion.
///
/// A minion may restart under its ID, and a call names only the ID: the next incarnation carries
/// out what was meant for the former one. A connection ends with its incarnation, though. So an
/// order is sent on a connection on which the known incarnation has listed its runs, and on no
/// other one.

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

#include "mustardtray/connection/ConnectionSet.h"
#include "mustardtray/process/Time.h"
#include "platform/MinionClient.h"

namespace mustardtray::node {

using Connections = std::shared_ptr<const ConnectionSet>;

/// An order that waits for a connection.
struct ChannelOrder
{
  TimePoint m_deadline{}; ///< Is not sent later than this.
  /// Sends the order on one of the connections.
  std::function<void(Connections, platform::MinionClient::OrderCallback)> m_send;
  platform::MinionClient::OrderCallback m_done;
};

class MinionChannel
{
public:
  /// aConnect: asks the minion for its runs on any connection, and calls OnListed() or
  /// OnConnectFailed().
  explicit MinionChannel(std::function<void()> aConnect)
    : m_connect(std::move(aConnect))
  {
  }
  ~MinionChannel();
  MinionChannel(const MinionChannel&) = delete;
  MinionChannel& operator=(const MinionChannel&) = delete;

  /// Sends an order as soon as a connection is free. The result is NotSent when there is none in
  /// time.
  void Send(ChannelOrder aOrder);
  /// Those on which the known incarnation has listed its runs.
  Connections Known() const { return m_known; }
  bool HasFreeConnection() const { return FreeConnections() > 0; }
  /// Called when the known incarnation has listed its runs on a connection.
  void OnListed(std::uint64_t aConnection);
  /// Called when the minion has not answered. Orders that wait are not sent.
  void OnConnectFailed();
  /// Called when the minion's incarnation is another one than the known one.
  void OnRestarted();
  /// Called when no known connection was free although one should have been.
  void OnLacksConnection() { m_known->Clear(); }
  /// aIsHeld: whether the minion keeps one of the known connections for a call that waits.
  void SetHeld(bool aIsHeld) { m_isHeld = aIsHeld; }

private:
  std::size_t FreeConnections() const;
  void SendWaiting(std::size_t aMost);
  void SendNext();
  void EndWaiting();
  void Connect();

  std::function<void()> m_connect;
  std::shared_ptr<ConnectionSet> m_known = std::make_shared<ConnectionSet>();
  std::deque<ChannelOrder> m_waiting;
  std::size_t m_open = 0;     ///< Orders that have been sent and have no answer.
  std::size_t m_restarts = 0; ///< Of the minion, that this node has seen.
  bool m_isHeld = false;
  bool m_isConnecting = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mustardtray::node
