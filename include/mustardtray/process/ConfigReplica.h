#pragma once

/// One node's copy of the configuration as the objects that the table holds: one object per VM,
/// pool, service, team and maintenance window. An update is applied only if it leads to a higher
/// version and if the resulting objects have the digest of that version.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Platform.h"

namespace mustardtray {

/// Keys of the configuration's rows: the head row and one row per object.
inline constexpr std::string_view kConfigPrefix = "config/";
inline constexpr std::string_view kConfigHeadKey = "config/head";

/// Objects by name: "pools/NAME" and so on, and "spare_pool".
using ConfigObjects = std::map<std::string, Json>;

/// Splits a document (ParseConfiguration.h) into objects, or joins them into a document.
ConfigObjects ObjectsOf(const Json& aDocument);
Json DocumentOf(const ConfigObjects& aObjects);

/// Sum of the objects' hashes, independent of their order. It detects incomplete data, not forgery.
std::uint64_t DigestOf(const ConfigObjects& aObjects);
std::uint64_t DigestOf(const std::string& aName, const Json& aValue);

/// Content of the head row.
struct ConfigHead
{
  std::uint64_t m_version = 0; ///< 0 before the first accepted change.
  std::string m_operationId;   ///< Operation that made this version.
  std::uint64_t m_digest = 0;  ///< Digest of all objects.
};

Json ToJson(const ConfigHead& aHead);
Result<ConfigHead> ParseConfigHead(const Json& aValue);

/// Changes from one version to a higher one.
struct ConfigDelta
{
  ConfigHead m_head;
  bool m_isFull = false; ///< Contains every object; any other object is deleted.
  ConfigObjects m_changed;
  std::vector<std::string> m_deleted;
};

Json ToJson(const ConfigDelta& aDelta);
Result<ConfigDelta> ParseConfigDelta(const Json& aValue);

enum class ReplicaUpdate
{
  Advanced,  ///< The replica is at a higher version.
  Unchanged, ///< The delta is not newer than the replica.
  Mismatch,  ///< The digest does not match; a full delta is needed.
};

class ConfigReplica
{
public:
  const ConfigHead& Head() const { return m_head; }
  std::uint64_t Version() const { return m_head.m_version; }
  const ConfigObjects& Objects() const { return m_objects; }
  /// The whole configuration as a document, including its version.
  Json Document() const;

  ReplicaUpdate Apply(const ConfigDelta& aDelta);
  /// The changes that a node at aVersion lacks; a full delta when they are no longer recorded.
  ConfigDelta DeltaSince(std::uint64_t aVersion) const;

private:
  struct ObjectChange
  {
    std::uint64_t m_version = 0;
    std::string m_name;
  };

  ReplicaUpdate Replace(const ConfigDelta& aDelta);
  ReplicaUpdate Patch(const ConfigDelta& aDelta);
  void RecordChanges(const ConfigDelta& aDelta);

  ConfigHead m_head;
  ConfigObjects m_objects;
  std::vector<ObjectChange> m_changes;      ///< Latest changes, oldest first.
  std::uint64_t m_changesCompleteSince = 0; ///< Version after which m_changes is complete.
};

/// Converts a scan of kConfigPrefix to a delta. aFull tells that the scan started at revision 0.
/// aKnownHead is used when the head row is not part of the scan. Errors: Invalid when the head row
/// cannot be parsed.
Result<ConfigDelta> DeltaOfScan(const ScanPage& aPage, bool aFull, const ConfigHead& aKnownHead);

} // namespace mustardtray
