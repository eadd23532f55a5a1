#pragma once

/// Calls the operators' interface of any entry VM.

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
  std::vector<std::string> m_urls; ///< Entry VMs, asked in turn until one answers.
  std::string m_token;             ///< Empty sends none.
  std::string m_caFile;            ///< For https; empty takes the system's authorities.
};

/// What an entry VM answered.
struct OperatorAnswer
{
  int m_status = 0;
  Json m_body;
  std::string m_url; ///< That answered.

  bool IsOk() const { return m_status == 200; }
  /// The error's message in the body.
  std::string Message() const;
};

class OperatorClient
{
public:
  explicit OperatorClient(OperatorEndpoint aEndpoint)
    : m_endpoint(std::move(aEndpoint))
  {
  }

  /// Errors: Unavailable when no entry VM could be reached; Unknown when one may have done what was
  /// asked.
  Result<OperatorAnswer> Get(const std::string& aPath) const;
  Result<OperatorAnswer> Post(const std::string& aPath, const Json& aBody) const;
  /// Sends a change, and asks again under the same operation id while its outcome is unknown. The
  /// last answer may still say so.
  Result<OperatorAnswer> Apply(ApplyRequest aRequest) const;

private:
  Result<OperatorAnswer> Call(const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aBody) const;

  OperatorEndpoint m_endpoint;
};

/// A fresh id for one operation.
std::string MintOperationId();
/// Name of the user who runs the client; for the history.
std::string UserName();
/// Percent-encodes a query value.
std::string QueryEncoded(std::string_view aText);

} // namespace mustardtray
