#include "connection/LinkQueue.h"

#include <algorithm>

namespace mustardtray {

namespace {

/// What the link may still have to send when the next call is handed to it. An immediate call waits
/// for this long at most; with much less, the link would be idle between two calls.
constexpr Micros kMaxBacklog{ 100'000 };
/// The rest is for packet headers, acknowledgements and the responses of the node's servers.
constexpr double kUsableShare = 0.85;
/// Headers of a request, and the packets that open and close its connection.
constexpr std::size_t kCallOverheadBytes = 250;
constexpr double kMicrosPerSecond = 1'000'000.0;

} // namespace

LinkQueue::LinkQueue(double aBytesPerSecond)
  : m_bytesPerSecond(aBytesPerSecond * kUsableShare)
{
}

bool LinkQueue::MustWait(CallPriority aPriority, TimePoint aNow) const
{
  return m_bytesPerSecond > 0 && aPriority != CallPriority::Immediate &&
         (!IsEmpty() || m_busyUntil - aNow > kMaxBacklog);
}

Micros LinkQueue::TransferTime(std::size_t aBytes) const
{
  return m_bytesPerSecond > 0
           ? Micros(static_cast<Micros::rep>(static_cast<double>(aBytes) * kMicrosPerSecond /
                                             m_bytesPerSecond))
           : Micros{ 0 };
}

void LinkQueue::OnSent(std::size_t aBytes, TimePoint aNow)
{
  m_busyUntil = std::max(m_busyUntil, aNow) + TransferTime(aBytes + kCallOverheadBytes);
}

void LinkQueue::Push(CallId aCall, CallPriority aPriority, std::size_t aBytes)
{
  m_order[static_cast<std::size_t>(aPriority)].push_back(aCall);
  m_waiting[aCall] = { aPriority, aBytes };
  m_waitingBytes += aBytes + kCallOverheadBytes;
}

void LinkQueue::Remove(CallId aCall)
{
  const auto found = m_waiting.find(aCall);
  if (found == m_waiting.end()) {
    return;
  }
  m_waitingBytes -= found->second.m_bytes + kCallOverheadBytes;
  m_waiting.erase(found);
  if (m_waiting.empty()) {
    for (std::deque<CallId>& order : m_order) {
      order.clear();
    }
  }
}

std::optional<LinkQueue::CallId> LinkQueue::Pop(TimePoint aNow)
{
  if (aNow < NextPopAt()) {
    return std::nullopt;
  }
  for (std::deque<CallId>& order : m_order) {
    while (!order.empty()) {
      const CallId call = order.front();
      order.pop_front();
      if (m_waiting.contains(call)) {
        Remove(call);
        return call;
      }
    }
  }
  return std::nullopt;
}

TimePoint LinkQueue::NextPopAt() const
{
  return m_busyUntil - kMaxBacklog;
}

Micros LinkQueue::Delay(TimePoint aNow) const
{
  return std::max(m_busyUntil - aNow, Micros{ 0 }) + TransferTime(m_waitingBytes);
}

} // namespace mustardtray
