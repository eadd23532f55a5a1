#include "mustardtray/process/ConfigReplica.h"

#include <array>
#include <charconv>
#include <set>

#include <boost/outcome/try.hpp>
#include <fmt/format.h>
#include <xxhash.h>

namespace mustardtray {

namespace {

/// Number of object changes that a node keeps to send deltas to its peers.
constexpr std::size_t kMaxRecordedChanges = 2'000;
constexpr std::string_view kSparePool = "spare_pool";
constexpr std::array<std::string_view, 5> kObjectKinds{
  "vm_labels", "pools", "services", "teams", "maintenance_windows",
};

Error MakeParseError(std::string aMessage)
{
  return Error{ ErrorKind::Invalid, "read configuration", "", std::move(aMessage) };
}

} // namespace

ConfigObjects ObjectsOf(const Json& aDocument)
{
  ConfigObjects objects;
  for (const std::string_view kind : kObjectKinds) {
    const auto members = aDocument.find(kind);
    if (members == aDocument.end()) {
      continue;
    }
    for (const auto& [name, value] : members->items()) {
      objects.emplace(fmt::format("{}/{}", kind, name), value);
    }
  }
  const std::string spare = aDocument.value(kSparePool, std::string());
  if (!spare.empty()) {
    objects.emplace(kSparePool, spare);
  }
  return objects;
}

Json DocumentOf(const ConfigObjects& aObjects)
{
  Json document{ { kSparePool, "" } };
  for (const std::string_view kind : kObjectKinds) {
    document[std::string(kind)] = Json::object();
  }
  for (const auto& [name, value] : aObjects) {
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos) {
      document[name] = value;
    } else {
      document[name.substr(0, slash)][name.substr(slash + 1)] = value;
    }
  }
  return document;
}

