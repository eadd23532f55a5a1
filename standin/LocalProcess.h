#pragma once

/// Child processes of tests and benchmarks, with their output in a log file.

#include <string>
#include <vector>

#include "mustardtray/process/Error.h"

namespace mustardtray {

struct LocalProcess
{
  std::string m_name;
  std::vector<std::string> m_command;
  std::string m_logFile;
  int m_pid = 0; ///< 0 when the process is not running.
};

/// Errors: Internal when the program cannot be started.
Result<void> StartProcess(LocalProcess& aProcess);
/// Returns whether the process has exited, and reaps it.
bool HasEnded(LocalProcess& aProcess);
/// Kills the process with SIGKILL, which also works while it is stopped, and reaps it.
void KillProcess(LocalProcess& aProcess);

} // namespace mustardtray
