#pragma once

/// HTTP requests and answers as the rest of the program sees them, free of any library's types.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardtray {

struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Value of the first header with that name, without regard to case; nullptr when there is none.
const std::string* FindHeader(const HttpHeaders& aHeaders, std::string_view aName);
bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

/// A request that came in whole.
struct HttpRequest
{
  std::string m_method;
  std::string m_path;  ///< Without the query, still percent-encoded.
  std::string m_query; ///< Without the question mark.
  HttpHeaders m_headers;
  std::string m_body;
  std::string m_peer; ///< IP address and port of the sender.

  const std::string* Header(std::string_view aName) const { return FindHeader(m_headers, aName); }
  /// Percent-decoded value of one query parameter.
  std::optional<std::string> QueryValue(std::string_view aName) const;
};

struct HttpResponse
{
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;

  const std::string* Header(std::string_view aName) const { return FindHeader(m_headers, aName); }
};

/// An answer with a JSON body.
HttpResponse JsonResponse(int aStatus, std::string aJsonText);

} // namespace mustardtray
