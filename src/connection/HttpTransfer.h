#pragma once

/// One call of the HTTP client in progress, and libcurl's callbacks for it.

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include <curl/curl.h>

#include "connection/ConnectionNumbers.h"
#include "mustardtray/connection/HttpClient.h"

namespace mustardtray {

struct HeaderListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

HeaderList MakeHeaderList(const HttpHeaders& aHeaders);

/// The state of one call in progress.
struct Transfer
{
  HttpClient::CallId m_id = 0;
  HttpCall m_call;
  HttpCallback m_callback;
  HttpResponse m_response;
  HeaderList m_headers;
  CURL* m_easy = nullptr;
  std::chrono::steady_clock::time_point m_deadline{};
  bool m_isWaitingForLink = false;
  std::function<void(bool)> m_onLink; ///< Set: it only reserves the link; see AwaitLink().
  std::size_t m_reservedBytes = 0;    ///< With m_onLink.
  bool m_hasDeclaredLength = false;   ///< The response has a Content-Length or a Transfer-Encoding.
  bool m_isTooLarge = false;
  int m_requestsSent = 0;
  ConnectionNumbers* m_connectionNumbers = nullptr;
  bool m_hasOpenedSocket = false; ///< It does not use an idle connection.
  bool m_lacksConnection = false; ///< See HttpCallFailure.
};

/// Sets libcurl's options for the call.
void SetOptions(Transfer& aTransfer, const std::string& aLocalAddress);
/// libcurl's callback for a part of the response's body. aTransfer is the Transfer.
std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer);
/// libcurl's callback for a line of the response's header. aTransfer is the Transfer.
std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer);
/// libcurl's callback before it sends the request on a connection. aTransfer is the Transfer.
int OnRequest(void* aTransfer, char* aPeerAddress, char*, int aPeerPort, int aLocalPort);
/// libcurl's callback that creates the socket of a new connection. aTransfer is the Transfer.
curl_socket_t OpenSocket(void* aTransfer, curlsocktype, curl_sockaddr* aAddress);
/// Closes with a reset. A plain close lets the kernel deliver unsent data long after the call was
/// aborted: an order that was delayed by a network partition must not arrive when it heals.
int CloseWithReset(void*, curl_socket_t aSocket);
/// Returns why a call whose transfer has ended has no response, or nothing when it has one.
std::optional<HttpCallFailure> DetermineFailure(const Transfer& aTransfer, CURLcode aCode);
HttpCallFailure MakeLinkBusyFailure(const Transfer& aTransfer);
void CountTraffic(const Transfer& aTransfer, bool aIsAbandoned, TrafficMeter& aMeter);

} // namespace mustardtray
