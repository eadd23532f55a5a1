#pragma once

namespace mustardtray::node {

/// Runs the subcommand mustardtray node [--settings FILE]. Returns the process's exit code, which
/// is 2 for a usage error or invalid settings.
int RunNodeCommand(int aCount, char** aArguments);

} // namespace mustardtray::node
