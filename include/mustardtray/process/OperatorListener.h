#pragma once

/// The operators' listener: TLS and a bearer token, both read again when their files change.

#include <filesystem>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/OperatorInterface.h"
#include "mustardtray/process/Settings.h"
#include "mustardtray/process/TimerService.h"

namespace mustardtray {

/// The token that operators send as "Authorization: Bearer TOKEN". Without a file every request
/// passes; then the listener is on loopback (CheckOperatorAccess).
class BearerToken
{
public:
  explicit BearerToken(std::string aFile)
    : m_file(std::move(aFile))
  {
  }

  /// Reads the file, when it has changed since. Errors: NotFound, and Invalid for an empty token;
  /// the earlier token then stays.
  Result<void> Reload();
  /// Compares in constant time.
  bool Allows(const HttpRequest& aRequest) const;

private:
  std::string m_file;
  std::string m_token;
  std::filesystem::file_time_type m_readAt{};
};

/// Errors: Invalid for an address beyond loopback without certificate, key and token.
Result<void> CheckOperatorAccess(const OperatorSettings& aSettings);

class OperatorListener
{
public:
  OperatorListener(asio::io_context& aContext, OperatorSettings aSettings, OperatorHooks aHooks);

  /// Errors: Invalid for unsafe settings or unusable files, Unavailable when the address is taken.
  Result<void> Start(TimerService& aTimers);
  /// Reads token and TLS files again; called every few seconds, and for SIGHUP.
  void Reload();
  std::uint16_t Port() const { return m_server.Port(); }
  void Stop() { m_server.Stop(); }

private:
  void Handle(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  bool HasTlsChanged();

  OperatorSettings m_settings;
  OperatorInterface m_interface;
  BearerToken m_token;
  HttpServer m_server;
  std::filesystem::file_time_type m_tlsReadAt{};
  TimerHandle m_timer;
};

} // namespace mustardtray
