#include "connection/HttpTransfer.h"

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

bool MustHaveNoBody(const Transfer& aTransfer)
{
  const int status = aTransfer.m_response.m_status;
  return aTransfer.m_call.m_method == "HEAD" || status == 204 || status == 304 || status < 200;
}

} // namespace mustardtray
