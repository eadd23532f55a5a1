#include "request/HeaderFilter.h"

#include <algorithm>
#include <array>

namespace mustardtray {

namespace {

constexpr std::string_view kMustardtrayPrefix = "Mustardtray-";

constexpr std::array kConnectionHeaders{
  std::string_view("Connection"),
  std::string_view("Keep-Alive"),
  std::string_view("Proxy-Connection"),
  std::string_view("Proxy-Authenticate"),
  std::string_view("TE"),
  std::string_view("Trailer"),
  std::string_view("Transfer-Encoding"),
  std::string_view("Upgrade"),
  std::string_view("Content-Length"),
  std::string_view("Host"),
  std::string_view("Expect"),
};

bool IsConnectionHeader(std::string_view aName)
{
  return std::any_of(kConnectionHeaders.begin(),
                     kConnectionHeaders.end(),
                     [&](std::string_view aOther) { return EqualsIgnoringCase(aName, aOther); });
}

bool IsMustardtrayHeader(std::string_view aName)
{
  return EqualsIgnoringCase(aName.substr(0, kMustardtrayPrefix.size()), kMustardtrayPrefix);
}

/// True if the Connection header lists this header as specific to the connection.
bool IsListedInConnection(const HttpHeaders& aHeaders, std::string_view aName)
{
  const std::string* connection = FindHeader(aHeaders, "Connection");
  std::string_view rest = connection ? std::string_view(*connection) : std::string_view();
  while (!rest.empty()) {
    std::string_view token = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(rest.size(), token.size() + 1));
    token.remove_prefix(std::min(token.size(), token.find_first_not_of(' ')));
    if (EqualsIgnoringCase(token, aName)) {
      return true;
    }
  }
  return false;
}

HttpHeaders FilterHeaders(const HttpHeaders& aHeaders, bool aKeepMustardtray)
{
  HttpHeaders kept;
  for (const HttpHeader& header : aHeaders) {
    const bool isDropped = IsConnectionHeader(header.m_name) ||
                           IsListedInConnection(aHeaders, header.m_name) ||
                           (!aKeepMustardtray && IsMustardtrayHeader(header.m_name));
    if (!isDropped) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace

HttpHeaders EndToEndHeaders(const HttpHeaders& aHeaders)
{
  return FilterHeaders(aHeaders, false);
}

HttpHeaders RelayedHeaders(const HttpHeaders& aHeaders)
{
  return FilterHeaders(aHeaders, true);
}

} // namespace mustardtray
