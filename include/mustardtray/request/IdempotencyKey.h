#pragma once

/// The key that a caller gives to a request that is not idempotent, so that resends of the request
/// run it at most once: a UUID of version 7, which carries the time at which it was minted.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// Keys order by mint time first.
struct IdempotencyKey
{
  std::array<std::uint8_t, 16> m_bytes{};

  /// When the key was minted, by the caller's clock.
  WallTime MintTime() const;
  /// Hash that names the key's partition; the same on every node.
  std::uint64_t Hash() const;
  /// Lower-case text with hyphens.
  std::string Text() const;

  bool operator==(const IdempotencyKey&) const = default;
  bool operator<(const IdempotencyKey& aOther) const { return m_bytes < aOther.m_bytes; }
};

/// Reads the header's value, with or without double quotes around it.
/// Errors: Invalid, for anything but a UUID of version 7.
Result<IdempotencyKey> ParseIdempotencyKey(std::string_view aText);

/// A key minted at aNow; the random bits come from the caller.
IdempotencyKey MintIdempotencyKey(WallTime aNow,
                                  std::uint64_t aRandomHigh,
                                  std::uint64_t aRandomLow);

/// Hash of all that makes two requests the same: method, path, query and body.
std::uint64_t RequestFingerprint(const HttpRequest& aRequest);

} // namespace mustardtray
