#include "mustardtray/process/Settings.h"

#include <fstream>
#include <sstream>

#include <asio/ip/address.hpp>
#include <boost/outcome/try.hpp>
#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr Millis kMinPeriod{ 10 };
constexpr Millis kMaxPeriod{ 60'000 };
constexpr Millis kMaxTimeout{ 600'000 };
constexpr std::int64_t kMaxBodyBytes = 1u << 30;
constexpr std::int64_t kMaxHeaderBytes = 64u << 10;

bool IsIpAddress(const std::string& aAddress)
{
  asio::error_code error;
  asio::ip::make_address(aAddress, error);
  return !error;
}

bool IsLoopback(const std::string& aAddress)
{
  asio::error_code error;
  const asio::ip::address address = asio::ip::make_address(aAddress, error);
  return !error && address.is_loopback();
}

ListenAddress ReadListenAddress(JsonReader& aReader)
{
  ListenAddress listen;
  listen.m_address = aReader.String("address", listen.m_address);
  if (!IsIpAddress(listen.m_address)) {
    aReader.Fail("address", "an IP address");
  }
  listen.m_port = static_cast<std::uint16_t>(aReader.RequiredInteger("port", 0, 65535));
  return listen;
}

CallerSettings ReadCaller(JsonReader& aReader)
{
  CallerSettings caller;
  caller.m_listen = ReadListenAddress(aReader);
  caller.m_maxBodyBytes = static_cast<std::uint64_t>(aReader.Integer(
    "max_body_bytes", static_cast<std::int64_t>(caller.m_maxBodyBytes), 0, kMaxBodyBytes));
  caller.m_maxHeaderBytes = static_cast<std::size_t>(aReader.Integer(
    "max_header_bytes", static_cast<std::int64_t>(caller.m_maxHeaderBytes), 256, kMaxHeaderBytes));
  caller.m_maxConnections = static_cast<std::size_t>(aReader.Integer(
    "max_connections", static_cast<std::int64_t>(caller.m_maxConnections), 1, 1'000'000));
  caller.m_readTimeout =
    aReader.Duration("read_timeout_ms", caller.m_readTimeout, kMinPeriod, kMaxTimeout);
  return caller;
}

OperatorSettings ReadOperator(JsonReader& aReader)
{
  OperatorSettings settings;
  settings.m_listen = ReadListenAddress(aReader);
  settings.m_certificateFile = aReader.String("certificate_file", "");
  settings.m_keyFile = aReader.String("key_file", "");
  settings.m_tokenFile = aReader.String("token_file", "");
  if (settings.m_certificateFile.empty() != settings.m_keyFile.empty()) {
    aReader.Fail("certificate_file", "certificate_file and key_file together");
  }
  const bool isProtected = !settings.m_certificateFile.empty() && !settings.m_tokenFile.empty();
  if (!isProtected && !IsLoopback(settings.m_listen.m_address)) {
    aReader.Fail("address", "a loopback address unless TLS files and token_file are set");
  }
  return settings;
}

void ReadPlatform(JsonReader& aReader, PlatformSettings& aPlatform)
{
  aPlatform.m_url = aReader.RequiredString("url");
  if (!aPlatform.m_url.starts_with("http://") && !aPlatform.m_url.starts_with("https://")) {
    aReader.Fail("url", "a URL that starts with http:// or https://");
  }
  aPlatform.m_timeout =
    aReader.Duration("timeout_ms", aPlatform.m_timeout, kMinPeriod, kMaxTimeout);
}

void ReadListeners(JsonReader& aReader, Settings& aSettings)
{
  aReader.RequiredObject("caller",
                         [&](JsonReader& aSection) { aSettings.m_caller = ReadCaller(aSection); });
  aReader.RequiredObject(
    "forward", [&](JsonReader& aSection) { aSettings.m_forward = ReadListenAddress(aSection); });
  aReader.RequiredObject(
    "peer", [&](JsonReader& aSection) { aSettings.m_peer = ReadListenAddress(aSection); });
  aReader.RequiredObject(
    "operator", [&](JsonReader& aSection) { aSettings.m_operator = ReadOperator(aSection); });
  aReader.RequiredObject(
    "metrics", [&](JsonReader& aSection) { aSettings.m_metrics = ReadListenAddress(aSection); });
}

} // namespace

std::string ListenAddress::Url() const
{
  if (m_address.find(':') != std::string::npos) {
    return fmt::format("http://[{}]:{}", m_address, m_port);
  }
  return fmt::format("http://{}:{}", m_address, m_port);
}

Settings ParseSettings(const Json& aDocument, FieldErrors& aErrors)
{
  Settings settings;
  JsonReader reader(aDocument, "", aErrors);
  settings.m_node = reader.RequiredString("node");
  settings.m_zone = reader.RequiredString("zone");
  settings.m_region = reader.String("region", "default");
  ReadListeners(reader, settings);
  settings.m_outboundAddress = reader.String("outbound_address", "");
  if (!settings.m_outboundAddress.empty() && !IsIpAddress(settings.m_outboundAddress)) {
    reader.Fail("outbound_address", "an IP address");
  }
  reader.RequiredObject("platform",
                        [&](JsonReader& aSection) { ReadPlatform(aSection, settings.m_platform); });
  settings.m_seeds = reader.Strings("seeds");
  settings.m_heartbeatPeriod =
    reader.Duration("heartbeat_ms", settings.m_heartbeatPeriod, kMinPeriod, kMaxPeriod);
  settings.m_pollPeriod = reader.Duration("poll_ms", settings.m_pollPeriod, kMinPeriod, kMaxPeriod);
  settings.m_drainTimeout =
    reader.Duration("drain_timeout_ms", settings.m_drainTimeout, Millis(0), kMaxTimeout);
  settings.m_logLevel = reader.Enum("log_level", settings.m_logLevel);
  reader.Finish();
  return settings;
}

std::string JoinErrors(const FieldErrors& aErrors)
{
  std::string text;
  for (const FieldError& error : aErrors) {
    text += text.empty() ? "" : "\n";
    text += error.Text();
  }
  return text;
}

Result<Json> LoadJsonFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Error{ ErrorKind::NotFound, "read file", aPath, "cannot be opened" };
  }
  std::stringstream text;
  text << file.rdbuf();
  try {
    return Json::parse(text.str());
  } catch (const Json::parse_error& fault) {
    return Error{ ErrorKind::Invalid, "parse JSON", aPath, fault.what() };
  }
}

Result<Settings> LoadSettings(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(document, LoadJsonFile(aPath));
  FieldErrors errors;
  Settings settings = ParseSettings(document, errors);
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "check settings", aPath, JoinErrors(errors) };
  }
  return settings;
}

} // namespace mustardtray
