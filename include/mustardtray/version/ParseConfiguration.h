#pragma once

/// Converts a Configuration from and to its JSON format (docs/CONFIG.md).

#include <string>
#include <string_view>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// Maximum length of a JSON text.
inline constexpr std::size_t kMaxConfigurationBytes = 16u << 20;
/// Maximum nesting depth of arrays and objects.
inline constexpr int kMaxConfigurationDepth = 16;
/// Maximum length, in characters, of the name of a VM, pool, service, queue, team, window or label
/// key.
inline constexpr std::size_t kMaxNameLength = 63;

/// A configuration and all faults that were found. The configuration is only valid when there are
/// none.
struct ParsedConfiguration
{
  Configuration m_configuration;
  FieldErrors m_errors;
};

/// Parses one document. Syntax errors, duplicate keys and excessive nesting are reported without
/// field faults; otherwise all field faults are reported together.
ParsedConfiguration ParseConfiguration(std::string_view aText);
/// Reads the configuration from a document that is already parsed to JSON.
ParsedConfiguration ParseConfigurationDocument(const Json& aDocument);

/// Parses untrusted JSON text, with limits on length and depth and without duplicate keys. On any
/// fault, which is appended to aErrors, the returned value is of the type "discarded".
Json ParseJsonText(std::string_view aText, FieldErrors& aErrors);

/// The inverse of ParseConfiguration. The document contains every field, including those with
/// default values.
Json ToJson(const Configuration& aConfiguration);
Json ToJson(const Selector& aSelector);
Json ToJson(const ServiceConfig& aService);
Json ToJson(const PoolConfig& aPool);
Json ToJson(const TeamConfig& aTeam);
Json ToJson(const MaintenanceWindow& aWindow);

/// True for 1 to kMaxNameLength letters, digits, '.', '_' and '-' that start with a letter or
/// digit.
bool IsValidName(std::string_view aText);

} // namespace mustardtray
