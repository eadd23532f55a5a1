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
  /// Whether there is one for a call that extends leases; orders leave one of them free for it.
  bool HasFreeConnection() const { return m_known->Size() > m_open; }
  /// Called when the known incarnation has listed its runs on a connection. aIsFree: the connection
  /// was opened for orders.
  void OnListed(std::uint64_t aConnection, bool aIsFree);
  /// Called when the minion has not answered. Orders that wait are not sent.
  void OnConnectFailed();
  /// Called when the minion's incarnation is another one than the known one. Orders that wait were
  /// meant for the former one and are not sent.
  void OnRestarted();
  /// Called when no known connection was free although one should have been.
  void OnLacksConnection();

private:
  std::size_t ConnectionsForOrders() const;
  void SendWaiting(std::size_t aMost);
  void SendNext();
  void EndWaiting();
  void Connect();

  std::function<void()> m_connect;
  std::shared_ptr<ConnectionSet> m_known = std::make_shared<ConnectionSet>();
  std::deque<ChannelOrder> m_waiting;
  std::size_t m_open = 0;     ///< Orders without an answer on known connections.
  std::size_t m_restarts = 0; ///< Of the minion, that this node has seen.
  std::size_t m_clears = 0;   ///< How often the known connections were forgotten.
  bool m_isConnecting = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mustardtray::node
