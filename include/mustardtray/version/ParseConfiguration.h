#pragma once

/// The configuration's JSON format (docs/CONFIG.md): text to Configuration and back.

#include <string>
#include <string_view>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// Longest text that is read, in bytes.
inline constexpr std::size_t kMaxConfigurationBytes = 16u << 20;
/// Deepest nesting of arrays and objects that is read.
inline constexpr int kMaxConfigurationDepth = 16;
/// Longest name of a VM, pool, service, queue, team, window or label key.
inline constexpr std::size_t kMaxNameLength = 63;

/// A configuration, and every fault that was found. Use the configuration only without faults.
struct ParsedConfiguration
{
  Configuration m_configuration;
  FieldErrors m_errors;
};

/// Reads one document. Faults of syntax, repeated keys and too deep nesting are reported alone,
/// faults of fields all at once.
ParsedConfiguration ParseConfiguration(std::string_view aText);
/// Reads a document that is already parsed.
ParsedConfiguration ParseConfigurationDocument(const Json& aDocument);

/// Parses JSON text that comes from outside: bounded in length and depth, keys not repeated. The
/// value is discarded when aErrors got a fault.
Json ParseJsonText(std::string_view aText, FieldErrors& aErrors);

/// The inverse of ParseConfiguration: every field stands in the document.
Json ToJson(const Configuration& aConfiguration);
Json ToJson(const Selector& aSelector);
Json ToJson(const ServiceConfig& aService);
Json ToJson(const PoolConfig& aPool);
Json ToJson(const TeamConfig& aTeam);
Json ToJson(const MaintenanceWindow& aWindow);

/// True for 1 to kMaxNameLength letters, digits, '.', '_' and '-', the first a letter or digit.
bool IsName(std::string_view aText);

} // namespace mustardtray
