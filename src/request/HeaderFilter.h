#pragma once

/// Which headers pass between a caller and a minion.

#include <string_view>

#include "mustardtray/connection/HttpMessage.h"

namespace mustardtray {

inline constexpr std::string_view kOutcomeHeader = "Mustardtray-Outcome";
inline constexpr std::string_view kAttemptHeader = "Mustardtray-Attempt";
inline constexpr std::string_view kRequestIdHeader = "Mustardtray-Request-Id";
inline constexpr std::string_view kTimeoutHeader = "Mustardtray-Timeout-Ms";
inline constexpr std::string_view kForwardHeader = "Mustardtray-Forward";

inline constexpr std::string_view kNotRun = "not-run";
inline constexpr std::string_view kUnknown = "unknown";

/// Headers without those that belong to one connection (RFC 9110 section 7.6.1) and without this
/// system's own.
HttpHeaders EndToEndHeaders(const HttpHeaders& aHeaders);

/// The same, but for an answer that another entry VM passes on: its Mustardtray headers stay.
HttpHeaders RelayedHeaders(const HttpHeaders& aHeaders);

} // namespace mustardtray
