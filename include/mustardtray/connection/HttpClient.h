#pragma once

/// HTTP/1.1 client: libcurl's multi interface driven by one io_context.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// One outgoing request.
struct HttpCall
{
  std::string m_method = "GET";
  std::string m_url; ///< With scheme, IP number and port.
  HttpHeaders m_headers;
  std::string m_body;
  Millis m_timeout{ 5'000 };        ///< From now to the last byte of the answer.
  Millis m_connectTimeout{ 1'000 }; ///< For the connection alone.
  /// Takes a new connection and never resends: a request that is not idempotent must not ride on
  /// a reused connection, because libcurl repeats a request whose reused connection was closed.
  bool m_freshConnection = false;
  std::uint64_t m_maxAnswerBytes = 64u << 20;
  std::string m_step = "http call"; ///< Stands in errors.
  std::string m_caFile;             ///< For https: certificate authority to trust.
};

/// How a call ended.
struct HttpCallFailure
{
  Error m_error;
  /// True when no connection was made, so the peer cannot have seen the request.
  bool m_notSent = false;
};

using HttpCallResult = boost::outcome_v2::
  basic_result<HttpResponse, HttpCallFailure, boost::outcome_v2::policy::terminate>;
using HttpCallback = std::function<void(HttpCallResult)>;

/// Makes calls on one io_context; all members and callbacks run on its thread. An answer is passed
/// on only when it is whole; a short one is an error of kind Unknown.
class HttpClient
{
public:
  /// aLocalAddress, when given, is the IP number that connections come from.
  explicit HttpClient(asio::io_context& aContext, std::string aLocalAddress = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  using CallId = std::uint64_t;
  CallId Start(HttpCall aCall, HttpCallback aCallback);
  /// Ends a call and its connection without calling back.
  void Cancel(CallId aId);
  std::size_t Running() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

/// Makes one call and waits for it: for the operators' client and for tests.
HttpCallResult CallAndWait(HttpCall aCall);

} // namespace mustardtray
