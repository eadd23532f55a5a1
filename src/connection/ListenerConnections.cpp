#include "connection/ListenerConnections.h"

#include "mustardtray/process/Log.h"

namespace mustardtray {

ListenerConnections::Id ListenerConnections::Open(std::function<void(CloseReason)> aAbort)
{
  const TimePoint now = MonotonicNow();
  const Id id = m_ledger.Open(now);
  m_aborts.emplace(id, std::move(aAbort));
  Abort(m_ledger.ChooseOverLimit(now));
  return id;
}

void ListenerConnections::Close(Id aId)
{
  m_ledger.Close(aId);
  m_aborts.erase(aId);
}

void ListenerConnections::Update(Id aId, ConnectionPhase aPhase, std::size_t aHeldBytes)
{
  const TimePoint now = MonotonicNow();
  m_ledger.Update(aId, aPhase, aHeldBytes, now);
  Abort(m_ledger.ChooseOverLimit(now));
}

void ListenerConnections::CountRefusedBody(std::size_t aHeldBytes)
{
  Counts& counts = m_closed[CloseReason::BodyLimit];
  ++counts.m_connections;
  counts.m_bytes += aHeldBytes;
}

bool ListenerConnections::BeginLingering()
{
  if (m_options.m_maxLingering > 0 && m_lingering >= m_options.m_maxLingering) {
    return false;
  }
  ++m_lingering;
  return true;
}

void ListenerConnections::CloseExpired()
{
  Abort(m_ledger.ChooseExpired(MonotonicNow()));
}

void ListenerConnections::Abort(const std::vector<ConnectionLedger::Choice>& aChoices)
{
  for (const ConnectionLedger::Choice& choice : aChoices) {
    Counts& counts = m_closed[choice.m_reason];
    ++counts.m_connections;
    counts.m_bytes += choice.m_heldBytes;
    m_aborts.at(choice.m_id)(choice.m_reason);
  }
}

void ListenerConnections::LogClosed()
{
  for (const auto& [reason, counts] : m_closed) {
    Log(LogCategory::Connection,
        LogLevel::Warning,
        "callers-closed",
        "listener",
        m_options.m_name,
        "reason",
        ToName(reason),
        "closed",
        counts.m_connections,
        "closed-bytes",
        counts.m_bytes,
        "connections",
        m_ledger.Connections(),
        "held-bytes",
        m_ledger.HeldBytes(),
        "max-bytes",
        m_options.m_limits.m_maxHeldBytes,
        "max-connections",
        m_options.m_limits.m_maxConnections);
  }
  m_closed.clear();
}

} // namespace mustardtray
