#pragma once

/// Answers that this system gives itself, as opposed to those that it passes on from a minion. Each
/// says what is known of the outcome.

#include <string>
#include <string_view>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// 503: the request did not run and may be sent again.
HttpResponse NotRunAnswer(std::string_view aRequestId,
                          std::string_view aReason,
                          Millis aRetryAfter);
/// 504: the request may or may not have run. With aAttemptNotRun it did not run by this attempt,
/// but an earlier one with the same idempotency key may have run it.
HttpResponse UnknownAnswer(std::string_view aRequestId,
                           std::string_view aReason,
                           bool aAttemptNotRun);
/// A request that can never be run as it stands: 400, 404, 405, 422.
HttpResponse RejectedAnswer(int aStatus, std::string_view aRequestId, std::string_view aReason);

} // namespace mustardtray
