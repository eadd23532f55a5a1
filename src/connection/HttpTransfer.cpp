#include "connection/HttpTransfer.h"

#include <algorithm>
#include <string_view>

#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

namespace mustardtray {

namespace {

std::string_view TrimWhitespace(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t\r\n") - first + 1);
}

void SetMethod(CURL* aEasy, const HttpCall& aCall)
{
  if (aCall.m_method == "HEAD") {
    curl_easy_setopt(aEasy, CURLOPT_NOBODY, 1L);
    return;
  }
  const bool isPlainGet = aCall.m_method == "GET" && aCall.m_body.empty();
  if (isPlainGet) {
    return;
  }
  curl_easy_setopt(aEasy, CURLOPT_POST, 1L);
  curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, aCall.m_body.data());
  curl_easy_setopt(
    aEasy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(aCall.m_body.size()));
  curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, aCall.m_method.c_str());
}

bool MustHaveNoBody(const Transfer& aTransfer)
{
  const int status = aTransfer.m_response.m_status;
  return aTransfer.m_call.m_method == "HEAD" || status == 204 || status == 304 || status < 200;
}

HttpCallFailure MakeFailure(const Transfer& aTransfer,
                            ErrorKind aKind,
                            std::string aMessage,
                            bool aNotSent,
                            bool aLacksConnection = false)
{
  return { Error{ aKind, aTransfer.m_call.m_step, aTransfer.m_call.m_url, std::move(aMessage) },
           aNotSent,
           aLacksConnection,
           false };
}

} // namespace

HeaderList MakeHeaderList(const HttpHeaders& aHeaders)
{
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const HttpHeader& header : aHeaders) {
    const std::string line = header.m_value.empty()
                               ? header.m_name + ";"
                               : fmt::format("{}: {}", header.m_name, header.m_value);
    list = curl_slist_append(list, line.c_str());
  }
  return HeaderList(list);
}

void SetOptions(Transfer& aTransfer, const std::string& aLocalAddress)
{
  CURL* easy = aTransfer.m_easy;
  const HttpCall& call = aTransfer.m_call;
  curl_easy_setopt(easy, CURLOPT_URL, call.m_url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aTransfer.m_headers.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &CloseWithReset);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(
    easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.m_connectTimeout.count()));
  if (!aLocalAddress.empty()) {
    curl_easy_setopt(easy, CURLOPT_INTERFACE, ("host!" + aLocalAddress).c_str());
  }
  if (!call.m_caFile.empty()) {
    curl_easy_setopt(easy, CURLOPT_CAINFO, call.m_caFile.c_str());
  }
  if (call.m_freshConnection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  SetMethod(easy, call);
}

std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto* transfer = static_cast<Transfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  if (transfer->m_response.m_body.size() + bytes > transfer->m_call.m_maxResponseBytes) {
    transfer->m_isTooLarge = true;
    return 0;
  }
  transfer->m_response.m_body.append(aData, bytes);
  return bytes;
}

std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto* transfer = static_cast<Transfer*>(aTransfer);
  const std::string_view line(aData, aSize * aCount);
  if (line.starts_with("HTTP/")) {
    transfer->m_response.m_headers.clear();
    transfer->m_hasDeclaredLength = false;
    return line.size();
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return line.size();
  }
  HttpHeader header{ std::string(line.substr(0, colon)),
                     std::string(TrimWhitespace(line.substr(colon + 1))) };
  transfer->m_hasDeclaredLength = transfer->m_hasDeclaredLength ||
                                  EqualsIgnoringCase(header.m_name, "Content-Length") ||
                                  EqualsIgnoringCase(header.m_name, "Transfer-Encoding");
  transfer->m_response.m_headers.push_back(std::move(header));
  return line.size();
}

