#include "node/PoolHandover.h"

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

/// Between checks whether there is a node that can take over pools.
constexpr Millis kRetryDelay{ 50 };

} // namespace

PoolHandover::PoolHandover(NodeContext& aContext,
                           Membership& aMembership,
                           OwnedParts aParts,
                           TimePoint aDeadline,
                           ReleasedCallback aOnReleased)
  : m_context(aContext)
  , m_membership(aMembership)
  , m_parts(std::move(aParts))
  , m_deadline(aDeadline)
  , m_onReleased(std::move(aOnReleased))
{
}

void PoolHandover::Retry(const std::string& aPool, std::function<void()> aAction)
{
  m_retryTimers[aPool] = m_context.m_timers.After(kRetryDelay, std::move(aAction));
}

void PoolHandover::HandOverPool(const std::string& aPool)
{
  PoolOwner* owner = m_parts.m_findOwner(aPool);
  if (!owner) {
    return;
  }
  if (!m_membership.ShouldHandOver(m_deadline)) {
    Retry(aPool, [this, aPool] { HandOverPool(aPool); });
    return;
  }
  owner->Drain([this, aPool, alive = std::weak_ptr<int>(m_alive)] {
    PoolOwner* drained = alive.expired() ? nullptr : m_parts.m_findOwner(aPool);
    if (!drained) {
      return;
    }
    // The node that could take the pool may have begun to leave meanwhile.
    if (!m_membership.ShouldHandOver(m_deadline)) {
      Retry(aPool, [this, aPool] { HandOverPool(aPool); });
      return;
    }
    drained->EndLeases();
    Release(drained->Claim());
  });
}

void PoolHandover::HandOverMachineOrders()
{
  FleetOrderController* controller = m_parts.m_findOrderController();
  if (!controller) {
    return;
  }
  if (!m_membership.ShouldHandOver(m_deadline)) {
    Retry(kFleetPartition, [this] { HandOverMachineOrders(); });
    return;
  }
  controller->Drain([this, alive = std::weak_ptr<int>(m_alive)] {
    const FleetOrderController* drained =
      alive.expired() ? nullptr : m_parts.m_findOrderController();
    if (drained) {
      Release(drained->Claim());
    }
  });
}

void PoolHandover::Release(const job::OwnerRow& aClaim)
{
  m_membership.ReleasePool(
    aClaim,
    [this, pool = aClaim.m_pool, alive = std::weak_ptr<int>(m_alive)](
      const std::string& aSuccessor) {
      Log(LogCategory::Membership, LogLevel::Info, "pool-released", "pool", pool, "to", aSuccessor);
      if (!alive.expired()) {
        m_onReleased(pool);
      }
    });
}

} // namespace mustardtray::node
