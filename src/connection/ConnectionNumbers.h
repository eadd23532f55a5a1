#pragma once

/// Numbers the connections of an HTTP client, so that a response can be attributed to one of them.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace mustardtray {

/// Both ends of a TCP connection; the local address is the same for all connections of a client.
struct ConnectionEnds
{
  std::string m_peerAddress;
  int m_peerPort = 0;
  int m_localPort = 0;

  bool operator<(const ConnectionEnds& aOther) const
  {
    return std::tie(m_localPort, m_peerPort, m_peerAddress) <
           std::tie(aOther.m_localPort, aOther.m_peerPort, aOther.m_peerAddress);
  }
};

class ConnectionNumbers
{
public:
  /// Returns the number of a connection; numbers are never reused. aIsNew: this is its first
  /// request. The system may give the ends of a closed connection to a new one.
  std::uint64_t NumberOf(const ConnectionEnds& aEnds, bool aIsNew)
  {
    if (m_numbers.size() >= kMaxKnown) {
      m_numbers.clear(); // A connection that is not known counts as a new one.
    }
    std::uint64_t& number = m_numbers[aEnds];
    if (aIsNew || number == 0) {
      number = ++m_last;
    }
    return number;
  }

private:
  /// Limits the memory for connections that have been closed.
  static constexpr std::size_t kMaxKnown = 8'192;

  std::map<ConnectionEnds, std::uint64_t> m_numbers;
  std::uint64_t m_last = 0;
};

} // namespace mustardtray