std::uint64_t DigestOf(const std::string& aName, const Json& aValue)
{
  const std::string text = aName + '\n' + aValue.dump();
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t DigestOf(const ConfigObjects& aObjects)
{
  std::uint64_t sum = 0;
  for (const auto& [name, value] : aObjects) {
    sum += DigestOf(name, value);
  }
  return sum;
}

Json ToJson(const ConfigHead& aHead)
{
  return Json{ { "version", aHead.m_version },
               { "operation_id", aHead.m_operationId },
               { "digest", fmt::format("{:016x}", aHead.m_digest) } };
}

Result<ConfigHead> ParseConfigHead(const Json& aValue)
{
  FieldErrors errors;
  JsonReader reader(aValue, "", errors);
  ConfigHead head;
  head.m_version = static_cast<std::uint64_t>(reader.RequiredInteger("version", 0, INT64_MAX));
  head.m_operationId = reader.String("operation_id", "");
  const std::string digest = reader.String("digest", "0");
  const char* end = digest.data() + digest.size();
  const auto parsed = std::from_chars(digest.data(), end, head.m_digest, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    reader.Fail("digest", "a hexadecimal number");
  }
  if (!errors.empty()) {
    return MakeParseError(errors.front().Text());
  }
  return head;
}

Json ToJson(const ConfigDelta& aDelta)
{
  return Json{ { "head", ToJson(aDelta.m_head) },
               { "full", aDelta.m_isFull },
               { "objects", Json(aDelta.m_changed) },
               { "deleted", aDelta.m_deleted } };
}

Result<ConfigDelta> ParseConfigDelta(const Json& aValue)
{
  FieldErrors errors;
  JsonReader reader(aValue, "", errors);
  ConfigDelta delta;
  delta.m_isFull = reader.Bool("full", false);
  delta.m_deleted = reader.Strings("deleted");
  const Json* head = reader.Raw("head");
  const Json* objects = reader.Raw("objects");
  if (!errors.empty()) {
    return MakeParseError(errors.front().Text());
  }
  if (!head || !objects || !objects->is_object()) {
    return MakeParseError("the delta has no head or no objects");
  }
  BOOST_OUTCOME_TRY(parsedHead, ParseConfigHead(*head));
  delta.m_head = std::move(parsedHead);
  for (const auto& [name, value] : objects->items()) {
    delta.m_changed.emplace(name, value);
  }
  return delta;
}

Json ConfigReplica::Document() const
{
  Json document = DocumentOf(m_objects);
  document["version"] = m_head.m_version;
  return document;
}

ReplicaUpdate ConfigReplica::Apply(const ConfigDelta& aDelta)
{
  if (aDelta.m_head.m_version <= m_head.m_version) {
    return ReplicaUpdate::Unchanged;
  }
  return aDelta.m_isFull ? Replace(aDelta) : Patch(aDelta);
}

ReplicaUpdate ConfigReplica::Replace(const ConfigDelta& aDelta)
{
  if (DigestOf(aDelta.m_changed) != aDelta.m_head.m_digest) {
    return ReplicaUpdate::Mismatch;
  }
  m_head = aDelta.m_head;
  m_objects = aDelta.m_changed;
  m_changes.clear();
  m_changesCompleteSince = m_head.m_version;
  return ReplicaUpdate::Advanced;
}

ReplicaUpdate ConfigReplica::Patch(const ConfigDelta& aDelta)
{
  std::uint64_t digest = m_head.m_digest;
  const auto subtract = [this, &digest](const std::string& aName) {
    const auto found = m_objects.find(aName);
    if (found != m_objects.end()) {
      digest -= DigestOf(aName, found->second);
    }
  };
  for (const auto& [name, value] : aDelta.m_changed) {
    subtract(name);
    digest += DigestOf(name, value);
  }
  for (const std::string& name : aDelta.m_deleted) {
    subtract(name);
  }
  if (digest != aDelta.m_head.m_digest) {
    return ReplicaUpdate::Mismatch;
  }
  for (const auto& [name, value] : aDelta.m_changed) {
    m_objects[name] = value;
  }
  for (const std::string& name : aDelta.m_deleted) {
    m_objects.erase(name);
  }
  m_head = aDelta.m_head;
  RecordChanges(aDelta);
  return ReplicaUpdate::Advanced;
}

void ConfigReplica::RecordChanges(const ConfigDelta& aDelta)
{
  for (const auto& [name, value] : aDelta.m_changed) {
    m_changes.push_back({ m_head.m_version, name });
  }
  for (const std::string& name : aDelta.m_deleted) {
    m_changes.push_back({ m_head.m_version, name });
  }
  if (m_changes.size() > kMaxRecordedChanges) {
    const auto kept = m_changes.end() - kMaxRecordedChanges / 2;
    m_changesCompleteSince = (kept - 1)->m_version;
    m_changes.erase(m_changes.begin(), kept);
  }
}

ConfigDelta ConfigReplica::DeltaSince(std::uint64_t aVersion) const
{
  if (aVersion < m_changesCompleteSince || aVersion == 0) {
    return { m_head, true, m_objects, {} };
  }
  ConfigDelta delta;
  delta.m_head = m_head;
  std::set<std::string> deleted;
  for (const ObjectChange& change : m_changes) {
    if (change.m_version <= aVersion) {
      continue;
    }
    const auto found = m_objects.find(change.m_name);
    if (found == m_objects.end()) {
      deleted.insert(change.m_name);
    } else {
      delta.m_changed[change.m_name] = found->second;
    }
  }
  delta.m_deleted.assign(deleted.begin(), deleted.end());
  return delta;
}

Result<ConfigDelta> DeltaOfScan(const ScanPage& aPage, bool aFull, const ConfigHead& aKnownHead)
{
  ConfigDelta delta;
  delta.m_isFull = aFull;
  delta.m_head = aKnownHead;
  for (const Row& row : aPage.m_rows) {
    if (row.m_key == kConfigHeadKey) {
      BOOST_OUTCOME_TRY(head, ParseConfigHead(row.m_value));
      delta.m_head = std::move(head);
    } else {
      delta.m_changed.emplace(row.m_key.substr(kConfigPrefix.size()), row.m_value);
    }
  }
  for (const std::string& key : aPage.m_deleted) {
    if (key != kConfigHeadKey) {
      delta.m_deleted.push_back(key.substr(kConfigPrefix.size()));
    }
  }
  return delta;
}

} // namespace mustardtray
