#pragma once

/// Checks the API key of callers' requests. Requests with a key that may have been added since the
/// configuration was last confirmed wait for a confirmation.

#include <functional>
#include <memory>
#include <optional>

#include "mustardtray/connection/HttpMessage.h"
#include "node/ConfigurationRelay.h"
#include "node/NodeContext.h"

namespace mustardtray::node {

class AccessGate
{
public:
  AccessGate(NodeContext& aContext, ConfigurationRelay& aRelay);

  /// The caller, or the response to a request that is not handled.
  struct Verdict
  {
    job::Caller m_caller;
    std::optional<HttpResponse> m_refusal;
  };
  /// Calls aDone at once or, when the configuration has to be confirmed first, within
  /// kConfirmationTimeout.
  void Check(bool aIsQueuePublic,
             const HttpRequest& aRequest,
             std::function<void(const Verdict&)> aDone);

private:
  job::AccessInput MakeInput(bool aIsQueuePublic, const std::optional<std::string>& aKey) const;
  Verdict Grant(const job::AccessInput& aInput) const;
  Verdict Refuse(const job::AccessInput& aInput, job::Access aAccess);
  /// Logs a refusal; at most kMaxLinesPerSecond, with the number of those that were left out.
  void LogRefusal(const job::AccessInput& aInput, job::Access aAccess);

  NodeContext& m_context;
  ConfigurationRelay& m_relay;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  TimePoint m_logSecondBeganAt{};
  std::size_t m_linesInSecond = 0;
  std::size_t m_unloggedRefusals = 0;
};

} // namespace mustardtray::node
