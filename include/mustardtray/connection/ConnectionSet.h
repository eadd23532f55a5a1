#pragma once

/// Connections of an HTTP client that calls can be limited to.

#include <cstddef>
#include <cstdint>
#include <set>

namespace mustardtray {

class ConnectionSet
{
public:
  /// aConnection: see HttpResponse::m_connection. The oldest connection is dropped when there are
  /// too many: it has probably been closed.
  void Add(std::uint64_t aConnection)
  {
    m_connections.insert(aConnection);
    if (m_connections.size() > kMaxSize) {
      m_connections.erase(m_connections.begin());
    }
  }
  void Clear() { m_connections.clear(); }
  bool Contains(std::uint64_t aConnection) const { return m_connections.contains(aConnection); }
  bool IsEmpty() const { return m_connections.empty(); }
  std::size_t Size() const { return m_connections.size(); }

private:
  static constexpr std::size_t kMaxSize = 16;

  std::set<std::uint64_t> m_connections;
};

} // namespace mustardtray
