#pragma once

/// Settings of one daemon, read from a JSON file at start. Everything that operators change while
/// daemons run is part of the configuration instead (version/Configuration.h).

#include <cstdint>
#include <string>
#include <vector>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Log.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// IP address and TCP port of a listener.
struct ListenAddress
{
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;

  std::string Url() const;
};

/// The listener that callers send their requests to.
struct CallerSettings
{
  ListenAddress m_listen;
  std::uint64_t m_maxBodyBytes = 8u << 20;
  std::size_t m_maxHeaderBytes = 16u << 10;
  std::size_t m_maxConnections = 10'000;
  Millis m_readTimeout{ 10'000 };
};

/// The operators' listener. Without TLS files and a token file only a loopback address is valid.
struct OperatorSettings
{
  ListenAddress m_listen;
  std::string m_certificateFile;
  std::string m_keyFile;
  std::string m_tokenFile;
};

struct PlatformSettings
{
  std::string m_url;
  Millis m_timeout{ 2'000 };
};

struct Settings
{
  std::string m_node;   ///< Name of this entry VM; unique in the fleet.
  std::string m_zone;   ///< Availability zone.
  std::string m_region; ///< Region of the zone.
  CallerSettings m_caller;
  ListenAddress m_forward; ///< For requests that other entry VMs forward.
  ListenAddress m_peer;    ///< For heartbeats and configuration between entry VMs.
  OperatorSettings m_operator;
  ListenAddress m_metrics;       ///< For /metrics, /healthz and /readyz.
  std::string m_outboundAddress; ///< Source IP address of outgoing connections; may be empty.
  PlatformSettings m_platform;
  std::vector<std::string> m_seeds; ///< Peer URLs to ask while the platform cannot be reached.
  Millis m_heartbeatPeriod{ 500 };
  Millis m_pollPeriod{ 1'000 };    ///< Period of polling the platform's table.
  Millis m_drainTimeout{ 30'000 }; ///< Time for requests in flight after SIGTERM.
  LogLevel m_logLevel = LogLevel::Info;
};

/// Parses settings and adds every fault to aErrors.
Settings ParseSettings(const Json& aDocument, FieldErrors& aErrors);

/// Reads and parses a settings file. Errors: NotFound, or Invalid with one line for each fault.
Result<Settings> LoadSettings(const std::string& aPath);

/// Reads a file as JSON. Errors: NotFound, or Invalid with the position of the syntax error.
Result<Json> LoadJsonFile(const std::string& aPath);

/// All faults, one per line.
std::string JoinErrors(const FieldErrors& aErrors);

} // namespace mustardtray
