#pragma once

/// The daemon that runs on each node of the users' platform.

#include "platform/NodeSettings.h"

namespace mustardtray::node {

/// Runs the node until SIGTERM or SIGINT. Returns the process's exit code.
int RunNode(const platform::NodeSettings& aSettings);

} // namespace mustardtray::node
