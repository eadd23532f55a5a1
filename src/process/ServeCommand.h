#pragma once

namespace mustardtray {

/// Implements `mustardtray serve`, which runs the daemon of an entry VM. Returns the exit code.
int RunServe(int aCount, char** aArguments);

} // namespace mustardtray
