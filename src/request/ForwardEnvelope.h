#pragma once

/// What one entry VM tells another along with a request that it forwards, as JSON in one header.

#include <optional>
#include <string>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/request/Routing.h"

namespace mustardtray {

enum class ForwardKind
{
  Room,  ///< The receiver has a free slot. Whoever sent it has settled the idempotency key.
  Owner, ///< The receiver owns the partition of the request's idempotency key.
};

template<>
struct EnumNames<ForwardKind>
{
  static constexpr std::array kTable{
    std::pair{ ForwardKind::Room, std::string_view("room") },
    std::pair{ ForwardKind::Owner, std::string_view("owner") },
  };
};

struct ForwardEnvelope
{
  ForwardKind m_kind = ForwardKind::Room;
  std::string m_requestId;
  std::string m_from; ///< Node.
  Millis m_timeLeft{ 0 };
  Hops m_hops;
  std::uint64_t m_epoch = 0; ///< Of the partition, as the sender knows it; for Owner.
};

std::string FormatForwardEnvelope(const ForwardEnvelope& aEnvelope);
/// Errors: Invalid.
Result<ForwardEnvelope> ParseForwardEnvelope(const std::string& aText);

} // namespace mustardtray
