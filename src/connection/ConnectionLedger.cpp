#include "connection/ConnectionLedger.h"

#include <algorithm>

namespace mustardtray {

namespace {

/// Part of the bytes that remains after connections were closed, so that not each received buffer
/// closes another one.
constexpr std::size_t kRemainingEighths = 7;

} // namespace

ConnectionLedger::Id ConnectionLedger::Open(TimePoint aNow)
{
  m_connections[++m_lastId] = { ConnectionPhase::Idle, aNow, aNow, 0 };
  return m_lastId;
}

void ConnectionLedger::Close(Id aId)
{
  Remove({ { aId, CloseReason::Bytes, 0 } });
}

void ConnectionLedger::Update(Id aId,
                              ConnectionPhase aPhase,
                              std::size_t aHeldBytes,
                              TimePoint aNow)
{
  const auto found = m_connections.find(aId);
  if (found == m_connections.end()) {
    return;
  }
  Connection& connection = found->second;
  if (connection.m_phase != aPhase) {
    connection.m_phase = aPhase;
    connection.m_phaseSince = aNow;
  }
  connection.m_progressAt = aNow;
  m_heldBytes += aHeldBytes - connection.m_heldBytes;
  connection.m_heldBytes = aHeldBytes;
}

std::vector<ConnectionLedger::Choice> ConnectionLedger::ChooseOverLimit(TimePoint aNow)
{
  std::vector<Choice> choices;
  if (m_limits.m_maxHeldBytes > 0 && m_heldBytes > m_limits.m_maxHeldBytes) {
    choices = ChooseHolders(aNow);
    Remove(choices);
  }
  if (m_limits.m_maxConnections > 0 && m_connections.size() > m_limits.m_maxConnections) {
    const std::vector<Choice> silent = ChooseSilent(aNow);
    Remove(silent);
    choices.insert(choices.end(), silent.begin(), silent.end());
  }
  return choices;
}

std::vector<ConnectionLedger::Choice> ConnectionLedger::ChooseHolders(TimePoint aNow) const
{
  struct Candidate
  {
    double m_byteSeconds = 0;
    Choice m_choice;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, connection] : m_connections) {
    if (connection.m_phase == ConnectionPhase::Handling || connection.m_heldBytes == 0) {
      continue;
    }
    // At least a millisecond, so that of connections in progress the largest holder goes first.
    const Micros silence = std::max<Micros>(Millis(1), aNow - connection.m_progressAt);
    candidates.push_back({ static_cast<double>(connection.m_heldBytes) *
                             std::chrono::duration<double>(silence).count(),
                           { id, CloseReason::Bytes, connection.m_heldBytes } });
  }
  std::sort(
    candidates.begin(), candidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
      return std::pair(aLeft.m_byteSeconds, aRight.m_choice.m_id) >
             std::pair(aRight.m_byteSeconds, aLeft.m_choice.m_id);
    });
  std::vector<Choice> choices;
  std::size_t held = m_heldBytes;
  for (const Candidate& candidate : candidates) {
    if (held <= m_limits.m_maxHeldBytes / 8 * kRemainingEighths) {
      break;
    }
    held -= candidate.m_choice.m_heldBytes;
    choices.push_back(candidate.m_choice);
  }
  return choices;
}

std::vector<ConnectionLedger::Choice> ConnectionLedger::ChooseSilent(TimePoint aNow) const
{
  // Whole seconds: among connections that are all in progress, those that are open for longest are
  // closed, so that a new one gets to send its request.
  using Seconds = std::chrono::seconds;
  std::vector<std::pair<Seconds, Choice>> candidates;
  for (const auto& [id, connection] : m_connections) {
    // A new connection that has sent nothing yet is not closed for another new one.
    if (connection.m_phase != ConnectionPhase::Handling && connection.m_progressAt < aNow) {
      candidates.emplace_back(std::chrono::duration_cast<Seconds>(aNow - connection.m_progressAt),
                              Choice{ id, CloseReason::Connections, connection.m_heldBytes });
    }
  }
  const std::size_t count =
    std::min(m_connections.size() - m_limits.m_maxConnections, candidates.size());
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
    candidates.begin(), end, candidates.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aRight.first, aLeft.second.m_id) <
             std::pair(aLeft.first, aRight.second.m_id);
    });
  std::vector<Choice> choices;
  std::transform(candidates.begin(), end, std::back_inserter(choices), [](const auto& aCandidate) {
    return aCandidate.second;
  });
  return choices;
}

std::vector<ConnectionLedger::Choice> ConnectionLedger::ChooseExpired(TimePoint aNow)
{
  std::vector<Choice> choices;
  for (const auto& [id, connection] : m_connections) {
    const bool isInProgress = connection.m_phase == ConnectionPhase::Header ||
                              connection.m_phase == ConnectionPhase::Body ||
                              connection.m_phase == ConnectionPhase::Writing;
    if (connection.m_phase == ConnectionPhase::Header && m_limits.m_headerTimeout.count() > 0 &&
        aNow - connection.m_phaseSince > m_limits.m_headerTimeout) {
      choices.push_back({ id, CloseReason::HeaderTime, connection.m_heldBytes });
    } else if (isInProgress && m_limits.m_progressTimeout.count() > 0 &&
               aNow - connection.m_progressAt > m_limits.m_progressTimeout) {
      choices.push_back({ id, CloseReason::Progress, connection.m_heldBytes });
    }
  }
  Remove(choices);
  return choices;
}

void ConnectionLedger::Remove(const std::vector<Choice>& aChoices)
{
  for (const Choice& choice : aChoices) {
    const auto found = m_connections.find(choice.m_id);
    if (found != m_connections.end()) {
      m_heldBytes -= found->second.m_heldBytes;
      m_connections.erase(found);
    }
  }
}

} // namespace mustardtray
