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
  step.m_readHead = !m_isReadingTable;
  m_isReadingTable = true;
  ChoosePeer(step);
  return step;
}

SyncStep ConfigSync::OnHead(const Result<ConfigHead>& aHead)
{
  SyncStep step;
  m_isReadingTable = false;
  m_isPlatformReachable = aHead.has_value();
  if (!m_isPlatformReachable) {
    ChoosePeer(step);
    ChooseSeed(step);
    return step;
  }
  if (aHead.value().m_version > Version()) {
    m_isReadingTable = true;
    step.m_scanSince = m_revision;
  }
  return step;
}

SyncStep ConfigSync::OnScan(const Result<ScanPage>& aPage, std::uint64_t aSince)
{
  SyncStep step;
  m_isReadingTable = false;
  if (aPage.has_error()) {
    m_isPlatformReachable = false;
    ChoosePeer(step);
    return step;
  }
  const Result<ConfigDelta> delta = DeltaOfScan(aPage.value(), aSince == 0, m_replica.Head());
  bool needsFullScan = false;
  step.m_hasAdvanced = delta.has_value() && ApplyDelta(delta.value(), needsFullScan);
  if (needsFullScan) {
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
  if (m_fetchPeerInFlight == aPeer) {
    m_fetchPeerInFlight.clear();
  }
  if (aDelta.has_value()) {
    step.m_hasAdvanced = ApplyDelta(aDelta.value(), m_needsFullDelta);
  }
  if (aDelta.has_error() || (!step.m_hasAdvanced && !m_needsFullDelta)) {
    // Ignore this peer until it reports a version again, so that a frozen peer cannot block fetches
    // from the others.
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
  if (!m_fetchPeerInFlight.empty()) {
    return;
  }
  const auto best = std::max_element(
    m_peerVersions.begin(), m_peerVersions.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  if (best != m_peerVersions.end() && best->second > Version()) {
    m_fetchPeerInFlight = best->first;
    aStep.m_fetchPeer = m_fetchPeerInFlight;
  }
}

void ConfigSync::ChooseSeed(SyncStep& aStep)
{
  if (m_fetchPeerInFlight.empty() && !m_seeds.empty()) {
    m_fetchPeerInFlight = m_seeds[m_nextSeed++ % m_seeds.size()];
    aStep.m_fetchPeer = m_fetchPeerInFlight;
  }
}

bool ConfigSync::ApplyDelta(const ConfigDelta& aDelta, bool& aNeedsFullScan)
{
  const ReplicaUpdate update = m_replica.Apply(aDelta);
  aNeedsFullScan = update == ReplicaUpdate::Mismatch;
  return update == ReplicaUpdate::Advanced;
}

} // namespace mustardtray
