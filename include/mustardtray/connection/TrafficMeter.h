#pragma once

/// Counts the bytes of HTTP messages by kind of call, in both directions.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace mustardtray {

/// Bytes of the messages of one kind. They include the headers, and are counted when a call ends.
struct TrafficCount
{
  std::uint64_t m_calls = 0;
  std::uint64_t m_abandoned = 0; ///< Calls that ended without a response.
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  std::uint64_t m_wasted = 0; ///< Sent and received by abandoned calls.
};

class TrafficMeter
{
public:
  void Add(const std::string& aKind,
           std::uint64_t aSent,
           std::uint64_t aReceived,
           bool aIsAbandoned = false);
  /// Sum over all kinds since the start.
  const TrafficCount& Total() const { return m_total; }
  /// Describes the kinds with most bytes since the previous call as
  /// "kind:calls/abandoned/sent/received/wasted,..."; "none" when there was no traffic.
  std::string TakeSummary(std::size_t aMaxKinds);

private:
  std::map<std::string, TrafficCount> m_counts;
  TrafficCount m_total;
};

} // namespace mustardtray
