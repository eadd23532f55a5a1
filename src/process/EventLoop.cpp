#include "mustardtray/process/EventLoop.h"

#include <exception>

#include "mustardtray/process/Log.h"

namespace mustardtray {

bool RunEventLoop(asio::io_context& aContext, int aMaxErrors)
{
  for (int errors = 0; errors < aMaxErrors; ++errors) {
    try {
      aContext.run();
      return true;
    } catch (const std::exception& fault) {
      Log(LogCategory::Process, LogLevel::Error, "unexpected-error", "error", fault.what());
    }
  }
  return false;
}

} // namespace mustardtray
