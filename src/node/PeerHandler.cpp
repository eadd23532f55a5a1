#include "node/PeerHandler.h"

#include "node/PeerMessages.h"

namespace mustardtray::node {

PeerHandler::PeerHandler(LocalOwner aLocalOwner,
                         const ConfigurationRelay& aRelay,
                         const LinkLoad& aLinkLoad,
                         std::function<void()> aOnReleased)
  : m_localOwner(std::move(aLocalOwner))
  , m_relay(aRelay)
  , m_linkLoad(aLinkLoad)
  , m_onReleased(std::move(aOnReleased))
{
}

void PeerHandler::Handle(const HttpRequest& aRequest, HttpResponder aResponder)
{
  if (aRequest.m_path == kPeerSubmitPath) {
    HandleSubmit(aRequest, std::move(aResponder));
  } else if (aRequest.m_path == kPeerAdmitPath) {
    HandleAdmission(aRequest, aResponder);
  } else if (aRequest.m_path == kPeerAdoptPath) {
    HandleAdoption(aRequest, std::move(aResponder));
  } else if (aRequest.m_path == kPeerRoomPath) {
    HandleRoomRequest(aRequest, aResponder);
  } else if (aRequest.m_path == kPeerFleetPath) {
    HandleFleetSync(aRequest, aResponder);
  } else if (aRequest.m_path == kPeerConfigurationPath) {
    aResponder.Send(JsonResponse(200, m_relay.AnswerPeer(aRequest.m_body)));
  } else if (aRequest.m_path == kPeerReleasedPath) {
    m_onReleased();
    aResponder.Send(JsonResponse(200, "{}"));
  } else {
    HandleJobQuery(aRequest, std::move(aResponder));
  }
}

void PeerHandler::HandleSubmit(const HttpRequest& aRequest, HttpResponder aResponder)
{
  auto message = DecodeSubmitRequest(aRequest.m_body);
  if (!message) {
    aResponder.Send(JsonResponse(400, R"({"error":"unreadable"})"));
    return;
  }
  PoolOwner* owner = m_localOwner(message.value().m_pool);
  if (!owner) {
    aResponder.Send(JsonResponse(200, EncodeSubmitResult({ SubmitOutcome::NotOwner, {} })));
    return;
  }
  owner->Submit(std::move(message.value().m_record),
                [this, responder = std::move(aResponder)](SubmitResult aResult) {
                  SendSubmitResult(std::move(aResult), responder);
                });
}

void PeerHandler::HandleAdmission(const HttpRequest& aRequest, const HttpResponder& aResponder)
{
  const auto message = DecodeSubmitRequest(aRequest.m_body);
  PoolOwner* owner = message ? m_localOwner(message.value().m_pool) : nullptr;
  SendSubmitResult(owner ? owner->Admit(message.value().m_record) : SubmitResult{}, aResponder);
}

void PeerHandler::SendSubmitResult(SubmitResult aResult, const HttpResponder& aResponder) const
{
  aResult.m_askFirst = m_linkLoad.AskFirstTime();
  aResponder.Send(JsonResponse(200, EncodeSubmitResult(aResult)));
}

void PeerHandler::HandleAdoption(const HttpRequest& aRequest, HttpResponder aResponder)
{
  auto message = DecodeAdoptRequest(aRequest.m_body);
  PoolOwner* owner = message ? m_localOwner(message.value().m_shard) : nullptr;
  if (!owner) {
    aResponder.Send(JsonResponse(200, EncodeAdoptOutcome(AdoptOutcome::NotOwner)));
    return;
  }
  owner->Adopt(std::move(message.value().m_record),
               [responder = std::move(aResponder)](AdoptOutcome aOutcome) {
                 responder.Send(JsonResponse(200, EncodeAdoptOutcome(aOutcome)));
               });
}

void PeerHandler::HandleRoomRequest(const HttpRequest& aRequest, const HttpResponder& aResponder)
{
  const auto request = DecodeRoomRequest(aRequest.m_body);
  PoolOwner* owner = request ? m_localOwner(request.value().m_shard) : nullptr;
  std::vector<job::ShardRoom> rooms;
  if (owner) {
    rooms = owner->MeasureRoom(request.value().m_records);
  }
  aResponder.Send(JsonResponse(200, EncodeRoom(rooms)));
}

void PeerHandler::HandleFleetSync(const HttpRequest& aRequest, const HttpResponder& aResponder)
{
  const auto query = DecodeFleetSyncRequest(aRequest.m_body);
  PoolOwner* owner = query ? m_localOwner(query.value().m_pool) : nullptr;
  if (!owner || !owner->IsKeepingPool()) {
    aResponder.Send(JsonResponse(409, R"({"error":"not the owner"})"));
    return;
  }
  aResponder.Send(JsonResponse(200,
                               EncodeFleetReport(owner->ApplyRestrictions(
                                 query.value().m_restrictions, query.value().m_grants))));
}

void PeerHandler::HandleJobQuery(const HttpRequest& aRequest, HttpResponder aResponder)
{
  const auto query = DecodeJobQuery(aRequest.m_body);
  PoolOwner* owner = query ? m_localOwner(query.value().m_pool) : nullptr;
  if (!owner || !owner->IsAuthoritative()) {
    aResponder.Send(JsonResponse(200, EncodeJobQueryResult({})));
    return;
  }
  JobQueryResult result;
  result.m_isOwner = true;
  if (owner->IsForbidden(query.value().m_job, query.value().m_caller)) {
    result.m_isForbidden = true;
    aResponder.Send(JsonResponse(200, EncodeJobQueryResult(result)));
    return;
  }
  if (const JobForward* forward = owner->FindForward(query.value().m_job)) {
    result.m_forwardedTo = { forward->m_shard };
    aResponder.Send(JsonResponse(200, EncodeJobQueryResult(result)));
    return;
  }
  if (aRequest.m_path == kPeerCancelPath) {
    owner->Cancel(query.value().m_job,
                  [responder = std::move(aResponder)](std::optional<bool> aIsKnown) {
                    JobQueryResult cancelled;
                    cancelled.m_isOwner = aIsKnown.has_value();
                    cancelled.m_isKnown = aIsKnown.value_or(false);
                    responder.Send(JsonResponse(200, EncodeJobQueryResult(cancelled)));
                  });
    return;
  }
  if (aRequest.m_path == kPeerWaitingPath) {
    const auto waiting = owner->WaitingJobs(query.value().m_queue, LeaseClockNow());
    result.m_isOwner = waiting.has_value(); // A count that is not known is like that of no owner.
    result.m_waiting = waiting.value_or(0);
    result.m_forwardedTo = owner->ForwardShards(query.value().m_queue);
  } else {
    const auto state = owner->ReportedState(query.value().m_job);
    result.m_isKnown = state.has_value();
    result.m_state = state.value_or(job::JobState::Queued);
  }
  aResponder.Send(JsonResponse(200, EncodeJobQueryResult(result)));
}

} // namespace mustardtray::node
