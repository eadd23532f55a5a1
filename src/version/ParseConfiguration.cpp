#include "mustardtray/version/ParseConfiguration.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr Millis kMinDuration{ 1 };
constexpr Millis kMaxDuration{ 3'600'000 };
constexpr int kMaxSlots = 1'024;
constexpr int kMaxConnections = 65'535;
constexpr int kMaxQueued = 100'000;
constexpr int kMaxVms = 100'000;
constexpr double kMaxTeamCores = 10'000'000;
constexpr std::int64_t kMaxTeamMemoryMb = 100'000'000'000;
constexpr int kMaxTeamAccelerators = 1'000'000;
constexpr int kMaxStartMinute = 24 * 60 - 1;
constexpr int kMaxWindowMinutes = 7 * 24 * 60;
constexpr std::string_view kNameRule =
  "a name of 1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit";

bool IsPlatformLabel(std::string_view aKey)
{
  return aKey == kVmLabel || aKey == kZoneLabel || aKey == kRackLabel;
}

void CheckObjectName(std::string_view aName, JsonReader& aReader)
{
  if (!IsValidName(aName)) {
    aReader.Fail("", std::string("under ") + std::string(kNameRule));
  }
}

/// Reads the allowed values of one label key: a string, or a non-empty array of strings.
std::vector<std::string> ParseLabelValues(const std::string& aKey, JsonReader& aReader)
{
  const Json& value = *aReader.Raw(aKey);
  if (value.is_string()) {
    return { value.get<std::string>() };
  }
  const bool areStrings =
    value.is_array() && !value.empty() &&
    std::all_of(value.begin(), value.end(), [](const Json& aItem) { return aItem.is_string(); });
  if (!areStrings) {
    aReader.Fail(aKey, "a string or a non-empty array of strings");
    return {};
  }
  return value.get<std::vector<std::string>>();
}

Selector ParseSelector(JsonReader& aReader)
{
  Selector selector;
  aReader.Object("selector", [&selector](JsonReader& aTerms) {
    for (const auto& [key, value] : aTerms.Value().items()) {
      selector.m_anyOf[key] = ParseLabelValues(key, aTerms);
    }
  });
  return selector;
}

Labels ParseLabels(const std::string& aVm, JsonReader& aReader)
{
  CheckObjectName(aVm, aReader);
  Labels labels;
  for (const auto& [key, value] : aReader.Value().items()) {
    aReader.Raw(key);
    if (IsPlatformLabel(key)) {
      aReader.Fail(key, "any key except vm, zone and rack, which the platform sets");
    } else if (!IsValidName(key)) {
      aReader.Fail(key, std::string("under ") + std::string(kNameRule));
    } else if (!value.is_string()) {
      aReader.Fail(key, "a string");
    } else {
      labels[key] = value.get<std::string>();
    }
  }
  return labels;
}

PoolConfig ParsePool(const std::string& aName, JsonReader& aReader)
{
  CheckObjectName(aName, aReader);
  PoolConfig pool;
  pool.m_name = aName;
  if (!aReader.Has("selector")) {
    aReader.Fail("selector", "an object of label keys and values");
  }
  pool.m_selector = ParseSelector(aReader);
  pool.m_minVms = static_cast<int>(aReader.Integer("min_vms", 0, 0, kMaxVms));
  return pool;
}

std::string ParsePathPrefix(JsonReader& aReader)
{
  std::string prefix = aReader.String("path_prefix", "");
  if (!prefix.empty() && prefix.front() != '/') {
    aReader.Fail("path_prefix", "a path that starts with '/'");
  }
  return prefix;
}

QueueConfig ParseQueue(JsonReader& aReader)
{
  QueueConfig queue;
  queue.m_name = aReader.RequiredString("name");
  if (!queue.m_name.empty() && !IsValidName(queue.m_name)) {
    aReader.Fail("name", std::string(kNameRule));
  }
  queue.m_urgency = aReader.RequiredEnum<Urgency>("urgency");
  queue.m_idempotent = aReader.Bool("idempotent", false);
  queue.m_methods = aReader.Strings("methods");
  queue.m_pathPrefix = ParsePathPrefix(aReader);
  queue.m_deadline = aReader.Duration("deadline_ms", queue.m_deadline, kMinDuration, kMaxDuration);
  queue.m_expectedRun =
    aReader.Duration("expected_run_ms", queue.m_expectedRun, kMinDuration, kMaxDuration);
  queue.m_maxQueued =
    static_cast<int>(aReader.Integer("max_queued", queue.m_maxQueued, 0, kMaxQueued));
  queue.m_floorShare = aReader.Number("floor_share", queue.m_floorShare, 0, 1);
  return queue;
}

AvailabilityBudget ParseBudget(JsonReader& aReader)
{
  AvailabilityBudget budget;
  aReader.RequiredObject("budget", [&budget](JsonReader& aBudget) {
    budget.m_maxUnavailable =
      static_cast<int>(aBudget.RequiredInteger("max_unavailable", 1, kMaxVms));
    budget.m_failureReserve = static_cast<int>(aBudget.Integer("failure_reserve", 0, 0, kMaxVms));
  });
  return budget;
}

