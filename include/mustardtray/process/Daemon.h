#pragma once

/// The daemon of an entry VM. It has a control thread and a traffic thread.

#include <memory>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/Settings.h"

namespace mustardtray {

class Daemon
{
public:
  explicit Daemon(Settings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Serves until SIGTERM or SIGINT, then drains. Errors: Unavailable when an address cannot be
  /// bound, Invalid for unusable TLS files.
  Result<void> Run();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

} // namespace mustardtray
