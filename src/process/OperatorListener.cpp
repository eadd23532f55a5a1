#include "mustardtray/process/OperatorListener.h"

#include <algorithm>
#include <fstream>

#include <boost/outcome/try.hpp>
#include <openssl/crypto.h>

#include "mustardtray/process/Log.h"

namespace mustardtray {

namespace {

constexpr Millis kReloadPeriod{ 2'000 };
constexpr int kUnauthorized = 401;
constexpr std::string_view kBearer = "Bearer ";

Error MakeAccessError(ErrorKind aKind, std::string aMessage)
{
  return { aKind, "open the operators' listener", "", std::move(aMessage) };
}

bool IsLoopback(const std::string& aAddress)
{
  return aAddress.starts_with("127.") || aAddress == "::1";
}

std::filesystem::file_time_type LastWriteTime(const std::string& aFile)
{
  std::error_code error;
  const auto time = std::filesystem::last_write_time(aFile, error);
  return error ? std::filesystem::file_time_type{} : time;
}

HttpServerOptions MakeOptions(const OperatorSettings& aSettings)
{
  HttpServerOptions options;
  options.m_address = aSettings.m_listen.m_address;
  options.m_port = aSettings.m_listen.m_port;
  options.m_tls = { aSettings.m_certificateFile, aSettings.m_keyFile };
  return options;
}

} // namespace

Result<void> BearerToken::Reload()
{
  if (m_file.empty()) {
    return boost::outcome_v2::success();
  }
  const auto writeTime = LastWriteTime(m_file);
  if (!m_token.empty() && writeTime == m_fileWriteTime) {
    return boost::outcome_v2::success();
  }
  std::ifstream file(m_file);
  std::string token;
  if (!file) {
    return MakeAccessError(ErrorKind::NotFound, "cannot read the token file " + m_file);
  }
  if (!(file >> token)) {
    return MakeAccessError(ErrorKind::Invalid, "no token in " + m_file);
  }
  m_token = std::move(token);
  m_fileWriteTime = writeTime;
  return boost::outcome_v2::success();
}

bool BearerToken::Allows(const HttpRequest& aRequest) const
{
  if (m_file.empty()) {
    return true;
  }
  const std::string* header = aRequest.Header("Authorization");
  if (!header || m_token.empty() || !header->starts_with(kBearer)) {
    return false;
  }
  const std::string_view given = std::string_view(*header).substr(kBearer.size());
  return given.size() == m_token.size() &&
         CRYPTO_memcmp(given.data(), m_token.data(), given.size()) == 0;
}

Result<void> CheckOperatorAccess(const OperatorSettings& aSettings)
{
  const bool isSecured = !aSettings.m_certificateFile.empty() && !aSettings.m_keyFile.empty() &&
                         !aSettings.m_tokenFile.empty();
  if (isSecured || IsLoopback(aSettings.m_listen.m_address)) {
    return boost::outcome_v2::success();
  }
  return MakeAccessError(
    ErrorKind::Invalid,
    "an address other than loopback needs certificate_file, key_file and token_file");
}

OperatorListener::OperatorListener(asio::io_context& aContext,
                                   OperatorSettings aSettings,
                                   OperatorHooks aHooks)
  : m_settings(std::move(aSettings))
  , m_interface(std::move(aHooks))
  , m_token(m_settings.m_tokenFile)
  , m_server(aContext,
             MakeOptions(m_settings),
             [this](const HttpRequest& aRequest, const HttpResponder& aResponder) {
               Handle(aRequest, aResponder);
             })
{
}

Result<void> OperatorListener::Start(TimerService& aTimers)
{
  BOOST_OUTCOME_TRYV(CheckOperatorAccess(m_settings));
  BOOST_OUTCOME_TRYV(m_token.Reload());
  UpdateTlsWriteTime();
  BOOST_OUTCOME_TRYV(m_server.Start());
  m_timer = aTimers.Every(kReloadPeriod, 0, [this] { Reload(); });
  return boost::outcome_v2::success();
}

bool OperatorListener::UpdateTlsWriteTime()
{
  if (m_settings.m_certificateFile.empty()) {
    return false;
  }
  const auto writeTime =
    std::max(LastWriteTime(m_settings.m_certificateFile), LastWriteTime(m_settings.m_keyFile));
  const bool hasChanged = writeTime != m_tlsWriteTime;
  m_tlsWriteTime = writeTime;
  return hasChanged;
}

void OperatorListener::Reload()
{
  const auto report = [](std::string_view aWhat, const Result<void>& aResult) {
    if (aResult.has_error()) {
      Log(LogCategory::Process,
          LogLevel::Error,
          "reload-failed",
          "what",
          aWhat,
          "error",
          aResult.error().Text());
    }
  };
  report("token", m_token.Reload());
  if (UpdateTlsWriteTime()) {
    report("tls", m_server.ReloadTls());
  }
}

void OperatorListener::Handle(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  if (!m_token.Allows(aRequest)) {
    Log(LogCategory::Process,
        LogLevel::Warning,
        "operator-unauthorized",
        "peer",
        aRequest.m_peer,
        "path",
        aRequest.m_path);
    HttpResponse response = JsonResponse(
      kUnauthorized, R"({"kind":"refused","message":"a valid bearer token is needed"})");
    response.m_headers.push_back({ "WWW-Authenticate", "Bearer" });
    aResponder.Send(std::move(response));
    return;
  }
  m_interface.Handle(aRequest, aResponder);
}

} // namespace mustardtray
