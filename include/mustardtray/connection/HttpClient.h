#pragma once

/// HTTP/1.1 client that runs libcurl's multi interface on one io_context.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/CallPriority.h"
#include "mustardtray/connection/ConnectionSet.h"
#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/connection/TrafficMeter.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// One outgoing request.
struct HttpCall
{
  std::string m_method = "GET";
  std::string m_url; ///< Absolute; the host is an IP address with a port.
  HttpHeaders m_headers;
  std::string m_body;
  /// From the time when the request is handed to the link to the last byte of the response, beyond
  /// the time that the link needs for the request.
  Millis m_timeout{ 5'000 };
  CallPriority m_priority = CallPriority::Immediate;
  bool m_isLinkReserved = false; ///< HttpClient::AwaitLink() has counted the request.
  /// Longest wait for the link, of calls that are not immediate.
  Millis m_maxLinkWait{ 1'000 };
  Millis m_connectTimeout{ 1'000 }; ///< For establishing the connection.
  /// Opens a new connection for this call, so that the request is sent at most once. Required for a
  /// request that is not idempotent: libcurl resends a request when the peer has closed the
  /// connection that it reused.
  bool m_freshConnection = false;
  /// False: the call fails when libcurl would send its request a second time, because a reused
  /// connection broke before the response.
  bool m_isRepeatable = true;
  /// If set, the request is sent on one of these connections, or the call fails without sending it.
  std::shared_ptr<const ConnectionSet> m_allowedConnections;
  std::uint64_t m_maxResponseBytes = 64u << 20;
  std::string m_step = "http call"; ///< Step that is named in errors.
  std::string m_kind;               ///< For TrafficMeter; empty: m_step.
  std::string m_caFile;             ///< For https: PEM file of the trusted certificate authority.
};

/// Why a call has no response.
struct HttpCallFailure
{
  Error m_error;
  /// True when no connection was established or no allowed one was free, so the peer cannot have
  /// received the request.
  bool m_isNotSent = false;
  /// None of HttpCall::m_allowedConnections was free; another one was closed.
  bool m_lacksConnection = false;
  bool m_isLinkBusy = false; ///< The call has waited for the link for HttpCall::m_maxLinkWait.
};

using HttpCallResult = boost::outcome_v2::
  basic_result<HttpResponse, HttpCallFailure, boost::outcome_v2::policy::terminate>;
using HttpCallback = std::function<void(HttpCallResult)>;

/// Makes calls on one io_context; all member functions and callbacks run on its thread. Only
/// complete responses are delivered; a truncated one is an error of kind Unknown.
class HttpClient
{
public:
  /// aLocalAddress is the local IP address that connections are bound to; empty lets the system
  /// choose. aLinkBytesPerSecond: speed of the link that the requests share; 0: no limit.
  explicit HttpClient(asio::io_context& aContext,
                      std::string aLocalAddress = {},
                      double aLinkBytesPerSecond = 0);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  using CallId = std::uint64_t;
  CallId Start(HttpCall aCall, HttpCallback aCallback);
  /// Aborts a call and closes its connection without invoking the callback. Does nothing when the
  /// call has already finished.
  void Cancel(CallId aId);
  /// Reserves the link for a request, which is then to be sent at once. Calls aDone with false when
  /// the link has no room within aMaxWait. For requests that must not hold a connection meanwhile.
  /// aDone may be called before AwaitLink() returns.
  void AwaitLink(CallPriority aPriority,
                 std::size_t aBytes,
                 Millis aMaxWait,
                 std::function<void(bool)> aDone);
  /// Time after which a call of low priority would have been sent.
  Micros LinkDelay() const;
  /// Number of calls in progress.
  std::size_t Running() const;
  /// Traffic of the calls that have ended. Servers of the same node may add theirs.
  TrafficMeter& Traffic();

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

/// Makes one call and blocks until it has finished. Used by the operator client and by tests.
HttpCallResult CallAndWait(HttpCall aCall);

} // namespace mustardtray
