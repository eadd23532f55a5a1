#pragma once

/// Sends heartbeats to other entry VMs and fetches configurations from them.

#include <functional>
#include <set>
#include <string>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/Heartbeat.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

inline constexpr std::string_view kHeartbeatPath = "/peer/heartbeat";

/// Lives on the control thread.
class PeerMessenger
{
public:
  using OnHeartbeat = std::function<void(const Heartbeat&, Micros aRoundTrip)>;

  PeerMessenger(HttpClient& aHttp, Millis aTimeout, OnHeartbeat aOnHeartbeat)
    : m_http(aHttp)
    , m_timeout(aTimeout)
    , m_onHeartbeat(std::move(aOnHeartbeat))
  {
  }

  /// Sends one heartbeat to a peer's URL, unless the last one to it is still under way.
  void Send(const std::string& aPeerUrl, const std::string& aHeartbeatText);

  /// Bytes of bodies sent and received, for metrics.
  std::uint64_t Bytes() const { return m_bytes; }

private:
  void OnAnswer(const std::string& aPeerUrl, const HttpCallResult& aResult, TimePoint aSent);

  HttpClient& m_http;
  Millis m_timeout;
  OnHeartbeat m_onHeartbeat;
  std::set<std::string> m_underWay; ///< Peer URLs.
  std::set<std::string> m_silent;   ///< Peer URLs whose last heartbeat failed.
  std::uint64_t m_bytes = 0;
};

} // namespace mustardtray
