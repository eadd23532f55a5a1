#pragma once

/// Decides which calls a node sends when its link is full. Bytes are handed to the link at its
/// speed and no faster, so an immediate call finds a short queue there however much else waits.

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "mustardtray/connection/CallPriority.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

class LinkQueue
{
public:
  using CallId = std::uint64_t;

  /// aBytesPerSecond: speed of the link in the direction in which calls are sent; 0: no limit.
  explicit LinkQueue(double aBytesPerSecond);

  bool MustWait(CallPriority aPriority, TimePoint aNow) const;
  /// Time that the link needs for this many bytes.
  Micros TransferTime(std::size_t aBytes) const;
  /// Counts a call that is handed to the link.
  void OnSent(std::size_t aBytes, TimePoint aNow);

  void Push(CallId aCall, CallPriority aPriority, std::size_t aBytes);
  /// Removes a call that is not to be sent any more.
  void Remove(CallId aCall);
  /// Removes and returns the call to send now, if there is one.
  std::optional<CallId> Pop(TimePoint aNow);
  bool IsEmpty() const { return m_waiting.empty(); }
  /// When Pop() may return a call.
  TimePoint NextPopAt() const;
  /// Time until the link has sent what was handed to it and what waits.
  Micros Delay(TimePoint aNow) const;

private:
  struct Waiting
  {
    CallPriority m_priority = CallPriority::Normal;
    std::size_t m_bytes = 0;
  };

  double m_bytesPerSecond;
  TimePoint m_busyUntil{}; ///< The link has sent by then what was handed to it.
  /// By priority; may name calls that have been removed.
  std::array<std::deque<CallId>, EnumNames<CallPriority>::kTable.size()> m_order;
  std::unordered_map<CallId, Waiting> m_waiting;
  std::size_t m_waitingBytes = 0;
};

} // namespace mustardtray
