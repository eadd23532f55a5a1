#include "mustardtray/process/ApplyOperation.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/version/CheckConfiguration.h"
#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray {

namespace {

constexpr std::string_view kOperationPrefix = "config-operation/";
constexpr std::string_view kHistoryPrefix = "config-history/";
/// Time that an operation keeps trying.
constexpr Millis kTryFor{ 10'000 };
constexpr Millis kFirstDelay{ 10 };
constexpr Millis kLongestDelay{ 300 };
constexpr int kMostDoublings = 5;
/// Most versions that a document may be behind the current one.
constexpr std::uint64_t kMaxRebaseVersions = 500;
/// Longest list of changes that the history keeps, in bytes.
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

/// The document as it was at aBase, by undoing the history; nothing when that is not kept.
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
  , m_giveUp(aNow + kTryFor)
  , m_changesFixed(!m_request.m_document)
  , m_mayLand(m_request.m_unknownBase.has_value())
  , m_triedBase(m_request.m_unknownBase.value_or(0))
{
}

std::vector<std::string> ApplyOperation::KeysToRead(const ConfigReplica& aReplica)
{
  const std::uint64_t current = aReplica.Version();
  m_readVersion = current;
  std::vector<std::string> keys{ std::string(kConfigHeadKey),
                                 ConfigOperationKey(m_request.m_operationId),
                                 ConfigHistoryKey(current + 1) };
  if (m_changesFixed || m_request.m_baseVersion == 0) {
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
  const bool claimsFailure =
    aOutcome.m_status != ApplyStatus::Accepted && aOutcome.m_status != ApplyStatus::Checked;
  if (claimsFailure && MayStillLand()) {
    aOutcome.m_status = ApplyStatus::Unknown;
    aOutcome.m_unknownBase = m_triedBase;
    aOutcome.m_message = "the platform's answer was lost; ask again under the same operation id";
  }
  ApplyStep step;
  step.m_outcome = std::move(aOutcome);
  return step;
}

ApplyStep ApplyOperation::Refuse(ApplyStatus aStatus, std::string aMessage) const
{
  ApplyOutcome outcome;
  outcome.m_status = aStatus;
  outcome.m_message = std::move(aMessage);
  return Finish(std::move(outcome));
}

ApplyStep ApplyOperation::Retry(const Error& aError, TimePoint aNow)
{
  const Millis delay =
    std::min(kLongestDelay, kFirstDelay * (1 << std::min(m_attempts, kMostDoublings)));
  ++m_attempts;
  if (aNow + delay >= m_giveUp) {
    return Refuse(ApplyStatus::NotAccepted, aError.Text());
  }
  ApplyStep step;
  step.m_delay = delay;
  return step;
}

ApplyStep ApplyOperation::OnReadError(const Error& aError, TimePoint aNow)
{
  // Only an outcome that is still open is worth waiting for a platform that is down.
  return MayStillLand() ? Retry(aError, aNow) : Refuse(ApplyStatus::NotAccepted, aError.Text());
}

ApplyStep ApplyOperation::OnFacts(const ApplyFacts& aFacts, TimePoint aNow)
{
  const Row* operation = FindRow(aFacts.m_rows, ConfigOperationKey(m_request.m_operationId));
  if (operation) {
    ApplyOutcome outcome;
    outcome.m_status = ApplyStatus::Accepted;
    outcome.m_version = VersionIn(operation);
    outcome.m_effect = m_planned.m_effect;
    outcome.m_warnings = m_planned.m_warnings;
    return Finish(std::move(outcome));
  }
  // Head and operation row come from one read. A head beyond the one that the lost transaction
  // checked, without our row, proves that it failed and always will.
  const std::uint64_t headVersion = VersionIn(FindRow(aFacts.m_rows, kConfigHeadKey));
  if (m_mayLand && headVersion > m_triedBase) {
    m_provenLost = true;
  }
  if (aFacts.m_replica.Version() != m_readVersion) {
    return ApplyStep{}; // Another operation's scan came between; read again at once.
  }
  const std::uint64_t seen = std::max({ m_request.m_baseVersion, m_triedBase, headVersion });
  if (aFacts.m_replica.Version() < seen) {
    return Retry({ ErrorKind::Unavailable, "read configuration", "", "the platform lags" }, aNow);
  }
  return Plan(aFacts);
}

bool ApplyOperation::FixChanges(const ApplyFacts& aFacts, ApplyOutcome& aOutcome)
{
  const std::uint64_t base =
    m_request.m_baseVersion == 0 ? aFacts.m_replica.Version() : m_request.m_baseVersion;
  const auto document = DocumentAt(base, aFacts.m_replica, aFacts.m_rows);
  if (!document) {
    aOutcome.m_errors.push_back(
      { "/version",
        std::to_string(base),
        fmt::format("a version that the history still reaches from {}; get "
                    "the configuration again",
                    aFacts.m_replica.Version()) });
    return false;
  }
  ParsedConfiguration mine = ParseConfigurationDocument(*m_request.m_document);
  if (!mine.m_errors.empty()) {
    aOutcome.m_errors = std::move(mine.m_errors);
    return false;
  }
  const ParsedConfiguration old = ParseConfigurationDocument(*document);
  m_request.m_changes = FindDifferences(old.m_configuration, mine.m_configuration);
  m_changesFixed = true;
  return true;
}

ApplyStep ApplyOperation::Plan(const ApplyFacts& aFacts)
{
  ApplyOutcome outcome;
  outcome.m_version = aFacts.m_replica.Version();
  if (!m_changesFixed && !FixChanges(aFacts, outcome)) {
    outcome.m_status = ApplyStatus::Invalid;
    return Finish(std::move(outcome));
  }
  Json document = aFacts.m_replica.Document();
  outcome.m_conflicts = ApplyChanges(document, m_request.m_changes);
  if (!outcome.m_conflicts.empty()) {
    outcome.m_status = ApplyStatus::Conflict;
    outcome.m_message = "another operator changed the same field";
    return Finish(std::move(outcome));
  }
  const Row* oldEntry = FindRow(aFacts.m_rows, ConfigHistoryKey(aFacts.m_replica.Version() + 1));
  m_planned = std::move(outcome);
  return Judge(aFacts,
               document,
               oldEntry ? oldEntry->m_value.value("operation_id", std::string()) : std::string());
}

ApplyStep ApplyOperation::Judge(const ApplyFacts& aFacts,
                                const Json& aDocument,
                                const std::string& aOldOperation)
{
  ApplyOutcome& outcome = m_planned;
  const ParsedConfiguration before = ParseConfigurationDocument(aFacts.m_replica.Document());
  const ParsedConfiguration after = ParseConfigurationDocument(aDocument);
  outcome.m_errors = after.m_errors;
  if (outcome.m_errors.empty()) {
    ConfigurationCheckResult check = CheckConfiguration(after.m_configuration, aFacts.m_vms);
    outcome.m_errors = std::move(check.m_errors);
    outcome.m_warnings = std::move(check.m_warnings);
    outcome.m_effect = ComputeEffect(before.m_configuration, after.m_configuration, aFacts.m_vms);
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
    outcome.m_message = "holds already; nothing to change";
    return Finish(outcome);
  }
  ApplyStep step;
  step.m_transaction = MakeTransaction(
    aFacts, ToJson(after.m_configuration), outcome.m_effect.m_changes, aOldOperation);
  m_triedBase = aFacts.m_replica.Version();
  return step;
}

Transaction ApplyOperation::MakeTransaction(const ApplyFacts& aFacts,
                                            const Json& aDocument,
                                            const std::vector<FieldChange>& aChanges,
                                            const std::string& aOldOperation) const
{
  const ConfigObjects& before = aFacts.m_replica.Objects();
  const ConfigObjects after = ObjectsOf(aDocument);
  const std::uint64_t version = aFacts.m_replica.Version() + 1;
  const std::string operationKey = ConfigOperationKey(m_request.m_operationId);
  Transaction transaction;
  transaction.m_checks = { { std::string(kConfigHeadKey), aFacts.m_headRowVersion },
                           { operationKey, 0 } };
  const ConfigHead head{ version, m_request.m_operationId, DigestOf(after) };
  const std::string prefix(kConfigPrefix);
  transaction.m_writes = {
    { std::string(kConfigHeadKey), ToJson(head) },
    { operationKey, Json{ { "version", version } } },
    { ConfigHistoryKey(version), HistoryEntry(m_request, version, aChanges, aFacts.m_wallNow) },
  };
  if (!aOldOperation.empty()) {
    transaction.m_writes.push_back({ ConfigOperationKey(aOldOperation), std::nullopt });
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
      m_mayLand = true;
      m_provenLost = false;
      return Retry(aCommit.error(), aNow);
    }
    return OnReadError(aCommit.error(), aNow);
  }
  if (!aCommit.value().m_committed) {
    return Retry({ ErrorKind::Conflict, "accept configuration", "", "other changes came between" },
                 aNow);
  }
  ApplyOutcome outcome = m_planned;
  outcome.m_status = ApplyStatus::Accepted;
  outcome.m_version = m_triedBase + 1;
  return Finish(std::move(outcome));
}

} // namespace mustardtray
