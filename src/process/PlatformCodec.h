#pragma once

/// JSON form of the platform's messages. Private to the adapter; the stand-in of the platform uses
/// the same functions for its side.

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

/// Text of an answer or request body; bytes that are no UTF-8 are replaced.
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

/// Reads one VM's members, of which callers may read more before they finish the reader.
VmListing ReadVmListing(JsonReader& aReader);

// All parse functions fail as Invalid with the pointer of the first fault. Requests with unknown
// members are refused; unknown members of answers are ignored.
Result<Transaction> ParseTransaction(std::string_view aText);
Result<Commit> ParseCommit(std::string_view aText);
Result<std::vector<std::string>> ParseKeys(std::string_view aText);
Result<std::vector<Row>> ParseRows(std::string_view aText);
Result<ScanRequest> ParseScanRequest(std::string_view aText);
Result<ScanPage> ParseScanPage(std::string_view aText);
/// Leaves out VMs that cannot be read and logs why.
Result<std::vector<VmListing>> ParseVms(std::string_view aText);
/// The VM's name stands in the path.
Result<VmActionRequest> ParseVmActionRequest(const std::string& aVm, std::string_view aText);
Result<ActionState> ParseActionState(std::string_view aText);

} // namespace mustardtray
