#include "node/MinionChannel.h"

#include <algorithm>
#include <utility>

#include "node/NodeContext.h"

namespace mustardtray::node {

namespace {

/// Orders to a minion that are on their way at the same time. Each needs a connection of its own.
constexpr std::size_t kMaxOpenOrders = 4;

} // namespace

MinionChannel::~MinionChannel() = default;

void MinionChannel::Send(ChannelOrder aOrder)
{
  m_waiting.push_back(std::move(aOrder));
  SendWaiting(ConnectionsForOrders());
}

void MinionChannel::OnListed(std::uint64_t aConnection, bool aIsFree)
{
  m_isConnecting = false;
  m_known->Add(aConnection);
  SendWaiting(std::max<std::size_t>(ConnectionsForOrders(), aIsFree ? 1 : 0));
}

void MinionChannel::OnRestarted()
{
  // Calls that libcurl has not sent yet keep the former set, which gets no connection any more.
  m_known->Clear();
  m_known = std::make_shared<ConnectionSet>();
  m_open = 0;
  ++m_clears;
  ++m_restarts;
  EndWaiting();
}

void MinionChannel::OnLacksConnection()
{
  m_known->Clear();
  m_open = 0;
  ++m_clears;
}

void MinionChannel::OnConnectFailed()
{
  m_isConnecting = false;
  EndWaiting();
}

std::size_t MinionChannel::ConnectionsForOrders() const
{
  const std::size_t used = m_open + 1;
  const std::size_t known = m_known->Size();
  return known > used ? known - used : 0;
}

void MinionChannel::SendWaiting(std::size_t aMost)
{
  const std::weak_ptr<int> alive = m_alive;
  for (std::size_t i = 0; i < aMost && !m_waiting.empty() && m_open < kMaxOpenOrders; ++i) {
    SendNext();
    if (alive.expired()) {
      return;
    }
  }
  if (!m_waiting.empty() && m_open < kMaxOpenOrders) {
    Connect();
  }
}

void MinionChannel::SendNext()
{
  ChannelOrder order = std::move(m_waiting.front());
  m_waiting.pop_front();
  if (LeaseClockNow() > order.m_deadline) {
    platform::OrderResponse response;
    response.m_result = job::OrderResult::NotSent;
    order.m_done(response);
    return;
  }
  ++m_open;
  const auto send = order.m_send;
  send(m_known,
       [this,
        order = std::move(order),
        restarts = m_restarts,
        clears = m_clears,
        alive = std::weak_ptr<int>(m_alive)](platform::OrderResponse aResponse) mutable {
         if (alive.expired()) {
           return;
         }
         m_open -= clears == m_clears ? 1 : 0;
         if (aResponse.m_connection != 0 && restarts == m_restarts) {
           m_known->Add(aResponse.m_connection);
         }
         if (aResponse.m_lacksConnection) {
           if (clears == m_clears) {
             OnLacksConnection();
           }
           if (restarts == m_restarts) {
             m_waiting.push_front(std::move(order));
             Connect();
             return;
           }
         }
         order.m_done(aResponse);
         if (!alive.expired()) {
           SendWaiting(ConnectionsForOrders());
         }
       });
}

void MinionChannel::EndWaiting()
{
  const std::weak_ptr<int> alive = m_alive;
  std::deque<ChannelOrder> waiting = std::move(m_waiting);
  m_waiting.clear();
  for (const ChannelOrder& order : waiting) {
    platform::OrderResponse response;
    response.m_result = job::OrderResult::NotSent;
    order.m_done(response);
    if (alive.expired()) {
      return;
    }
  }
}

void MinionChannel::Connect()
{
  if (!m_isConnecting) {
    m_isConnecting = true;
    m_connect();
  }
}

} // namespace mustardtray::node