int OnRequest(void* aTransfer, char* aPeerAddress, char*, int aPeerPort, int aLocalPort)
{
  auto* transfer = static_cast<Transfer*>(aTransfer);
  transfer->m_response.m_connection = transfer->m_connectionNumbers->NumberOf(
    { aPeerAddress, aPeerPort, aLocalPort }, transfer->m_hasOpenedSocket);
  transfer->m_hasOpenedSocket = false;
  const auto& allowed = transfer->m_call.m_allowedConnections;
  if (allowed && !allowed->Contains(transfer->m_response.m_connection)) {
    transfer->m_lacksConnection = true;
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer->m_requestsSent;
  const bool isRepeated = transfer->m_requestsSent > 1;
  return isRepeated && !transfer->m_call.m_isRepeatable ? CURL_PREREQFUNC_ABORT
                                                        : CURL_PREREQFUNC_OK;
}

curl_socket_t OpenSocket(void* aTransfer, curlsocktype, curl_sockaddr* aAddress)
{
  static_cast<Transfer*>(aTransfer)->m_hasOpenedSocket = true;
  return socket(aAddress->family, aAddress->socktype | SOCK_CLOEXEC, aAddress->protocol);
}

int CloseWithReset(void*, curl_socket_t aSocket)
{
  const linger reset{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  return close(aSocket);
}

std::optional<HttpCallFailure> DetermineFailure(const Transfer& aTransfer, CURLcode aCode)
{
  if (aCode == CURLE_OK) {
    if (aTransfer.m_hasDeclaredLength || MustHaveNoBody(aTransfer)) {
      return std::nullopt;
    }
    return MakeFailure(aTransfer, ErrorKind::Unknown, "response without a length", false);
  }
  curl_off_t connectTime = 0;
  long requestBytes = 0;
  curl_easy_getinfo(aTransfer.m_easy, CURLINFO_CONNECT_TIME_T, &connectTime);
  curl_easy_getinfo(aTransfer.m_easy, CURLINFO_REQUEST_SIZE, &requestBytes);
  const bool lacksConnection = aTransfer.m_lacksConnection && aTransfer.m_requestsSent == 0;
  const bool isNotSent =
    lacksConnection || (connectTime == 0 && requestBytes == 0 && aTransfer.m_requestsSent == 0);
  if (aTransfer.m_isTooLarge) {
    return MakeFailure(aTransfer, ErrorKind::Unknown, "response exceeds the size limit", false);
  }
  return MakeFailure(aTransfer,
                     isNotSent ? ErrorKind::Unavailable : ErrorKind::Unknown,
                     lacksConnection ? "no allowed connection is free" : curl_easy_strerror(aCode),
                     isNotSent,
                     lacksConnection);
}

HttpCallFailure MakeLinkBusyFailure(const Transfer& aTransfer)
{
  HttpCallFailure failure =
    MakeFailure(aTransfer, ErrorKind::Unavailable, "the link is busy", true);
  failure.m_isLinkBusy = true;
  return failure;
}

void CountTraffic(const Transfer& aTransfer, bool aIsAbandoned, TrafficMeter& aMeter)
{
  long requestBytes = 0;
  long headerBytes = 0;
  curl_off_t uploaded = 0;
  curl_off_t downloaded = 0;
  curl_easy_getinfo(aTransfer.m_easy, CURLINFO_REQUEST_SIZE, &requestBytes);
  curl_easy_getinfo(aTransfer.m_easy, CURLINFO_HEADER_SIZE, &headerBytes);
  curl_easy_getinfo(aTransfer.m_easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  curl_easy_getinfo(aTransfer.m_easy, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
  const HttpCall& call = aTransfer.m_call;
  // The size of the request includes what was sent of the body together with the header.
  aMeter.Add(call.m_kind.empty() ? call.m_step : call.m_kind,
             static_cast<std::uint64_t>(std::max<curl_off_t>(requestBytes, uploaded)),
             static_cast<std::uint64_t>(headerBytes + downloaded),
             aIsAbandoned);
}

} // namespace mustardtray
