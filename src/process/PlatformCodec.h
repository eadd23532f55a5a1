#pragma once

/// JSON form of the platform's messages. Used only by PlatformClient and by the platform stand-in
/// for its side of the messages.

#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/Platform.h"

namespace mustardtray {

inline constexpr std::string_view kTransactPath = "/table/transact";
inline constexpr std::string_view kReadPath = "/table/read";
inline constexpr std::string_view kScanPath = "/table/scan";
inline constexpr std::string_view kVmsPath = "/vms";
inline constexpr std::string_view kActionsSuffix = "/actions";

struct ScanRequest
{
  std::string m_prefix;
  std::uint64_t m_since = 0;
};

/// Text of a request or response body. Invalid UTF-8 is replaced.
std::string ToText(const Json& aValue);

Json ToJson(const Transaction& aTransaction);
Json ToJson(const Commit& aCommit);
Json ToJson(const std::vector<Row>& aRows);
Json ToJson(const ScanRequest& aRequest);
Json ToJson(const ScanPage& aPage);
Json ToJson(const VmListing& aListing);
Json ToJson(const VmActionRequest& aRequest);
Json KeysToJson(const std::vector<std::string>& aKeys);
Json VmsToJson(const std::vector<VmListing>& aVms);
Json ActionStateToJson(ActionState aState);

/// Reads one VM's members. The caller may read further members before it calls Finish().
VmListing ReadVmListing(JsonReader& aReader);

// All parse functions fail with Invalid and the JSON pointer of the first fault. Unknown members
// are a fault in requests and are ignored in responses.
Result<Transaction> ParseTransaction(std::string_view aText);
Result<Commit> ParseCommit(std::string_view aText);
Result<std::vector<std::string>> ParseKeys(std::string_view aText);
Result<std::vector<Row>> ParseRows(std::string_view aText);
Result<ScanRequest> ParseScanRequest(std::string_view aText);
Result<ScanPage> ParseScanPage(std::string_view aText);
/// Skips VMs that cannot be parsed and logs the reason.
Result<std::vector<VmListing>> ParseVms(std::string_view aText);
/// The VM's name is part of the path and passed as aVm.
Result<VmActionRequest> ParseVmActionRequest(const std::string& aVm, std::string_view aText);
Result<ActionState> ParseActionState(std::string_view aText);

} // namespace mustardtray
