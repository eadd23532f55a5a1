#pragma once

/// What the connections of a listener hold, and which of them are closed when the listener's share
/// of memory or of connections is used up or a caller makes no progress. Performs no I/O.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// 0 sets no limit.
struct ConnectionLimits
{
  std::size_t m_maxHeldBytes = 0;
  /// Beyond this number, the connection that was silent for longest, in whole seconds, is closed
  /// for each new one; of several, the oldest.
  std::size_t m_maxConnections = 0;
  Millis m_progressTimeout{ 0 }; ///< Without a byte received or sent, within a request or response.
  Millis m_headerTimeout{ 0 };   ///< From a request's first byte to the end of its header.
};

enum class ConnectionPhase
{
  Idle,
  Header,   ///< A request's header is being received.
  Body,     ///< A request's body is being received.
  Handling, ///< A complete request is being handled; such a connection is never closed.
  Writing,  ///< A response is being sent.
};

enum class CloseReason
{
  Bytes,
  Connections,
  Progress,
  HeaderTime,
  BodyLimit,
};

template<>
struct EnumNames<CloseReason>
{
  static constexpr std::array kTable{
    std::pair{ CloseReason::Bytes, std::string_view("bytes") },
    std::pair{ CloseReason::Connections, std::string_view("connections") },
    std::pair{ CloseReason::Progress, std::string_view("progress") },
    std::pair{ CloseReason::HeaderTime, std::string_view("header-time") },
    std::pair{ CloseReason::BodyLimit, std::string_view("body-limit") },
  };
};

class ConnectionLedger
{
public:
  using Id = std::uint64_t; ///< Never 0.
  struct Choice
  {
    Id m_id = 0;
    CloseReason m_reason = CloseReason::Bytes;
    std::size_t m_heldBytes = 0;
  };

  explicit ConnectionLedger(ConnectionLimits aLimits)
    : m_limits(aLimits)
  {
  }

  Id Open(TimePoint aNow);
  void Close(Id aId);
  /// Called whenever the connection received or sent bytes, and when its phase changed.
  void Update(Id aId, ConnectionPhase aPhase, std::size_t aHeldBytes, TimePoint aNow);

  /// Returns the connections to close because a share is used up. A connection is returned once and
  /// does not count any more.
  std::vector<Choice> ChooseOverLimit(TimePoint aNow);
  /// Returns the connections to close because they made no progress; likewise once.
  std::vector<Choice> ChooseExpired(TimePoint aNow);

  std::size_t HeldBytes() const { return m_heldBytes; }
  std::size_t Connections() const { return m_connections.size(); }

private:
  struct Connection
  {
    ConnectionPhase m_phase = ConnectionPhase::Idle;
    TimePoint m_phaseSince{};
    TimePoint m_progressAt{};
    std::size_t m_heldBytes = 0;
  };

  std::vector<Choice> ChooseHolders(TimePoint aNow) const;
  std::vector<Choice> ChooseSilent(TimePoint aNow) const;
  void Remove(const std::vector<Choice>& aChoices);

  ConnectionLimits m_limits;
  std::unordered_map<Id, Connection> m_connections;
  std::size_t m_heldBytes = 0;
  Id m_lastId = 0;
};

} // namespace mustardtray
