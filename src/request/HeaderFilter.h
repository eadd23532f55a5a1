#pragma once

/// Filters the headers that are passed between a caller and a minion.

#include <string_view>

#include "mustardtray/connection/HttpMessage.h"

namespace mustardtray {

inline constexpr std::string_view kOutcomeHeader = "Mustardtray-Outcome";
inline constexpr std::string_view kAttemptHeader = "Mustardtray-Attempt";
inline constexpr std::string_view kRequestIdHeader = "Mustardtray-Request-Id";
inline constexpr std::string_view kTimeoutHeader = "Mustardtray-Timeout-Ms";
inline constexpr std::string_view kForwardHeader = "Mustardtray-Forward";

inline constexpr std::string_view kOutcomeNotRun = "not-run";
inline constexpr std::string_view kOutcomeUnknown = "unknown";

/// Returns the headers without those that are specific to a connection (RFC 9110 section 7.6.1) and
/// without the Mustardtray headers.
HttpHeaders EndToEndHeaders(const HttpHeaders& aHeaders);

/// As EndToEndHeaders(), but keeps the Mustardtray headers, for responses relayed by another entry
/// VM.
HttpHeaders RelayedHeaders(const HttpHeaders& aHeaders);

} // namespace mustardtray
