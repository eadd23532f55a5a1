#pragma once

/// One node's copy of the configuration, as the objects that the table holds: one object per VM,
/// pool, service, team and window. It only ever moves to a higher version, and only when what it
/// got adds up to the digest that belongs to that version.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Platform.h"

namespace mustardtray {

/// Rows of the configuration: the head, and one row per object.
inline constexpr std::string_view kConfigPrefix = "config/";
inline constexpr std::string_view kConfigHeadKey = "config/head";

/// Objects by name: "pools/NAME" and so on, and "spare_pool".
using ConfigObjects = std::map<std::string, Json>;

/// Splits a document (ParseConfiguration.h) into objects, and back.
ConfigObjects ObjectsOf(const Json& aDocument);
Json DocumentOf(const ConfigObjects& aObjects);

/// Sum over all objects, whatever their order; of no use against forgery.
std::uint64_t DigestOf(const ConfigObjects& aObjects);
std::uint64_t DigestOf(const std::string& aName, const Json& aValue);

/// The head row.
struct ConfigHead
{
  std::uint64_t m_version = 0; ///< 0 before anything was accepted.
  std::string m_operationId;   ///< Of the change that made this version.
  std::uint64_t m_digest = 0;  ///< Of all objects.
};

Json ToJson(const ConfigHead& aHead);
Result<ConfigHead> ParseConfigHead(const Json& aValue);

/// What leads from one version to a higher one.
struct ConfigDelta
{
  ConfigHead m_head;
  bool m_full = false; ///< Holds every object; those that are not in it do not exist.
  ConfigObjects m_changed;
  std::vector<std::string> m_deleted;
};

Json ToJson(const ConfigDelta& aDelta);
Result<ConfigDelta> ParseConfigDelta(const Json& aValue);

enum class ReplicaUpdate
{
  Advanced,  ///< At a higher version now.
  Unchanged, ///< Nothing newer in it.
  Mismatch,  ///< Does not add up; ask for everything.
};

class ConfigReplica
{
public:
  const ConfigHead& Head() const { return m_head; }
  std::uint64_t Version() const { return m_head.m_version; }
  const ConfigObjects& Objects() const { return m_objects; }
  /// The whole configuration as a document, with its version.
  Json Document() const;

  ReplicaUpdate Apply(const ConfigDelta& aDelta);
  /// What a node at aVersion needs; everything when the changes since are not known any more.
  ConfigDelta DeltaSince(std::uint64_t aVersion) const;

private:
  struct ObjectChange
  {
    std::uint64_t m_version = 0;
    std::string m_name;
  };

  ReplicaUpdate Replace(const ConfigDelta& aDelta);
  ReplicaUpdate Patch(const ConfigDelta& aDelta);
  void Remember(const ConfigDelta& aDelta);

  ConfigHead m_head;
  ConfigObjects m_objects;
  std::vector<ObjectChange> m_changes; ///< Latest changes, oldest first.
  std::uint64_t m_knownSince = 0;      ///< Version after which m_changes is complete.
};

/// The delta that a scan of kConfigPrefix holds; aFull when it was one from revision 0. Errors:
/// Invalid when the rows are not those of a configuration.
Result<ConfigDelta> DeltaOfScan(const ScanPage& aPage, bool aFull, const ConfigHead& aKnownHead);

} // namespace mustardtray
