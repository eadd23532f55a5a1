#pragma once

/// The open connections of one listener: closes those that its ConnectionLedger chooses, and counts
/// them for one log line per reason and second. Used on the io_context's thread only.

#include <functional>
#include <map>
#include <string>

#include "connection/ConnectionLedger.h"

namespace mustardtray {

struct ListenerConnectionsOptions
{
  std::string m_name; ///< For log lines.
  ConnectionLimits m_limits;
  std::uint64_t m_maxBodyBytes = 0;
  std::size_t m_maxLingering = 0; ///< Connections that are closed after an error response.
};

class ListenerConnections
{
public:
  using Id = ConnectionLedger::Id;

  explicit ListenerConnections(ListenerConnectionsOptions aOptions)
    : m_options(std::move(aOptions))
    , m_ledger(m_options.m_limits)
  {
  }

  /// aAbort must not destroy connections before it returns.
  Id Open(std::function<void(CloseReason)> aAbort);
  void Close(Id aId);
  void Update(Id aId, ConnectionPhase aPhase, std::size_t aHeldBytes);

  std::uint64_t MaxBodyBytes() const { return m_options.m_maxBodyBytes; }
  void SetMaxBodyBytes(std::uint64_t aBytes) { m_options.m_maxBodyBytes = aBytes; }
  void CountRefusedBody(std::size_t aHeldBytes);

  /// Returns whether a connection may stay open to send an error response and discard the input.
  bool BeginLingering();
  void EndLingering() { --m_lingering; }

  /// Called every second.
  void CloseExpired();
  void LogClosed();

private:
  struct Counts
  {
    std::size_t m_connections = 0;
    std::size_t m_bytes = 0;
  };

  void Abort(const std::vector<ConnectionLedger::Choice>& aChoices);

  ListenerConnectionsOptions m_options;
  ConnectionLedger m_ledger;
  std::unordered_map<Id, std::function<void(CloseReason)>> m_aborts;
  std::map<CloseReason, Counts> m_closed; ///< Since the last log line.
  std::size_t m_lingering = 0;
};

} // namespace mustardtray
