#include "process/PeerMessenger.h"

#include "mustardtray/process/Log.h"

namespace mustardtray {

void PeerMessenger::Send(const std::string& aPeerUrl, const std::string& aHeartbeatText)
{
  if (!m_inFlightPeers.insert(aPeerUrl).second) {
    return;
  }
  HttpCall call;
  call.m_step = "send heartbeat";
  call.m_method = "POST";
  call.m_url = aPeerUrl + std::string(kHeartbeatPath);
  call.m_headers.push_back({ "Content-Type", "application/json" });
  call.m_body = aHeartbeatText;
  call.m_timeout = m_timeout;
  call.m_connectTimeout = m_timeout;
  m_bytes += aHeartbeatText.size();
  m_http.Start(std::move(call),
               [this, aPeerUrl, sent = MonotonicNow()](const HttpCallResult& aResult) {
                 OnResponse(aPeerUrl, aResult, sent);
               });
}

void PeerMessenger::OnResponse(const std::string& aPeerUrl,
                               const HttpCallResult& aResult,
                               TimePoint aSent)
{
  m_inFlightPeers.erase(aPeerUrl);
  if (aResult.has_error()) {
    if (m_unreachablePeers.insert(aPeerUrl).second) {
      Log(LogCategory::Membership,
          LogLevel::Warning,
          "peer-unreachable",
          "peer",
          aPeerUrl,
          "error",
          aResult.error().m_error.Text());
    }
    return;
  }
  if (m_unreachablePeers.erase(aPeerUrl) > 0) {
    Log(LogCategory::Membership, LogLevel::Info, "peer-reachable", "peer", aPeerUrl);
  }
  m_bytes += aResult.value().m_body.size();
  const Result<Heartbeat> heartbeat =
    ParseHeartbeat(Json::parse(aResult.value().m_body, nullptr, false));
  if (heartbeat.has_value()) {
    m_onHeartbeat(heartbeat.value(), MonotonicNow() - aSent);
  }
}

} // namespace mustardtray
