#include "mustardtray/process/ApplyOperation.h"

#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray {

namespace {

Json ToJson(const FieldErrors& aErrors)
{
  Json errors = Json::array();
  for (const FieldError& error : aErrors) {
    errors.push_back({ { "pointer", error.m_pointer },
                       { "found", error.m_found },
                       { "allowed", error.m_allowed } });
  }
  return errors;
}

} // namespace

Json ToJson(const ApplyRequest& aRequest)
{
  Json value{ { "operation_id", aRequest.m_operationId },
              { "operator", aRequest.m_operator },
              { "base_version", aRequest.m_baseVersion },
              { "dry_run", aRequest.m_dryRun } };
  if (aRequest.m_unknownBase) {
    value["unknown_base"] = *aRequest.m_unknownBase;
  }
  if (aRequest.m_document) {
    value["configuration"] = *aRequest.m_document;
  } else {
    value["changes"] = ToJson(aRequest.m_changes);
  }
  return value;
}

ApplyRequest ParseApplyRequest(const Json& aValue, FieldErrors& aErrors)
{
  ApplyRequest request;
  JsonReader reader(aValue, "", aErrors);
  request.m_operationId = reader.RequiredString("operation_id");
  if (!request.m_operationId.empty() && !IsValidName(request.m_operationId)) {
    reader.Fail("operation_id", "1 to 63 letters, digits, '.', '_' and '-'");
  }
  request.m_operator = reader.String("operator", "");
  request.m_baseVersion =
    static_cast<std::uint64_t>(reader.Integer("base_version", 0, 0, INT64_MAX));
  request.m_dryRun = reader.Bool("dry_run", false);
  if (reader.Has("unknown_base")) {
    request.m_unknownBase =
      static_cast<std::uint64_t>(reader.RequiredInteger("unknown_base", 0, INT64_MAX));
  }
  const Json* document = reader.Raw("configuration");
  const Json* changes = reader.Raw("changes");
  if (document) {
    request.m_document = *document;
    const Json version = document->is_object() ? document->value("version", Json()) : Json();
    if (request.m_baseVersion == 0 && version.is_number_unsigned()) {
      request.m_baseVersion = version.get<std::uint64_t>();
    }
  } else if (changes) {
    request.m_changes = ParseFieldChanges(*changes, "/changes", aErrors);
  } else {
    reader.Fail("changes", "changes or a configuration");
  }
  reader.Finish();
  return request;
}

Json ToJson(const ApplyOutcome& aOutcome)
{
  Json conflicts = Json::array();
  for (const FieldConflict& conflict : aOutcome.m_conflicts) {
    conflicts.push_back(ToJson(conflict));
  }
  Json value{
    { "status", ToName(aOutcome.m_status) },     { "operation_id", aOutcome.m_operationId },
    { "version", aOutcome.m_version },           { "message", aOutcome.m_message },
    { "conflicts", std::move(conflicts) },       { "errors", ToJson(aOutcome.m_errors) },
    { "warnings", ToJson(aOutcome.m_warnings) }, { "effect", ToJson(aOutcome.m_effect) }
  };
  if (aOutcome.m_unknownBase) {
    value["unknown_base"] = *aOutcome.m_unknownBase;
  }
  return value;
}

} // namespace mustardtray
