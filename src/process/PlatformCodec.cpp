#include "process/PlatformCodec.h"

#include <fmt/format.h>

#include "mustardtray/process/Log.h"

namespace mustardtray {

namespace {

/// Requests with unknown members are rejected. Responses may have members that this version does
/// not know.
enum class UnknownKeys
{
  Rejected,
  Ignored,
};

/// Parses a text and passes its reader to aRead. Any fault becomes an error.
template<typename T, typename Read>
Result<T> ParseWith(std::string_view aStep,
                    std::string_view aText,
                    UnknownKeys aUnknownKeys,
                    Read aRead)
{
  const std::string step(aStep);
  const Json document = Json::parse(aText, nullptr, false);
  if (document.is_discarded()) {
    return Error{ ErrorKind::Invalid, step, "", "not a JSON document" };
  }
  FieldErrors errors;
  JsonReader reader(document, "", errors);
  T value = aRead(reader);
  if (aUnknownKeys == UnknownKeys::Rejected) {
    reader.Finish();
  }
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, step, "", errors.front().Text() };
  }
  return value;
}

/// Calls aRead(reader, faults) for each item of an array in a response.
template<typename Read>
void EachItemOfResponse(JsonReader& aReader, std::string_view aKey, Read aRead)
{
  const Json* items = aReader.Raw(aKey);
  if (!items || !items->is_array()) {
    aReader.Fail(aKey, "an array of objects");
    return;
  }
  for (std::size_t i = 0; i < items->size(); ++i) {
    FieldErrors faults;
    JsonReader item((*items)[i], fmt::format("/{}/{}", aKey, i), faults);
    aRead(item, faults);
  }
}

std::uint64_t ReadCount(JsonReader& aReader, std::string_view aKey)
{
  return static_cast<std::uint64_t>(aReader.RequiredInteger(aKey, 0, INT64_MAX));
}

std::vector<Row> ReadRows(JsonReader& aReader)
{
  std::vector<Row> rows;
  EachItemOfResponse(aReader, "rows", [&](JsonReader& aItem, const FieldErrors& aFaults) {
    Row row;
    row.m_key = aItem.RequiredString("key");
    row.m_version = ReadCount(aItem, "version");
    const Json* value = aItem.Raw("value");
    if (!value || !aFaults.empty()) {
      aReader.Fail("rows", "rows with key, version and value");
      return;
    }
    row.m_value = *value;
    rows.push_back(std::move(row));
  });
  return rows;
}

RowWrite ReadWrite(JsonReader& aReader)
{
  RowWrite write;
  write.m_key = aReader.RequiredString("key");
  const bool isDelete = aReader.Bool("delete", false);
  const Json* value = aReader.Raw("value");
  if (isDelete == (value != nullptr)) {
    aReader.Fail("", "either a value or \"delete\": true");
  } else if (value) {
    write.m_value = *value;
  }
  return write;
}

} // namespace

