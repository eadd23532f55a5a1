#include "mustardtray/process/ConfigSync.h"

#include <algorithm>

namespace mustardtray {

ConfigSync::ConfigSync(std::vector<std::string> aSeeds)
  : m_seeds(std::move(aSeeds))
{
}

SyncStep ConfigSync::OnPoll()
{
  SyncStep step;
  step.m_readHead = !m_polling;
  m_polling = true;
  ChoosePeer(step);
  return step;
}

SyncStep ConfigSync::OnHead(const Result<ConfigHead>& aHead)
{
  SyncStep step;
  m_polling = false;
  m_platformReachable = aHead.has_value();
  if (!m_platformReachable) {
    ChoosePeer(step);
    ChooseSeed(step);
    return step;
  }
  if (aHead.value().m_version > Version()) {
    m_polling = true;
    step.m_scanSince = m_revision;
  }
  return step;
}

SyncStep ConfigSync::OnScan(const Result<ScanPage>& aPage, std::uint64_t aSince)
{
  SyncStep step;
  m_polling = false;
  if (aPage.has_error()) {
    m_platformReachable = false;
    ChoosePeer(step);
    return step;
  }
  const Result<ConfigDelta> delta = DeltaOfScan(aPage.value(), aSince == 0, m_replica.Head());
  bool wantFull = false;
  step.m_advanced = delta.has_value() && Take(delta.value(), wantFull);
  if (wantFull) {
    m_revision = 0;
  } else if (delta.has_value()) {
    m_revision = std::max(m_revision, aPage.value().m_revision);
  }
  return step;
}

SyncStep ConfigSync::OnPeerVersion(const std::string& aPeer, std::uint64_t aVersion)
{
  SyncStep step;
  m_peerVersions[aPeer] = aVersion;
  ChoosePeer(step);
  return step;
}

SyncStep ConfigSync::OnPeerDelta(const std::string& aPeer, const Result<ConfigDelta>& aDelta)
{
  SyncStep step;
  if (m_fetching == aPeer) {
    m_fetching.clear();
  }
  if (aDelta.has_value()) {
    step.m_advanced = Take(aDelta.value(), m_wantFullFromPeer);
  }
  if (aDelta.has_error() || (!step.m_advanced && !m_wantFullFromPeer)) {
    // Not asked again before it speaks again: a frozen peer must not hold up the others.
    m_peerVersions.erase(aPeer);
  }
  ChoosePeer(step);
  return step;
}

void ConfigSync::OnPeerGone(const std::string& aPeer)
{
  m_peerVersions.erase(aPeer);
}

void ConfigSync::ChoosePeer(SyncStep& aStep)
{
  if (!m_fetching.empty()) {
    return;
  }
  const auto best = std::max_element(
    m_peerVersions.begin(), m_peerVersions.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  if (best != m_peerVersions.end() && best->second > Version()) {
    m_fetching = best->first;
    aStep.m_fetchPeer = m_fetching;
  }
}

void ConfigSync::ChooseSeed(SyncStep& aStep)
{
  if (m_fetching.empty() && !m_seeds.empty()) {
    m_fetching = m_seeds[m_nextSeed++ % m_seeds.size()];
    aStep.m_fetchPeer = m_fetching;
  }
}

bool ConfigSync::Take(const ConfigDelta& aDelta, bool& aWantFull)
{
  const ReplicaUpdate update = m_replica.Apply(aDelta);
  aWantFull = update == ReplicaUpdate::Mismatch;
  return update == ReplicaUpdate::Advanced;
}

} // namespace mustardtray
