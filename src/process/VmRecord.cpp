#include "mustardtray/process/VmRecord.h"

namespace mustardtray {

namespace {

std::uint64_t ReadCount(JsonReader& aReader, std::string_view aKey)
{
  return static_cast<std::uint64_t>(aReader.Integer(aKey, 0, 0, INT64_MAX));
}

} // namespace

Json ToJson(const VmRecord& aRecord)
{
  return Json{ { "name", aRecord.m_name },
               { "address", aRecord.m_address },
               { "zone", aRecord.m_zone },
               { "rack", aRecord.m_rack },
               { "pool", aRecord.m_pool },
               { "home_pool", aRecord.m_homePool },
               { "phase", ToName(aRecord.m_phase) },
               { "generation", aRecord.m_generation },
               { "operation", ToName(aRecord.m_operation) },
               { "operation_id", aRecord.m_operationId },
               { "last_operation_id", aRecord.m_lastOperationId },
               { "target_pool", aRecord.m_targetPool },
               { "attempt", aRecord.m_attempt },
               { "down", aRecord.m_isDown },
               { "services", aRecord.m_services },
               { "config_version", aRecord.m_configVersion },
               { "wave_number", aRecord.m_waveNumber },
               { "maintained_number", aRecord.m_lastRebootWave } };
}

Result<VmRecord> ParseVmRecord(const Json& aValue)
{
  FieldErrors errors;
  VmRecord record;
  JsonReader reader(aValue, "", errors);
  record.m_name = reader.RequiredString("name");
  record.m_address = reader.RequiredString("address");
  record.m_zone = reader.RequiredString("zone");
  record.m_rack = reader.String("rack", "");
  record.m_pool = reader.RequiredString("pool");
  record.m_homePool = reader.String("home_pool", record.m_pool);
  record.m_phase = reader.RequiredEnum<VmPhase>("phase");
  record.m_generation = ReadCount(reader, "generation");
  record.m_operation = reader.Enum("operation", VmOperation::None);
  record.m_operationId = reader.String("operation_id", "");
  record.m_lastOperationId = reader.String("last_operation_id", "");
  record.m_targetPool = reader.String("target_pool", "");
  record.m_attempt = static_cast<int>(reader.Integer("attempt", 0, 0, INT32_MAX));
  record.m_isDown = reader.Bool("down", false);
  record.m_services = reader.Strings("services");
  record.m_configVersion = ReadCount(reader, "config_version");
  record.m_waveNumber = ReadCount(reader, "wave_number");
  record.m_lastRebootWave = ReadCount(reader, "maintained_number");
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "parse VM record", "", errors.front().Text() };
  }
  return record;
}

} // namespace mustardtray
