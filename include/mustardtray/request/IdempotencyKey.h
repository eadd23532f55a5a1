#pragma once

/// Idempotency key that a caller attaches to a request that is not idempotent, so that the request
/// runs at most once however often it is sent again. It is a version 7 UUID and therefore contains
/// its mint time.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// The order of keys is primarily the order of their mint times.
struct IdempotencyKey
{
  std::array<std::uint8_t, 16> m_bytes{};

  /// Time of creation in milliseconds by the caller's clock.
  WallTime MintTime() const;
  /// Hash that selects the key's partition. Every node computes the same value.
  std::uint64_t Hash() const;
  /// The UUID in lower case with hyphens.
  std::string Text() const;

  bool operator==(const IdempotencyKey&) const = default;
  bool operator<(const IdempotencyKey& aOther) const { return m_bytes < aOther.m_bytes; }
};

/// Parses the value of the header, with or without surrounding double quotes.
/// Errors: Invalid, if the text is not a version 7 UUID of the RFC 9562 variant.
Result<IdempotencyKey> ParseIdempotencyKey(std::string_view aText);

/// Creates a key with the mint time aNow. The caller supplies the random bits.
IdempotencyKey MintIdempotencyKey(WallTime aNow,
                                  std::uint64_t aRandomHigh,
                                  std::uint64_t aRandomLow);

/// Hash of the method, path, query and body, which must match for two requests to be the same.
std::uint64_t RequestFingerprint(const HttpRequest& aRequest);

} // namespace mustardtray
