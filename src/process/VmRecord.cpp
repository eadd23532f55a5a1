#include "mustardtray/process/VmRecord.h"

namespace mustardtray {

Json ToJson(const VmRecord& aRecord)
{
  return Json{ { "name", aRecord.m_name },
               { "address", aRecord.m_address },
               { "zone", aRecord.m_zone },
               { "rack", aRecord.m_rack },
               { "pool", aRecord.m_pool },
               { "phase", ToName(aRecord.m_phase) },
               { "generation", aRecord.m_generation },
               { "operation_id", aRecord.m_operationId },
               { "target_pool", aRecord.m_targetPool } };
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
  record.m_phase = reader.RequiredEnum<VmPhase>("phase");
  record.m_generation = static_cast<std::uint64_t>(reader.Integer("generation", 0, 0, INT64_MAX));
  record.m_operationId = reader.String("operation_id", "");
  record.m_targetPool = reader.String("target_pool", "");
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "parse VM record", "", errors.front().Text() };
  }
  return record;
}

} // namespace mustardtray
