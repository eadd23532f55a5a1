#pragma once

/// The operators' HTTP interface: routes under /operator/, JSON in and out. Served on its own
/// listener (OperatorListener); the callers' listener has none of these routes.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/ApplyOperation.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/version/CompiledConfiguration.h"

namespace mustardtray {

/// What is known of one entry VM.
struct NodeStatus
{
  std::string m_node;
  std::string m_zone;
  std::uint64_t m_version = 0; ///< Configuration in force there, as last heard.
  Millis m_heardAgo{ 0 };
  bool m_isAlive = true; ///< Heard from lately.
};

struct FleetStatus
{
  std::string m_node; ///< That answers.
  std::uint64_t m_version = 0;
  bool m_platformReachable = false;
  std::vector<NodeStatus> m_nodes; ///< With the one that answers.
};

/// What the interface works on; called on the control thread. A hook that is not set is answered
/// as refused.
struct OperatorHooks
{
  std::function<void(ApplyRequest, std::function<void(ApplyOutcome)>)> m_apply;
  std::function<void(std::size_t, Callback<std::vector<Json>>)> m_history;
  std::function<void(const std::string&, Callback<std::optional<std::uint64_t>>)> m_findOperation;
  std::function<Json()> m_document; ///< Configuration that this node has.
  std::function<CompiledConfigurationPointer()> m_compiled;
  std::function<FleetStatus()> m_status;
  std::function<std::vector<std::string>(const std::string&)> m_explainVm;
  std::function<void(const std::string&, const std::string&, Callback<std::string>)> m_drain;
  std::function<void(const std::string&, Callback<std::string>)> m_release;
  std::function<void(const Selector&, const std::string&, Callback<std::string>)> m_maintain;
  /// Wave and what to do with it: "pause", "resume" or "cancel".
  std::function<void(const std::string&, const std::string&, Callback<std::string>)> m_wave;
  /// Progress of a wave, as JSON; null for one that is not known here.
  std::function<Json(const std::string&)> m_waveProgress;
};

class OperatorInterface
{
public:
  explicit OperatorInterface(OperatorHooks aHooks)
    : m_hooks(std::move(aHooks))
  {
  }

  /// Answers a request that has passed the access check.
  void Handle(const HttpRequest& aRequest, const HttpResponder& aResponder) const;

private:
  void Apply(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void Config(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void History(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void Operation(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void Status(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void Explain(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void Drain(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void Release(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void Maintain(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void Wave(const HttpRequest& aRequest, const HttpResponder& aResponder) const;
  void WaveProgress(const HttpRequest& aRequest, const HttpResponder& aResponder) const;

  struct Route;
  static const std::vector<Route>& Routes();

  OperatorHooks m_hooks;
};

Json ToJson(const FleetStatus& aStatus);

/// HTTP status for an error.
int StatusOf(ErrorKind aKind);
/// {"kind", "message"} with the error's HTTP status.
HttpResponse ErrorResponse(const Error& aError);

/// Why a VM is in its pool, which services it runs, and what else its labels would match.
std::vector<std::string> ExplainPlacement(const CompiledConfiguration& aCompiled,
                                          const std::string& aVm);
/// Where a service runs and what its budget allows. Empty for an unknown service.
std::vector<std::string> ExplainService(const CompiledConfiguration& aCompiled,
                                        const std::string& aService);
/// Which service and queue takes a request, and why none does.
std::vector<std::string> ExplainRequest(const CompiledConfiguration& aCompiled,
                                        const std::string& aMethod,
                                        const std::string& aPath);

} // namespace mustardtray
