#include "mustardtray/process/fleet/FleetRows.h"

namespace mustardtray {

namespace {

std::uint64_t ReadCount(JsonReader& aReader, std::string_view aKey)
{
  return static_cast<std::uint64_t>(aReader.Integer(aKey, 0, 0, INT64_MAX));
}

std::map<std::string, std::string> ReadStringMap(JsonReader& aReader, std::string_view aKey)
{
  std::map<std::string, std::string> values;
  const Json* found = aReader.Raw(aKey);
  if (!found) {
    return values;
  }
  if (!found->is_object()) {
    aReader.Fail(aKey, "an object of strings");
    return values;
  }
  for (const auto& [key, value] : found->items()) {
    if (value.is_string()) {
      values.emplace(key, value.get<std::string>());
    } else {
      aReader.Fail(aKey, "an object of strings");
    }
  }
  return values;
}

std::vector<std::string> StringsOf(const Json& aValue)
{
  std::vector<std::string> values;
  for (const auto& item : aValue) {
    if (item.is_string()) {
      values.push_back(item.get<std::string>());
    }
  }
  return values;
}

Selector ReadSelector(JsonReader& aReader, std::string_view aKey)
{
  Selector selector;
  const Json* found = aReader.Raw(aKey);
  if (!found) {
    return selector;
  }
  if (!found->is_object()) {
    aReader.Fail(aKey, "an object of string arrays");
    return selector;
  }
  for (const auto& [key, value] : found->items()) {
    selector.m_anyOf.emplace(key, StringsOf(value));
  }
  return selector;
}

template<typename T>
Result<T> RecordOrError(T aRecord, const FieldErrors& aErrors, const char* aStep)
{
  if (!aErrors.empty()) {
    return Error{ ErrorKind::Invalid, aStep, "", aErrors.front().Text() };
  }
  return aRecord;
}

} // namespace

int LedgerRecord::CountUnavailable() const
{
  int count = static_cast<int>(m_down.size());
  for (const auto& [vm, operation] : m_planned) {
    count += m_down.contains(vm) ? 0 : 1;
  }
  return count;
}

Json ToJson(const LedgerRecord& aRecord)
{
  return Json{ { "planned", aRecord.m_planned },
               { "down", aRecord.m_down },
               { "config_version", aRecord.m_configVersion } };
}

Json ToJson(const PoolRecord& aRecord)
{
  return Json{ { "leaving", aRecord.m_leaving }, { "joining", aRecord.m_joining } };
}

Json ToJson(const WaveRecord& aRecord)
{
  return Json{ { "operation_id", aRecord.m_operationId },
               { "number", aRecord.m_number },
               { "selector", aRecord.m_selector.m_anyOf },
               { "state", ToName(aRecord.m_state) },
               { "accepted_failures", aRecord.m_acceptedFailures } };
}

Json ToJson(const LeaseRecord& aRecord)
{
  return Json{ { "holder", aRecord.m_holder }, { "renewals", aRecord.m_renewals } };
}

Json ToJson(const EntryReport& aReport)
{
  Json targets = Json::object();
  for (const auto& [vm, report] : aReport.m_targets) {
    targets[vm] = Json{ { "generation", report.m_generation },
                        { "in_flight", report.m_inFlight },
                        { "health", ToName(report.m_health) } };
  }
  return Json{ { "entry_vm", aReport.m_entryVm },
               { "address", aReport.m_address },
               { "zone", aReport.m_zone },
               { "incarnation", aReport.m_incarnation },
               { "targets", std::move(targets) } };
}

Result<LedgerRecord> ParseLedgerRecord(const Json& aValue)
{
  FieldErrors errors;
  LedgerRecord record;
  JsonReader reader(aValue, "", errors);
  record.m_planned = ReadStringMap(reader, "planned");
  const auto down = reader.Strings("down");
  record.m_down.insert(down.begin(), down.end());
  record.m_configVersion = ReadCount(reader, "config_version");
  return RecordOrError(std::move(record), errors, "parse budget ledger");
}

Result<PoolRecord> ParsePoolRecord(const Json& aValue)
{
  FieldErrors errors;
  PoolRecord record;
  JsonReader reader(aValue, "", errors);
  record.m_leaving = ReadStringMap(reader, "leaving");
  record.m_joining = ReadStringMap(reader, "joining");
  return RecordOrError(std::move(record), errors, "parse pool record");
}

Result<WaveRecord> ParseWaveRecord(const Json& aValue)
{
  FieldErrors errors;
  WaveRecord record;
  JsonReader reader(aValue, "", errors);
  record.m_operationId = reader.RequiredString("operation_id");
  record.m_number = ReadCount(reader, "number");
  record.m_selector = ReadSelector(reader, "selector");
  record.m_state = reader.RequiredEnum<WaveState>("state");
  record.m_acceptedFailures =
    static_cast<int>(reader.Integer("accepted_failures", 0, 0, INT32_MAX));
  return RecordOrError(std::move(record), errors, "parse wave record");
}

Result<LeaseRecord> ParseLeaseRecord(const Json& aValue)
{
  FieldErrors errors;
  LeaseRecord record;
  JsonReader reader(aValue, "", errors);
  record.m_holder = reader.RequiredString("holder");
  record.m_renewals = ReadCount(reader, "renewals");
  return RecordOrError(std::move(record), errors, "parse lease");
}

Result<EntryReport> ParseEntryReport(const Json& aValue)
{
  FieldErrors errors;
  EntryReport report;
  JsonReader reader(aValue, "", errors);
  report.m_entryVm = reader.RequiredString("entry_vm");
  report.m_address = reader.String("address", "");
  report.m_zone = reader.RequiredString("zone");
  report.m_incarnation = ReadCount(reader, "incarnation");
  reader.EachMember("targets", [&report](const std::string& aVm, JsonReader& aTarget) {
    TargetReport target;
    target.m_generation = ReadCount(aTarget, "generation");
    target.m_inFlight = static_cast<int>(aTarget.Integer("in_flight", 0, 0, INT32_MAX));
    target.m_health = aTarget.Enum("health", VmHealth::Unknown);
    report.m_targets.emplace(aVm, target);
  });
  return RecordOrError(std::move(report), errors, "parse entry report");
}

} // namespace mustardtray
