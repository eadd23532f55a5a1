#pragma once

/// The limits of a node's listeners, from its settings. Callers, peers and readiness checks have
/// separate shares of memory and descriptors, so that callers cannot use up those of the others.

#include "mustardtray/connection/HttpServer.h"
#include "platform/NodeSettings.h"

namespace mustardtray::node {

HttpServerOptions MakeCallerListenerOptions(const platform::NodeSettings& aSettings);
HttpServerOptions MakePeerListenerOptions(const platform::NodeSettings& aSettings);
HttpServerOptions MakeReadyListenerOptions(const platform::NodeSettings& aSettings);

} // namespace mustardtray::node
