#pragma once

/// Sends heartbeats to other entry VMs.

#include <functional>
#include <set>
#include <string>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/Heartbeat.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

inline constexpr std::string_view kHeartbeatPath = "/peer/heartbeat";

/// Used on the control thread only. Must outlive the calls that it starts.
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

  /// Sends a heartbeat to a peer's URL unless the previous one to it is still in flight.
  void Send(const std::string& aPeerUrl, const std::string& aHeartbeatText);

  /// Total size of the bodies sent and received, for metrics.
  std::uint64_t Bytes() const { return m_bytes; }

private:
  void OnResponse(const std::string& aPeerUrl, const HttpCallResult& aResult, TimePoint aSent);

  HttpClient& m_http;
  Millis m_timeout;
  OnHeartbeat m_onHeartbeat;
  std::set<std::string> m_inFlightPeers;    ///< URLs of peers with a heartbeat in flight.
  std::set<std::string> m_unreachablePeers; ///< URLs of peers whose last heartbeat failed.
  std::uint64_t m_bytes = 0;
};

} // namespace mustardtray
