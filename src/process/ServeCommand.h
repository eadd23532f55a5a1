#pragma once

namespace mustardtray {

/// `mustardtray serve`: runs the daemon of an entry VM. Returns the exit code.
int RunServe(int aCount, char** aArguments);

} // namespace mustardtray