std::string ToText(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ToJson(const Transaction& aTransaction)
{
  Json checks = Json::array();
  for (const RowCheck& check : aTransaction.m_checks) {
    checks.push_back({ { "key", check.m_key }, { "version", check.m_version } });
  }
  Json writes = Json::array();
  for (const RowWrite& write : aTransaction.m_writes) {
    Json item{ { "key", write.m_key } };
    if (write.m_value) {
      item["value"] = *write.m_value;
    } else {
      item["delete"] = true;
    }
    writes.push_back(std::move(item));
  }
  return { { "checks", std::move(checks) }, { "writes", std::move(writes) } };
}

Json ToJson(const Commit& aCommit)
{
  return { { "committed", aCommit.m_isCommitted },
           { "conflicts", aCommit.m_conflicts },
           { "revision", aCommit.m_revision } };
}

Json ToJson(const std::vector<Row>& aRows)
{
  Json rows = Json::array();
  for (const Row& row : aRows) {
    rows.push_back(
      { { "key", row.m_key }, { "version", row.m_version }, { "value", row.m_value } });
  }
  return { { "rows", std::move(rows) } };
}

Json ToJson(const ScanRequest& aRequest)
{
  return { { "prefix", aRequest.m_prefix }, { "since", aRequest.m_since } };
}

Json ToJson(const ScanPage& aPage)
{
  Json page = ToJson(aPage.m_rows);
  page["revision"] = aPage.m_revision;
  page["deleted"] = aPage.m_deleted;
  return page;
}

Json ToJson(const VmListing& aListing)
{
  return { { "name", aListing.m_name },
           { "address", aListing.m_address },
           { "zone", aListing.m_zone },
           { "rack", aListing.m_rack },
           { "role", ToName(aListing.m_role) },
           { "state", ToName(aListing.m_state) },
           { "cores", aListing.m_cores },
           { "memory_mb", aListing.m_memoryMb },
           { "accelerators", aListing.m_accelerators } };
}

Json ToJson(const VmActionRequest& aRequest)
{
  return { { "action", ToName(aRequest.m_action) },
           { "operation_id", aRequest.m_operationId },
           { "pool", aRequest.m_pool } };
}

Json KeysToJson(const std::vector<std::string>& aKeys)
{
  return { { "keys", aKeys } };
}

Json VmsToJson(const std::vector<VmListing>& aVms)
{
  Json vms = Json::array();
  for (const VmListing& vm : aVms) {
    vms.push_back(ToJson(vm));
  }
  return { { "vms", std::move(vms) } };
}

Json ActionStateToJson(ActionState aState)
{
  return { { "state", ToName(aState) } };
}

VmListing ReadVmListing(JsonReader& aReader)
{
  VmListing vm;
  vm.m_name = aReader.RequiredString("name");
  vm.m_address = aReader.RequiredString("address");
  vm.m_zone = aReader.RequiredString("zone");
  vm.m_rack = aReader.String("rack", "");
  vm.m_role = aReader.Enum("role", VmRole::Target);
  vm.m_state = aReader.Enum("state", VmState::Live);
  vm.m_cores = aReader.Number("cores", 0, 0, 1e6);
  vm.m_memoryMb = aReader.Integer("memory_mb", 0, 0, INT64_MAX);
  vm.m_accelerators = static_cast<int>(aReader.Integer("accelerators", 0, 0, 1'000'000));
  return vm;
}

Result<Transaction> ParseTransaction(std::string_view aText)
{
  return ParseWith<Transaction>(
    "parse transaction", aText, UnknownKeys::Rejected, [](JsonReader& aReader) {
      Transaction transaction;
      aReader.Each("checks", [&](JsonReader& aItem) {
        const std::string key = aItem.RequiredString("key");
        transaction.m_checks.push_back({ key, ReadCount(aItem, "version") });
      });
      aReader.Each("writes",
                   [&](JsonReader& aItem) { transaction.m_writes.push_back(ReadWrite(aItem)); });
      return transaction;
    });
}

Result<Commit> ParseCommit(std::string_view aText)
{
  return ParseWith<Commit>("parse commit", aText, UnknownKeys::Ignored, [](JsonReader& aReader) {
    Commit commit;
    if (!aReader.Has("committed")) {
      aReader.Fail("committed", "true|false");
    }
    commit.m_isCommitted = aReader.Bool("committed", false);
    commit.m_conflicts = aReader.Strings("conflicts");
    commit.m_revision = ReadCount(aReader, "revision");
    return commit;
  });
}

Result<std::vector<std::string>> ParseKeys(std::string_view aText)
{
  using Keys = std::vector<std::string>;
  return ParseWith<Keys>("parse keys", aText, UnknownKeys::Rejected, [](JsonReader& aReader) {
    return aReader.Strings("keys");
  });
}

Result<std::vector<Row>> ParseRows(std::string_view aText)
{
  return ParseWith<std::vector<Row>>("parse rows", aText, UnknownKeys::Ignored, &ReadRows);
}

Result<ScanRequest> ParseScanRequest(std::string_view aText)
{
  return ParseWith<ScanRequest>(
    "parse scan request", aText, UnknownKeys::Rejected, [](JsonReader& aReader) {
      const std::string prefix = aReader.String("prefix", "");
      return ScanRequest{ prefix, ReadCount(aReader, "since") };
    });
}

Result<ScanPage> ParseScanPage(std::string_view aText)
{
  return ParseWith<ScanPage>(
    "parse scan page", aText, UnknownKeys::Ignored, [](JsonReader& aReader) {
      ScanPage page;
      page.m_revision = ReadCount(aReader, "revision");
      page.m_rows = ReadRows(aReader);
      page.m_deleted = aReader.Strings("deleted");
      return page;
    });
}

Result<std::vector<VmListing>> ParseVms(std::string_view aText)
{
  return ParseWith<std::vector<VmListing>>(
    "parse VM list", aText, UnknownKeys::Ignored, [](JsonReader& aReader) {
      std::vector<VmListing> vms;
      EachItemOfResponse(aReader, "vms", [&](JsonReader& aItem, const FieldErrors& aFaults) {
        VmListing vm = ReadVmListing(aItem);
        if (aFaults.empty()) {
          vms.push_back(std::move(vm));
        } else {
          Log(LogCategory::Platform, LogLevel::Warning, "vm-skipped", "reason", aFaults[0].Text());
        }
      });
      return vms;
    });
}

Result<VmActionRequest> ParseVmActionRequest(const std::string& aVm, std::string_view aText)
{
  return ParseWith<VmActionRequest>(
    "parse VM action", aText, UnknownKeys::Rejected, [&](JsonReader& aReader) {
      VmActionRequest request;
      request.m_vm = aVm;
      request.m_action = aReader.RequiredEnum<VmAction>("action");
      request.m_operationId = aReader.RequiredString("operation_id");
      request.m_pool = aReader.String("pool", "");
      return request;
    });
}

Result<ActionState> ParseActionState(std::string_view aText)
{
  return ParseWith<ActionState>(
    "parse action state", aText, UnknownKeys::Ignored, [](JsonReader& aReader) {
      return aReader.RequiredEnum<ActionState>("state");
    });
}

} // namespace mustardtray
