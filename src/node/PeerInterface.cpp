#include "node/PeerInterface.h"

#include "node/PeerMessages.h"

namespace mustardtray::node {

PeerInterface::PeerInterface(LocalOwner aLocalOwner, std::function<void()> aOnReleased)
  : m_localOwner(std::move(aLocalOwner))
  , m_onReleased(std::move(aOnReleased))
{
}

void PeerInterface::Handle(const HttpRequest& aRequest, HttpResponder aResponder)
{
  if (aRequest.m_path == kPeerSubmitPath) {
    Submit(aRequest, std::move(aResponder));
  } else if (aRequest.m_path == kPeerFleetPath) {
    SyncFleet(aRequest, aResponder);
  } else if (aRequest.m_path == kPeerReleasedPath) {
    m_onReleased();
    aResponder.Send(JsonResponse(200, "{}"));
  } else {
    Answer(aRequest, std::move(aResponder));
  }
}

void PeerInterface::Submit(const HttpRequest& aRequest, HttpResponder aResponder)
{
  auto message = DecodeSubmit(aRequest.m_body);
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
                [responder = std::move(aResponder)](SubmitResult aResult) {
                  responder.Send(JsonResponse(200, EncodeSubmitResult(aResult)));
                });
}

void PeerInterface::SyncFleet(const HttpRequest& aRequest, const HttpResponder& aResponder)
{
  const auto question = DecodeFleetQuestion(aRequest.m_body);
  PoolOwner* owner = question ? m_localOwner(question.value().m_pool) : nullptr;
  if (!owner || !owner->IsStaying()) {
    aResponder.Send(JsonResponse(409, R"({"error":"not the owner"})"));
    return;
  }
  aResponder.Send(
    JsonResponse(200, EncodeFleetReport(owner->SyncFleet(question.value().m_cordons))));
}

void PeerInterface::Answer(const HttpRequest& aRequest, HttpResponder aResponder)
{
  const auto question = DecodeQuestion(aRequest.m_body);
  PoolOwner* owner = question ? m_localOwner(question.value().m_pool) : nullptr;
  if (!owner || !owner->IsAuthoritative()) {
    aResponder.Send(JsonResponse(200, EncodeAnswer({})));
    return;
  }
  JobAnswer answer;
  answer.m_isOwner = true;
  if (aRequest.m_path == kPeerCancelPath) {
    owner->Cancel(question.value().m_job,
                  [responder = std::move(aResponder)](std::optional<bool> aIsKnown) {
                    JobAnswer cancelled;
                    cancelled.m_isOwner = aIsKnown.has_value();
                    cancelled.m_isKnown = aIsKnown.value_or(false);
                    responder.Send(JsonResponse(200, EncodeAnswer(cancelled)));
                  });
    return;
  }
  if (aRequest.m_path == kPeerWaitingPath) {
    answer.m_waiting = owner->Scheduler().WaitingJobs(question.value().m_queue);
  } else {
    const auto state = owner->Scheduler().ReportedState(question.value().m_job);
    answer.m_isKnown = state.has_value();
    answer.m_state = state.value_or(job::JobState::Queued);
  }
  aResponder.Send(JsonResponse(200, EncodeAnswer(answer)));
}

} // namespace mustardtray::node
