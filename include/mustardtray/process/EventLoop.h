#pragma once

/// Runs an io_context in such a way that an unexpected error ends one handler and not the process.

#include <asio/io_context.hpp>

namespace mustardtray {

/// Runs until the context has no work or is stopped. An exception out of a handler is logged, and
/// the loop goes on. Returns false after aMaxErrors exceptions: the process should start anew.
bool RunEventLoop(asio::io_context& aContext, int aMaxErrors);

} // namespace mustardtray
