#pragma once

/// A process that a test started, with its output in a file.

#include <string>
#include <vector>

#include "mustardtray/process/Error.h"

namespace mustardtray {

struct LocalProcess
{
  std::string m_name;
  std::vector<std::string> m_command;
  std::string m_logFile;
  int m_pid = 0; ///< 0 when it does not run.
};

/// Errors: Internal when the program cannot be started.
Result<void> StartProcess(LocalProcess& aProcess);
/// Whether it does not run any more; takes note of its end.
bool HasEnded(LocalProcess& aProcess);
/// Ends it at once, also when it is paused.
void KillProcess(LocalProcess& aProcess);

} // namespace mustardtray
