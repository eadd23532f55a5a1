#pragma once

/// Metadata that an entry VM sends to another with a forwarded request, as JSON in a single header.

#include <optional>
#include <string>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/request/Routing.h"

namespace mustardtray {

enum class ForwardKind
{
  FreeCapacity, ///< The receiver has a free slot. The key, if any, was claimed before.
  Owner,        ///< The receiver owns the partition of the request's idempotency key.
};

template<>
struct EnumNames<ForwardKind>
{
  static constexpr std::array kTable{
    std::pair{ ForwardKind::FreeCapacity, std::string_view("room") },
    std::pair{ ForwardKind::Owner, std::string_view("owner") },
  };
};

struct ForwardEnvelope
{
  ForwardKind m_kind = ForwardKind::FreeCapacity;
  std::string m_requestId;
  std::string m_from;     ///< Name of the sending node.
  Millis m_timeLeft{ 0 }; ///< Time until the deadline.
  Hops m_hops;
  std::uint64_t m_epoch = 0; ///< For Owner: the partition's epoch as known to the sender.
};

std::string FormatForwardEnvelope(const ForwardEnvelope& aEnvelope);
/// Errors: Invalid, if the text is not JSON or a field is missing or out of range.
Result<ForwardEnvelope> ParseForwardEnvelope(const std::string& aText);

} // namespace mustardtray
