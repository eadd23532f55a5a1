#include "mustardtray/process/ApplyOperation.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/version/CheckConfiguration.h"
#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray {

namespace {

constexpr std::string_view kOperationPrefix = "config-operation/";
constexpr std::string_view kHistoryPrefix = "config-history/";
/// An operation is retried for this long.
constexpr Millis kRetryTimeout{ 10'000 };
constexpr Millis kInitialRetryDelay{ 10 };
constexpr Millis kMaxRetryDelay{ 300 };
constexpr int kMaxDelayDoublings = 5;
/// A document may be at most this many versions behind the current one.
constexpr std::uint64_t kMaxRebaseVersions = 500;
/// Longer lists of changes are left out of the history.
constexpr std::size_t kMaxHistoryBytes = 256u << 10;

const Row* FindRow(const std::vector<Row>& aRows, std::string_view aKey)
{
  const auto found = std::find_if(
    aRows.begin(), aRows.end(), [aKey](const Row& aRow) { return aRow.m_key == aKey; });
  return found == aRows.end() ? nullptr : &*found;
}

std::uint64_t VersionIn(const Row* aRow)
{
  return aRow ? aRow->m_value.value("version", std::uint64_t{ 0 }) : 0;
}

/// The document at version aBase, computed by reverting the changes in the history. Empty when the
/// history no longer has them.
std::optional<Json> DocumentAt(std::uint64_t aBase,
                               const ConfigReplica& aReplica,
                               const std::vector<Row>& aRows)
{
  Json document = aReplica.Document();
  for (std::uint64_t version = aReplica.Version(); version > aBase; --version) {
    const Row* row = FindRow(aRows, ConfigHistoryKey(version));
    if (VersionIn(row) != version || !row->m_value.contains("changes")) {
      return std::nullopt;
    }
    FieldErrors errors;
    const auto changes = ParseFieldChanges(row->m_value["changes"], "", errors);
    if (!errors.empty() || !ApplyChanges(document, ReverseChanges(changes)).empty()) {
      return std::nullopt;
    }
  }
  document.erase("version");
  return document;
}

Json HistoryEntry(const ApplyRequest& aRequest,
                  std::uint64_t aVersion,
                  const std::vector<FieldChange>& aChanges,
                  WallTime aNow)
{
  Json entry{ { "version", aVersion },
              { "operation_id", aRequest.m_operationId },
              { "operator", aRequest.m_operator },
              { "time_ms", aNow.time_since_epoch().count() },
              { "count", aChanges.size() } };
  Json changes = ToJson(aChanges);
  if (changes.dump().size() <= kMaxHistoryBytes) {
    entry["changes"] = std::move(changes);
  }
  return entry;
}

} // namespace

std::string ConfigOperationKey(const std::string& aOperationId)
{
  return std::string(kOperationPrefix) + aOperationId;
}

std::string ConfigHistoryKey(std::uint64_t aVersion)
{
  return fmt::format("{}{}", kHistoryPrefix, aVersion % kConfigHistoryLength);
}

ApplyOperation::ApplyOperation(ApplyRequest aRequest, TimePoint aNow)
  : m_request(std::move(aRequest))
  , m_retryDeadline(aNow + kRetryTimeout)
  , m_areChangesResolved(!m_request.m_document)
  , m_hasLostResponse(m_request.m_unknownBase.has_value())
  , m_attemptedBaseVersion(m_request.m_unknownBase.value_or(0))
{
}

std::vector<std::string> ApplyOperation::KeysToRead(const ConfigReplica& aReplica)
{
  const std::uint64_t current = aReplica.Version();
  m_versionAtRead = current;
  std::vector<std::string> keys{ std::string(kConfigHeadKey),
                                 ConfigOperationKey(m_request.m_operationId),
                                 ConfigHistoryKey(current + 1) };
  if (m_areChangesResolved || m_request.m_baseVersion == 0) {
    return keys;
  }
  const std::uint64_t oldest = current > kMaxRebaseVersions ? current - kMaxRebaseVersions : 0;
  for (std::uint64_t v = std::max(m_request.m_baseVersion, oldest) + 1; v <= current; ++v) {
    keys.push_back(ConfigHistoryKey(v));
  }
  return keys;
}

ApplyStep ApplyOperation::Finish(ApplyOutcome aOutcome) const
{
  aOutcome.m_operationId = m_request.m_operationId;
  const bool isFailure =
    aOutcome.m_status != ApplyStatus::Accepted && aOutcome.m_status != ApplyStatus::Checked;
  if (isFailure && MayStillCommit()) {
    aOutcome.m_status = ApplyStatus::Unknown;
    aOutcome.m_unknownBase = m_attemptedBaseVersion;
    aOutcome.m_message = "the platform's response was lost; retry with the same operation id";
  }
  ApplyStep step;
  step.m_outcome = std::move(aOutcome);
  return step;
}

ApplyStep ApplyOperation::Reject(ApplyStatus aStatus, std::string aMessage) const
{
  ApplyOutcome outcome;
  outcome.m_status = aStatus;
  outcome.m_message = std::move(aMessage);
  return Finish(std::move(outcome));
}

ApplyStep ApplyOperation::Retry(const Error& aError, TimePoint aNow)
{
  const Millis delay =
    std::min(kMaxRetryDelay, kInitialRetryDelay * (1 << std::min(m_attempts, kMaxDelayDoublings)));
  ++m_attempts;
  if (aNow + delay >= m_retryDeadline) {
    return Reject(ApplyStatus::NotAccepted, aError.Text());
  }
  ApplyStep step;
  step.m_delay = delay;
  return step;
}

ApplyStep ApplyOperation::OnReadError(const Error& aError, TimePoint aNow)
{
  // Retry while the platform is down only if a transaction may still take effect.
  return MayStillCommit() ? Retry(aError, aNow) : Reject(ApplyStatus::NotAccepted, aError.Text());
}

ApplyStep ApplyOperation::OnInput(const ApplyInput& aInput, TimePoint aNow)
{
  const Row* operation = FindRow(aInput.m_rows, ConfigOperationKey(m_request.m_operationId));
  if (operation) {
    ApplyOutcome outcome;
    outcome.m_status = ApplyStatus::Accepted;
    outcome.m_version = VersionIn(operation);
    outcome.m_effect = m_plannedOutcome.m_effect;
    outcome.m_warnings = m_plannedOutcome.m_warnings;
    return Finish(std::move(outcome));
  }
  // The head row and the operation row come from the same read. If the head is newer than the one
  // that the lost transaction checked, and the operation row is missing, the transaction has failed
  // for good.
  const std::uint64_t headVersion = VersionIn(FindRow(aInput.m_rows, kConfigHeadKey));
  if (m_hasLostResponse && headVersion > m_attemptedBaseVersion) {
    m_hasDefinitelyFailed = true;
  }
  if (aInput.m_replica.Version() != m_versionAtRead) {
    return ApplyStep{}; // Another operation's scan changed the replica; read again at once.
  }
  const std::uint64_t newestKnown =
    std::max({ m_request.m_baseVersion, m_attemptedBaseVersion, headVersion });
  if (aInput.m_replica.Version() < newestKnown) {
    return Retry({ ErrorKind::Unavailable,
                   "read configuration",
                   "",
                   "the platform returns an outdated version" },
                 aNow);
  }
  return Plan(aInput);
}

bool ApplyOperation::ResolveChanges(const ApplyInput& aInput, ApplyOutcome& aOutcome)
{
  const std::uint64_t base =
    m_request.m_baseVersion == 0 ? aInput.m_replica.Version() : m_request.m_baseVersion;
  const auto document = DocumentAt(base, aInput.m_replica, aInput.m_rows);
  if (!document) {
    aOutcome.m_errors.push_back(
      { "/version",
        std::to_string(base),
        fmt::format("a version that the history can still reach from {}; get "
                    "the configuration again",
                    aInput.m_replica.Version()) });
    return false;
  }
  ParsedConfiguration requested = ParseConfigurationDocument(*m_request.m_document);
  if (!requested.m_errors.empty()) {
    aOutcome.m_errors = std::move(requested.m_errors);
    return false;
  }
  const ParsedConfiguration old = ParseConfigurationDocument(*document);
  m_request.m_changes = FindDifferences(old.m_configuration, requested.m_configuration);
  m_areChangesResolved = true;
  return true;
}

ApplyStep ApplyOperation::Plan(const ApplyInput& aInput)
{
  ApplyOutcome outcome;
  outcome.m_version = aInput.m_replica.Version();
  if (!m_areChangesResolved && !ResolveChanges(aInput, outcome)) {
    outcome.m_status = ApplyStatus::Invalid;
    return Finish(std::move(outcome));
  }
  Json document = aInput.m_replica.Document();
  outcome.m_conflicts = ApplyChanges(document, m_request.m_changes);
  if (!outcome.m_conflicts.empty()) {
    outcome.m_status = ApplyStatus::Conflict;
    outcome.m_message = "another operator changed the same field";
    return Finish(std::move(outcome));
  }
  const Row* expiredEntry =
    FindRow(aInput.m_rows, ConfigHistoryKey(aInput.m_replica.Version() + 1));
  m_plannedOutcome = std::move(outcome);
  return ValidateChange(aInput,
                        document,
                        expiredEntry ? expiredEntry->m_value.value("operation_id", std::string())
                                     : std::string());
}

ApplyStep ApplyOperation::ValidateChange(const ApplyInput& aInput,
                                         const Json& aDocument,
                                         const std::string& aExpiredOperationId)
{
  ApplyOutcome& outcome = m_plannedOutcome;
  const ParsedConfiguration before = ParseConfigurationDocument(aInput.m_replica.Document());
  const ParsedConfiguration after = ParseConfigurationDocument(aDocument);
  outcome.m_errors = after.m_errors;
  if (outcome.m_errors.empty()) {
    ConfigurationCheckResult check = CheckConfiguration(after.m_configuration, aInput.m_vms);
    outcome.m_errors = std::move(check.m_errors);
    outcome.m_warnings = std::move(check.m_warnings);
    outcome.m_effect = ComputeEffect(before.m_configuration, after.m_configuration, aInput.m_vms);
  }
  if (!outcome.m_errors.empty()) {
    outcome.m_status = ApplyStatus::Invalid;
    return Finish(outcome);
  }
  if (m_request.m_dryRun) {
    outcome.m_status = ApplyStatus::Checked;
    return Finish(outcome);
  }
  if (outcome.m_effect.m_changes.empty()) {
    outcome.m_status = ApplyStatus::Accepted;
    outcome.m_message = "already in effect; nothing to change";
    return Finish(outcome);
  }
  ApplyStep step;
  step.m_transaction = MakeTransaction(
    aInput, ToJson(after.m_configuration), outcome.m_effect.m_changes, aExpiredOperationId);
  m_attemptedBaseVersion = aInput.m_replica.Version();
  return step;
}

Transaction ApplyOperation::MakeTransaction(const ApplyInput& aInput,
                                            const Json& aDocument,
                                            const std::vector<FieldChange>& aChanges,
                                            const std::string& aExpiredOperationId) const
{
  const ConfigObjects& before = aInput.m_replica.Objects();
  const ConfigObjects after = ObjectsOf(aDocument);
  const std::uint64_t version = aInput.m_replica.Version() + 1;
  const std::string operationKey = ConfigOperationKey(m_request.m_operationId);
  Transaction transaction;
  transaction.m_checks = { { std::string(kConfigHeadKey), aInput.m_headRowVersion },
                           { operationKey, 0 } };
  const ConfigHead head{ version, m_request.m_operationId, DigestOf(after) };
  const std::string prefix(kConfigPrefix);
  transaction.m_writes = {
    { std::string(kConfigHeadKey), ToJson(head) },
    { operationKey, Json{ { "version", version } } },
    { ConfigHistoryKey(version), HistoryEntry(m_request, version, aChanges, aInput.m_wallNow) },
  };
  if (!aExpiredOperationId.empty()) {
    transaction.m_writes.push_back({ ConfigOperationKey(aExpiredOperationId), std::nullopt });
  }
  for (const auto& [name, value] : after) {
    const auto old = before.find(name);
    if (old == before.end() || old->second != value) {
      transaction.m_writes.push_back({ prefix + name, value });
    }
  }
  for (const auto& [name, value] : before) {
    if (!after.contains(name)) {
      transaction.m_writes.push_back({ prefix + name, std::nullopt });
    }
  }
  return transaction;
}

ApplyStep ApplyOperation::OnCommit(const Result<Commit>& aCommit, TimePoint aNow)
{
  if (aCommit.has_error()) {
    if (aCommit.error().m_kind == ErrorKind::Unknown) {
      m_hasLostResponse = true;
      m_hasDefinitelyFailed = false;
      return Retry(aCommit.error(), aNow);
    }
    return OnReadError(aCommit.error(), aNow);
  }
  if (!aCommit.value().m_isCommitted) {
    return Retry(
      { ErrorKind::Conflict, "accept configuration", "", "another change was accepted first" },
      aNow);
  }
  ApplyOutcome outcome = m_plannedOutcome;
  outcome.m_status = ApplyStatus::Accepted;
  outcome.m_version = m_attemptedBaseVersion + 1;
  return Finish(std::move(outcome));
}

} // namespace mustardtray
