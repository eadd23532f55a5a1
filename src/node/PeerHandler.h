#pragma once

/// Handles requests of other nodes: jobs that they forward, queries about jobs, and the cordons
/// that the node with the lease for machine orders sends.

#include <functional>

#include "mustardtray/connection/HttpServer.h"
#include "node/JobGateway.h"
#include "node/LinkLoad.h"

namespace mustardtray::node {

class PeerHandler
{
public:
  /// aOnReleased: called when another node has released a pool, possibly to this node.
  PeerHandler(LocalOwner aLocalOwner,
              const ConfigurationRelay& aRelay,
              const LinkLoad& aLinkLoad,
              std::function<void()> aOnReleased);

  void Handle(const HttpRequest& aRequest, HttpResponder aResponder);

private:
  void HandleSubmit(const HttpRequest& aRequest, HttpResponder aResponder);
  void HandleAdmission(const HttpRequest& aRequest, const HttpResponder& aResponder);
  void SendSubmitResult(SubmitResult aResult, const HttpResponder& aResponder) const;
  void HandleAdoption(const HttpRequest& aRequest, HttpResponder aResponder);
  void HandleRoomRequest(const HttpRequest& aRequest, const HttpResponder& aResponder);
  void HandleFleetSync(const HttpRequest& aRequest, const HttpResponder& aResponder);
  void HandleJobQuery(const HttpRequest& aRequest, HttpResponder aResponder);

  LocalOwner m_localOwner;
  const ConfigurationRelay& m_relay;
  const LinkLoad& m_linkLoad;
  std::function<void()> m_onReleased;
};

} // namespace mustardtray::node
