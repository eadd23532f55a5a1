#include "mustardtray/request/Router.h"

#include <algorithm>

#include "mustardtray/process/Log.h"
#include "request/ActiveRequest.h"
#include "request/ForwardEnvelope.h"
#include "request/HeaderFilter.h"
#include "request/LocalResponses.h"
#include "request/OutgoingCall.h"
#include "request/RoutingMetrics.h"

namespace mustardtray {

/// Part of the Router that claims idempotency keys from the owners of their partitions.

namespace {

constexpr Millis kRetryAfter{ 1'000 };

} // namespace

void Router::RouteByKey(const ActivePointer& aActive)
{
  const std::shared_ptr<const KeyOwnership>& ownership = m_snapshot->m_ownership;
  const std::size_t partition = PartitionOfHash(aActive->m_key->Hash());
  const KeyPartitionRecord record =
    ownership ? ownership->m_partitions[partition].m_record : KeyPartitionRecord{};
  const bool isOwner = record.m_owner == m_snapshot->m_self;
  if (isOwner) {
    ClaimKey(aActive, std::nullopt);
  } else {
    ForwardToOwner(aActive, record);
  }
}

void Router::ClaimKey(const ActivePointer& aActive, std::optional<std::uint64_t> aEpoch)
{
  const KeyClaim claim = m_keys.Claim(
    WallNow(), *aActive->m_key, RequestFingerprint(aActive->m_request), aActive->m_id, aEpoch);
  m_metrics->CountKeyDecision(ToName(claim.m_decision));
  Log(LogCategory::Routing,
      LogLevel::Info,
      "claim-key",
      "request",
      aActive->m_wireId,
      "key",
      aActive->m_key->Text(),
      "decision",
      ToName(claim.m_decision),
      "reason",
      ToName(claim.m_reason));
  const std::string_view reason = ToName(claim.m_reason);
  switch (claim.m_decision) {
    case KeyDecision::Run:
      aActive->m_holdsKey = true;
      Schedule(aActive);
      return;
    case KeyDecision::Join:
      JoinRunningKey(aActive);
      return;
    case KeyDecision::Answer:
      Respond(aActive, *claim.m_response, "answered");
      return;
    case KeyDecision::Unknown:
      Respond(aActive, UnknownResponse(aActive->m_wireId, reason, true), kOutcomeUnknown);
      return;
    case KeyDecision::NotRun:
      Respond(aActive, NotRunResponse(aActive->m_wireId, reason, kRetryAfter), kOutcomeNotRun);
      return;
    case KeyDecision::Mismatch:
      Respond(aActive,
              RejectedResponse(422, aActive->m_wireId, "key-of-another-request"),
              kOutcomeNotRun);
      return;
  }
}

void Router::JoinRunningKey(const ActivePointer& aActive)
{
  const Micros left = aActive->m_deadline - MonotonicNow();
  aActive->m_joinTimer = m_timers.After(std::max(left, Micros(0)), [this, aActive] {
    m_keys.RemoveWaiter(*aActive->m_key, aActive->m_id);
    Respond(aActive, UnknownResponse(aActive->m_wireId, "still-running", true), kOutcomeUnknown);
  });
}

void Router::ForwardToOwner(const ActivePointer& aActive, const KeyPartitionRecord& aRecord)
{
  const auto peer = m_snapshot->m_peers.find(aRecord.m_owner.m_node);
  const bool isReachable =
    peer != m_snapshot->m_peers.end() && peer->second.m_node == aRecord.m_owner;
  Log(LogCategory::Routing,
      LogLevel::Info,
      "forward-to-owner",
      "request",
      aActive->m_wireId,
      "key",
      aActive->m_key->Text(),
      "owner",
      aRecord.m_owner.m_node,
      "reachable",
      isReachable);
  if (!isReachable) {
    Respond(
      aActive, UnknownResponse(aActive->m_wireId, "key-owner-unreachable", true), kOutcomeUnknown);
    return;
  }
  const Millis left = CeilMillis(aActive->m_deadline - MonotonicNow());
  const ForwardEnvelope envelope{ ForwardKind::Owner, aActive->m_wireId, m_options.m_node, left, {},
                                  aRecord.m_epoch };
  HttpCall call = MakeForwardCall(*aActive, peer->second.m_forwardUrl, envelope);
  call.m_step = "forward to key owner";
  m_client.Start(std::move(call), [this, aActive](HttpCallResult aResult) {
    OnOwnerResponse(aActive, std::move(aResult));
  });
}

void Router::OnOwnerResponse(const ActivePointer& aActive, HttpCallResult aResult)
{
  if (aResult.has_error()) {
    const std::string reason = "key-owner: " + aResult.error().m_error.m_message;
    Respond(aActive,
            UnknownResponse(aActive->m_wireId, reason, aResult.error().m_isNotSent),
            kOutcomeUnknown);
    return;
  }
  const std::string* outcome = aResult.value().Header(kOutcomeHeader);
  const std::string counted = outcome ? *outcome : "answered";
  HttpResponse response = std::move(aResult.value());
  response.m_headers = RelayedHeaders(response.m_headers);
  Respond(aActive, std::move(response), counted);
}

} // namespace mustardtray
