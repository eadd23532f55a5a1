#pragma once

/// The operators' HTTP interface: routes under /operator/ with JSON requests and responses. It is
/// served by its own listener (OperatorListener); the callers' listener has none of these routes.

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

/// Status of one entry VM as the responding node knows it.
struct NodeStatus
{
  std::string m_node;
  std::string m_zone;
  std::uint64_t m_version = 0; ///< Active configuration in the last heartbeat.
  Millis m_timeSinceHeard{ 0 };
  bool m_isAlive = true; ///< A heartbeat arrived lately.
};

struct FleetStatus
{
  std::string m_node; ///< The responding node.
  std::uint64_t m_version = 0;
  bool m_isPlatformReachable = false;
  std::vector<NodeStatus> m_nodes; ///< Includes the responding node.
};

/// Functions that the interface calls on the control thread. A request that needs a hook that is
/// not set gets the error "refused".
struct OperatorHooks
{
  std::function<void(ApplyRequest, std::function<void(ApplyOutcome)>)> m_apply;
  std::function<void(std::size_t, Callback<std::vector<Json>>)> m_history;
  std::function<void(const std::string&, Callback<std::optional<std::uint64_t>>)> m_findOperation;
  std::function<Json()> m_document; ///< The configuration document of this node.
  std::function<CompiledConfigurationPointer()> m_compiled;
  std::function<FleetStatus()> m_status;
  std::function<std::vector<std::string>(const std::string&)> m_explainVm;
  std::function<void(const std::string&, const std::string&, Callback<std::string>)> m_drain;
  std::function<void(const std::string&, Callback<std::string>)> m_release;
  std::function<void(const Selector&, const std::string&, Callback<std::string>)> m_maintain;
  /// Takes the wave and the action: "pause", "resume" or "cancel".
  std::function<void(const std::string&, const std::string&, Callback<std::string>)> m_wave;
  /// Progress of a wave as JSON; null for an unknown wave.
  std::function<Json(const std::string&)> m_waveProgress;
};

class OperatorInterface
{
public:
  explicit OperatorInterface(OperatorHooks aHooks)
    : m_hooks(std::move(aHooks))
  {
  }

  /// Handles a request that has passed the access check.
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

/// HTTP status for an error of the given kind.
int StatusOf(ErrorKind aKind);
/// Response with {"kind", "message"} as its body and the HTTP status for the error's kind.
HttpResponse ErrorResponse(const Error& aError);

/// Explains why a VM is in its pool and which services it runs. Empty for an unknown VM.
std::vector<std::string> ExplainPlacement(const CompiledConfiguration& aCompiled,
                                          const std::string& aVm);
/// Explains where a service runs and what its budget allows. Empty for an unknown service.
std::vector<std::string> ExplainService(const CompiledConfiguration& aCompiled,
                                        const std::string& aService);
/// Explains which service and queue accept a request, or why none does.
std::vector<std::string> ExplainRequest(const CompiledConfiguration& aCompiled,
                                        const std::string& aMethod,
                                        const std::string& aPath);

} // namespace mustardtray