ServiceConfig ParseService(const std::string& aName, JsonReader& aReader)
{
  CheckObjectName(aName, aReader);
  ServiceConfig service;
  service.m_name = aName;
  service.m_pool = aReader.RequiredString("pool");
  service.m_selector = ParseSelector(aReader);
  if (!aReader.Has("path_prefix")) {
    aReader.RequiredString("path_prefix");
  }
  service.m_pathPrefix = ParsePathPrefix(aReader);
  service.m_port = static_cast<std::uint16_t>(aReader.RequiredInteger("port", 1, UINT16_MAX));
  service.m_slots = static_cast<int>(aReader.Integer("slots", service.m_slots, 1, kMaxSlots));
  service.m_connections =
    static_cast<int>(aReader.Integer("connections", service.m_connections, 1, kMaxConnections));
  service.m_maxRun = aReader.Duration("max_run_ms", service.m_maxRun, kMinDuration, kMaxDuration);
  service.m_budget = ParseBudget(aReader);
  if (!aReader.Has("queues")) {
    aReader.Fail("queues", "an array of queues");
  }
  aReader.Each("queues",
               [&service](JsonReader& aQueue) { service.m_queues.push_back(ParseQueue(aQueue)); });
  return service;
}

TeamConfig ParseTeam(const std::string& aName, JsonReader& aReader)
{
  CheckObjectName(aName, aReader);
  TeamConfig team;
  team.m_name = aName;
  team.m_cores = aReader.Number("cores", 0, 0, kMaxTeamCores);
  team.m_memoryMb = aReader.Integer("memory_mb", 0, 0, kMaxTeamMemoryMb);
  team.m_accelerators =
    static_cast<int>(aReader.Integer("accelerators", 0, 0, kMaxTeamAccelerators));
  return team;
}

MaintenanceWindow ParseWindow(const std::string& aName, JsonReader& aReader)
{
  CheckObjectName(aName, aReader);
  MaintenanceWindow window;
  window.m_name = aName;
  window.m_selector = ParseSelector(aReader);
  for (const std::string& day : aReader.Strings("weekdays")) {
    if (const auto weekday = FromName<Weekday>(day)) {
      window.m_weekdays.push_back(static_cast<int>(*weekday));
    } else {
      aReader.Fail("weekdays", "an array of " + AllNames<Weekday>());
    }
  }
  if (window.m_weekdays.empty()) {
    aReader.Fail("weekdays", "at least one of " + AllNames<Weekday>());
  }
  window.m_startMinute =
    static_cast<int>(aReader.RequiredInteger("start_minute", 0, kMaxStartMinute));
  window.m_lengthMinutes =
    static_cast<int>(aReader.RequiredInteger("length_minutes", 1, kMaxWindowMinutes));
  return window;
}

} // namespace

bool IsValidName(std::string_view aText)
{
  const auto isLetterOrDigit = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
           (aChar >= '0' && aChar <= '9');
  };
  if (aText.empty() || aText.size() > kMaxNameLength || !isLetterOrDigit(aText.front())) {
    return false;
  }
  return std::all_of(aText.begin(), aText.end(), [&](char aChar) {
    return isLetterOrDigit(aChar) || aChar == '.' || aChar == '_' || aChar == '-';
  });
}

ParsedConfiguration ParseConfigurationDocument(const Json& aDocument)
{
  ParsedConfiguration parsed;
  Configuration& config = parsed.m_configuration;
  JsonReader reader(aDocument, "", parsed.m_errors);
  config.m_version = static_cast<std::uint64_t>(reader.Integer("version", 0, 0, INT64_MAX));
  reader.EachMember("vm_labels", [&config](const std::string& aVm, JsonReader& aLabels) {
    Labels labels = ParseLabels(aVm, aLabels);
    if (!labels.empty()) {
      config.m_vmLabels[aVm] = std::move(labels);
    }
  });
  reader.EachMember("pools", [&config](const std::string& aName, JsonReader& aPool) {
    config.m_pools[aName] = ParsePool(aName, aPool);
  });
  config.m_sparePool = reader.String("spare_pool", "");
  reader.EachMember("services", [&config](const std::string& aName, JsonReader& aService) {
    config.m_services[aName] = ParseService(aName, aService);
  });
  reader.EachMember("teams", [&config](const std::string& aName, JsonReader& aTeam) {
    config.m_teams[aName] = ParseTeam(aName, aTeam);
  });
  reader.EachMember("maintenance_windows",
                    [&config](const std::string& aName, JsonReader& aWindow) {
                      config.m_windows[aName] = ParseWindow(aName, aWindow);
                    });
  reader.Finish();
  return parsed;
}

ParsedConfiguration ParseConfiguration(std::string_view aText)
{
  ParsedConfiguration parsed;
  const Json document = ParseJsonText(aText, parsed.m_errors);
  return parsed.m_errors.empty() ? ParseConfigurationDocument(document) : parsed;
}

} // namespace mustardtray
