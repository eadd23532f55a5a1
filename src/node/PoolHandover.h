#pragma once

/// Hands the pools of a stopping node over. With restarts in series, all other nodes may be
/// leaving, too; work would then be lost with its leases if the node released its pools to nobody.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node/FleetOrderController.h"
#include "node/Membership.h"
#include "node/NodeContext.h"
#include "node/PoolOwner.h"

namespace mustardtray::node {

/// What a node owns. The functions return nullptr for what it does not own any more.
struct OwnedParts
{
  std::function<PoolOwner*(const std::string& aPool)> m_findOwner;
  std::function<FleetOrderController*()> m_findOrderController;
};

class PoolHandover
{
public:
  using ReleasedCallback = std::function<void(const std::string& aPool)>;

  /// aDeadline: pools that no node could take by then are released all the same.
  PoolHandover(NodeContext& aContext,
               Membership& aMembership,
               OwnedParts aParts,
               TimePoint aDeadline,
               ReleasedCallback aOnReleased);

  /// Hands a pool over as soon as there is a node that can take it. The owner goes on until then;
  /// when it has to wait again after it was drained, it still extends the leases of what runs.
  void HandOverPool(const std::string& aPool);
  void HandOverMachineOrders();

private:
  /// Calls aAction after a while.
  void Retry(const std::string& aPool, std::function<void()> aAction);
  void Release(const job::OwnerRow& aClaim);

  NodeContext& m_context;
  Membership& m_membership;
  OwnedParts m_parts;
  TimePoint m_deadline;
  ReleasedCallback m_onReleased;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::map<std::string, TimerHandle> m_retryTimers; ///< By pool.
};

} // namespace mustardtray::node
