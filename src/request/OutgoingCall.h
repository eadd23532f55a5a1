#pragma once

/// What all calls that carry a caller's request have in common.

#include <string>

#include "mustardtray/connection/HttpClient.h"
#include "request/ActiveRequest.h"
#include "request/ForwardEnvelope.h"

namespace mustardtray {

/// The request as it goes to a minion or to another entry VM at aBaseUrl. One that is not
/// idempotent takes a connection of its own, so that libcurl never repeats it.
HttpCall MakeOutgoingCall(const ActiveRequest& aActive, const std::string& aBaseUrl);
/// The same for another entry VM, with the envelope; waits a little beyond the envelope's time for
/// the receiver's own refusal.
HttpCall MakeForwardCall(const ActiveRequest& aActive,
                         const std::string& aBaseUrl,
                         const ForwardEnvelope& aEnvelope);

} // namespace mustardtray
