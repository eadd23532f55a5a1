#pragma once

/// Creation of the HTTP calls that send a caller's request to a minion or to another entry VM.

#include <string>

#include "mustardtray/connection/HttpClient.h"
#include "request/ActiveRequest.h"
#include "request/ForwardEnvelope.h"

namespace mustardtray {

/// Creates a call to a minion or to another entry VM at aBaseUrl. A request that is not idempotent
/// uses a new connection, because libcurl may send a request again on a reused connection.
HttpCall MakeOutgoingCall(const ActiveRequest& aActive, const std::string& aBaseUrl);
/// Creates a call to another entry VM with aEnvelope. Its timeout is slightly longer than the time
/// left in the envelope, so that the refusal of the receiver can arrive.
HttpCall MakeForwardCall(const ActiveRequest& aActive,
                         const std::string& aBaseUrl,
                         const ForwardEnvelope& aEnvelope);

} // namespace mustardtray
