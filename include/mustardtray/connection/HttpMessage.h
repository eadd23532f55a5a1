#pragma once

/// HTTP requests and responses, independent of the types of the HTTP libraries in use.

#include <cstdint>
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

/// Returns the value of the first header with that name, compared case-insensitively, or nullptr.
const std::string* FindHeader(const HttpHeaders& aHeaders, std::string_view aName);
bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

/// A completely received request.
struct HttpRequest
{
  std::string m_method;
  std::string m_path;  ///< Without the query; percent-encoded.
  std::string m_query; ///< Without the question mark.
  HttpHeaders m_headers;
  std::string m_body;
  std::string m_peer; ///< IP address and port of the client.

  const std::string* Header(std::string_view aName) const { return FindHeader(m_headers, aName); }
  /// Returns the percent-decoded value of the first query parameter with that name; an empty string
  /// when it has no value.
  std::optional<std::string> QueryValue(std::string_view aName) const;
};

struct HttpResponse
{
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;
  /// Set by HttpClient: the connection that it came on; see ConnectionNumbers.
  std::uint64_t m_connection = 0;

  const std::string* Header(std::string_view aName) const { return FindHeader(m_headers, aName); }
};

/// Makes a response with a JSON body.
HttpResponse JsonResponse(int aStatus, std::string aJsonText);

} // namespace mustardtray
