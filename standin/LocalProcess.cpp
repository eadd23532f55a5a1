#include "standin/LocalProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>

#include <boost/outcome/success_failure.hpp>

namespace mustardtray {

Result<void> StartProcess(LocalProcess& aProcess)
{
  std::vector<char*> arguments;
  for (std::string& argument : aProcess.m_command) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDERR_FILENO, aProcess.m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  // A listener inherited by the child would keep queueing connections that nobody accepts.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
    posix_spawn(&aProcess.m_pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    aProcess.m_pid = 0;
    return Error{ ErrorKind::Internal, "start process", aProcess.m_name, std::strerror(error) };
  }
  return boost::outcome_v2::success();
}

bool HasEnded(LocalProcess& aProcess)
{
  if (aProcess.m_pid != 0 && waitpid(aProcess.m_pid, nullptr, WNOHANG) == aProcess.m_pid) {
    aProcess.m_pid = 0;
  }
  return aProcess.m_pid == 0;
}

void KillProcess(LocalProcess& aProcess)
{
  if (!HasEnded(aProcess)) {
    kill(aProcess.m_pid, SIGKILL);
    waitpid(aProcess.m_pid, nullptr, 0);
    aProcess.m_pid = 0;
  }
}

} // namespace mustardtray
