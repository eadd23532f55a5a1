#pragma once

/// Acceptance of one change of the configuration: the decisions, without I/O. ConfigStore is the
/// shell that reads and writes for it.
///
/// The change is one transaction that checks the head row, so it lands on exactly the state that
/// was judged. It also writes a row named after the operation id, checked not to exist, so an
/// operation takes effect at most once, and one whose answer was lost is found again by its id.

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

/// Versions whose changes and operation ids are kept.
inline constexpr std::uint64_t kConfigHistoryLength = 10'000;

std::string ConfigOperationKey(const std::string& aOperationId);
std::string ConfigHistoryKey(std::uint64_t aVersion);

/// What an operator asks for: changes, or a whole configuration to change to.
struct ApplyRequest
{
  std::string m_operationId;
  std::string m_operator; ///< Who asks; for the history.
  std::vector<FieldChange> m_changes;
  std::optional<Json> m_document; ///< Goes before m_changes.
  /// Version that m_document was made from; 0 takes the one that is current when the request comes.
  std::uint64_t m_baseVersion = 0;
  bool m_dryRun = false;
  /// From an earlier answer "unknown" to the same operation; see ApplyOutcome.
  std::optional<std::uint64_t> m_unknownBase;
};

Json ToJson(const ApplyRequest& aRequest);
ApplyRequest ParseApplyRequest(const Json& aValue, FieldErrors& aErrors);

enum class ApplyStatus
{
  Accepted,    ///< Holds; m_version says since when.
  Checked,     ///< Dry run of a change that would be accepted.
  Conflict,    ///< Not accepted: another operator changed the same field.
  Invalid,     ///< Not accepted: faults.
  NotAccepted, ///< Not accepted: the platform could not be asked.
  Unknown,     ///< May hold or come to hold; ask again under the same id.
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
  std::uint64_t m_version = 0; ///< That holds the change, or that it was judged against.
  std::optional<std::uint64_t> m_unknownBase; ///< Pass it on when asking again.
  std::string m_message;
  std::vector<FieldConflict> m_conflicts;
  FieldErrors m_errors;
  FieldErrors m_warnings;
  ConfigurationEffect m_effect;
};

Json ToJson(const ApplyOutcome& aOutcome);

/// What was read for one attempt, in this order: the scan into m_replica, then the rows in one
/// read.
struct ApplyFacts
{
  const ConfigReplica& m_replica;
  std::uint64_t m_headRowVersion = 0; ///< As of the scan.
  std::vector<Row> m_rows;            ///< Of KeysToRead().
  std::vector<VmListing> m_vms;
  WallTime m_wallNow;
};

/// What to do next: finish with m_outcome, try m_transaction, or read again after m_delay.
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

  /// Rows to read after the scan.
  std::vector<std::string> KeysToRead(const ConfigReplica& aReplica);
  ApplyStep OnFacts(const ApplyFacts& aFacts, TimePoint aNow);
  /// A read failed.
  ApplyStep OnReadError(const Error& aError, TimePoint aNow);
  ApplyStep OnCommit(const Result<Commit>& aCommit, TimePoint aNow);
  const ApplyRequest& Request() const { return m_request; }

private:
  ApplyStep Finish(ApplyOutcome aOutcome) const;
  ApplyStep Refuse(ApplyStatus aStatus, std::string aMessage) const;
  ApplyStep Retry(const Error& aError, TimePoint aNow);
  ApplyStep Plan(const ApplyFacts& aFacts);
  ApplyStep Judge(const ApplyFacts& aFacts,
                  const Json& aDocument,
                  const std::string& aOldOperation);
  Transaction MakeTransaction(const ApplyFacts& aFacts,
                              const Json& aDocument,
                              const std::vector<FieldChange>& aChanges,
                              const std::string& aOldOperation) const;
  bool FixChanges(const ApplyFacts& aFacts, ApplyOutcome& aOutcome);
  bool MayStillLand() const { return m_mayLand && !m_provenLost; }

  ApplyRequest m_request;
  TimePoint m_giveUp;
  int m_attempts = 0;
  bool m_changesFixed = false; ///< m_request.m_changes is what the operator asks for.
  bool m_mayLand = false;      ///< A transaction was sent whose answer was lost.
  bool m_provenLost = false;   ///< ... and it can't have taken effect, nor ever will.
  std::uint64_t m_triedBase = 0;
  std::uint64_t m_readVersion = 0; ///< That KeysToRead() was asked for.
  ApplyOutcome m_planned;
};

} // namespace mustardtray
