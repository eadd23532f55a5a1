#pragma once

/// The operators' listener with TLS and a bearer token. Both are reloaded when their files change.

#include <filesystem>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/OperatorInterface.h"
#include "mustardtray/process/Settings.h"
#include "mustardtray/process/TimerService.h"

namespace mustardtray {

/// The token that operators send as "Authorization: Bearer TOKEN". Without a token file every
/// request is allowed; CheckOperatorAccess() then restricts the listener to loopback.
class BearerToken
{
public:
  explicit BearerToken(std::string aFile)
    : m_file(std::move(aFile))
  {
  }

  /// Reads the file if it has changed. Errors: NotFound when it cannot be read, Invalid when it has
  /// no token; the previous token then stays valid.
  Result<void> Reload();
  /// Whether the request carries the token. Compares in constant time.
  bool Allows(const HttpRequest& aRequest) const;

private:
  std::string m_file;
  std::string m_token;
  std::filesystem::file_time_type m_fileWriteTime{};
};

/// Errors: Invalid for an address other than loopback without certificate, key and token files.
Result<void> CheckOperatorAccess(const OperatorSettings& aSettings);

class OperatorListener
{
public:
  OperatorListener(asio::io_context& aContext, OperatorSettings aSettings, OperatorHooks aHooks);

  /// Errors: Invalid for unsafe settings or unusable files, Unavailable when the address is taken.
  Result<void> Start(TimerService& aTimers);
  /// Reloads the token and the TLS files if they have changed; runs every 2 s and on SIGHUP.
  void Reload();
  std::uint16_t Port() const { return m_server.Port(); }
  void Stop() { m_server.Stop(); }

private:
  void Handle(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  /// Returns whether a TLS file has changed since the last call.
  bool UpdateTlsWriteTime();

  OperatorSettings m_settings;
  OperatorInterface m_interface;
  BearerToken m_token;
  HttpServer m_server;
  std::filesystem::file_time_type m_tlsWriteTime{};
  TimerHandle m_timer;
};

} // namespace mustardtray
