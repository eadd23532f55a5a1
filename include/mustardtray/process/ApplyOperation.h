#pragma once

/// Decides whether one change of the configuration is accepted. No I/O; ConfigStore reads and
/// writes for it.
///
/// The change is one transaction that checks the head row, so that it applies to exactly the state
/// that was validated. The transaction also writes a row named after the operation id and checks
/// that the row did not exist. An operation therefore takes effect at most once, and one whose
/// response was lost can be found again by its id.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/ConfigReplica.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/version/ConfigurationChange.h"
#include "mustardtray/version/MergeChanges.h"

namespace mustardtray {

/// Number of versions whose changes and operation ids are kept.
inline constexpr std::uint64_t kConfigHistoryLength = 10'000;

std::string ConfigOperationKey(const std::string& aOperationId);
std::string ConfigHistoryKey(std::uint64_t aVersion);

/// An operator's request: a list of changes, or a whole configuration to change to.
struct ApplyRequest
{
  std::string m_operationId;
  std::string m_operator; ///< Name of the operator, for the history.
  std::vector<FieldChange> m_changes;
  std::optional<Json> m_document; ///< Takes precedence over m_changes.
  /// Version that m_document was made from; 0 for the current version when the request arrives.
  std::uint64_t m_baseVersion = 0;
  bool m_dryRun = false;
  /// From an earlier outcome "unknown" of the same operation; see ApplyOutcome.
  std::optional<std::uint64_t> m_unknownBase;
};

Json ToJson(const ApplyRequest& aRequest);
ApplyRequest ParseApplyRequest(const Json& aValue, FieldErrors& aErrors);

enum class ApplyStatus
{
  Accepted,    ///< In effect since m_version or earlier.
  Checked,     ///< Dry run of a change that would be accepted.
  Conflict,    ///< Not accepted: another operator changed the same field.
  Invalid,     ///< Not accepted: m_errors lists the faults.
  NotAccepted, ///< Not accepted: the platform was unavailable.
  Unknown,     ///< May have taken or still take effect; retry with the same id.
};

template<>
struct EnumNames<ApplyStatus>
{
  static constexpr std::array kTable{
    std::pair{ ApplyStatus::Accepted, std::string_view("accepted") },
    std::pair{ ApplyStatus::Checked, std::string_view("checked") },
    std::pair{ ApplyStatus::Conflict, std::string_view("conflict") },
    std::pair{ ApplyStatus::Invalid, std::string_view("invalid") },
    std::pair{ ApplyStatus::NotAccepted, std::string_view("not-accepted") },
    std::pair{ ApplyStatus::Unknown, std::string_view("unknown") },
  };
};

struct ApplyOutcome
{
  ApplyStatus m_status = ApplyStatus::NotAccepted;
  std::string m_operationId;
  std::uint64_t m_version = 0;                ///< With the change, or that it was checked against.
  std::optional<std::uint64_t> m_unknownBase; ///< To be sent with a retry.
  std::string m_message;
  std::vector<FieldConflict> m_conflicts;
  FieldErrors m_errors;
  FieldErrors m_warnings;
  ConfigurationEffect m_effect;
};

Json ToJson(const ApplyOutcome& aOutcome);

/// Input of one attempt, read in this order: the scan into m_replica, then the rows in a single
/// read.
struct ApplyInput
{
  const ConfigReplica& m_replica;
  std::uint64_t m_headRowVersion = 0; ///< Row version of the head as of the scan.
  std::vector<Row> m_rows;            ///< Rows with the keys of KeysToRead().
  std::vector<VmListing> m_vms;
  WallTime m_wallNow;
};

/// Next step: finish with m_outcome, commit m_transaction, or read again after m_delay.
struct ApplyStep
{
  std::optional<ApplyOutcome> m_outcome;
  std::optional<Transaction> m_transaction;
  Millis m_delay{ 0 };
};

class ApplyOperation
{
public:
  ApplyOperation(ApplyRequest aRequest, TimePoint aNow);

  /// Keys of the rows to read after the scan.
  std::vector<std::string> KeysToRead(const ConfigReplica& aReplica);
  ApplyStep OnInput(const ApplyInput& aInput, TimePoint aNow);
  /// Reading the VM list, the scan or the rows failed.
  ApplyStep OnReadError(const Error& aError, TimePoint aNow);
  ApplyStep OnCommit(const Result<Commit>& aCommit, TimePoint aNow);
  const ApplyRequest& Request() const { return m_request; }

private:
  ApplyStep Finish(ApplyOutcome aOutcome) const;
  ApplyStep Reject(ApplyStatus aStatus, std::string aMessage) const;
  ApplyStep Retry(const Error& aError, TimePoint aNow);
  ApplyStep Plan(const ApplyInput& aInput);
  ApplyStep ValidateChange(const ApplyInput& aInput,
                           const Json& aDocument,
                           const std::string& aExpiredOperationId);
  Transaction MakeTransaction(const ApplyInput& aInput,
                              const Json& aDocument,
                              const std::vector<FieldChange>& aChanges,
                              const std::string& aExpiredOperationId) const;
  bool ResolveChanges(const ApplyInput& aInput, ApplyOutcome& aOutcome);
  bool MayStillCommit() const { return m_hasLostResponse && !m_hasDefinitelyFailed; }

  ApplyRequest m_request;
  TimePoint m_retryDeadline;
  int m_attempts = 0;
  bool m_areChangesResolved = false;  ///< m_request.m_changes has been computed from the document.
  bool m_hasLostResponse = false;     ///< The response to a transaction was lost.
  bool m_hasDefinitelyFailed = false; ///< That transaction did not and cannot take effect.
  std::uint64_t m_attemptedBaseVersion = 0;
  std::uint64_t m_versionAtRead = 0; ///< Replica version of the last KeysToRead().
  ApplyOutcome m_plannedOutcome;
};

} // namespace mustardtray
