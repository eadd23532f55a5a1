#pragma once

/// HTTP client for the operators' interface of the entry VMs.

#include <optional>
#include <string>
#include <vector>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/ApplyOperation.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"

namespace mustardtray {

struct OperatorEndpoint
{
  std::vector<std::string> m_urls; ///< Entry VMs, tried in turn until one responds.
  std::string m_token;             ///< Bearer token; empty sends none.
  std::string m_caFile;            ///< For https; empty uses the system's certificate authorities.
};

/// The response of an entry VM.
struct OperatorResponse
{
  int m_status = 0; ///< HTTP status code.
  Json m_body;
  std::string m_url; ///< URL of the entry VM that responded.

  bool IsOk() const { return m_status == 200; }
  /// The error message in the body, or the status code when there is none.
  std::string Message() const;
};

class OperatorClient
{
public:
  explicit OperatorClient(OperatorEndpoint aEndpoint)
    : m_endpoint(std::move(aEndpoint))
  {
  }

  /// Errors: Unavailable when no entry VM could be reached; Unknown when one may have processed the
  /// request.
  Result<OperatorResponse> Get(const std::string& aPath) const;
  Result<OperatorResponse> Post(const std::string& aPath, const Json& aBody) const;
  /// Sends a change and retries with the same operation id while its outcome is unknown. The
  /// outcome may still be unknown in the returned response.
  Result<OperatorResponse> Apply(ApplyRequest aRequest) const;

private:
  Result<OperatorResponse> Call(const std::string& aMethod,
                                const std::string& aPath,
                                const std::string& aBody) const;

  OperatorEndpoint m_endpoint;
};

/// Generates a unique operation id.
std::string GenerateOperationId();
/// Name of the user who runs the client, as recorded in the history; empty when USER is not set.
std::string CurrentUserName();
/// Percent-encodes the value of a query parameter.
std::string EncodeQueryValue(std::string_view aText);

} // namespace mustardtray
