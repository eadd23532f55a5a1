#pragma once

/// Decides how one node gets the configuration: from the platform's table, by polling the head row
/// and scanning the changes, and from peers that report a higher version. No I/O; ConfigAgent
/// performs it. The version never decreases (ConfigReplica).

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/ConfigReplica.h"

namespace mustardtray {

/// The I/O that ConfigAgent has to perform next.
struct SyncStep
{
  bool m_readHead = false;
  std::optional<std::uint64_t> m_scanSince; ///< Table revision to scan from; 0 for everything.
  std::string m_fetchPeer;                  ///< Peer to fetch a delta from; empty for none.
  bool m_hasAdvanced = false;               ///< Replica() has reached a higher version.
};

class ConfigSync
{
public:
  /// aSeeds are URLs of peers to ask in turn while the platform cannot be reached.
  explicit ConfigSync(std::vector<std::string> aSeeds = {});

  const ConfigReplica& Replica() const { return m_replica; }
  std::uint64_t Version() const { return m_replica.Version(); }
  /// Whether the latest poll of the platform succeeded.
  bool IsPlatformReachable() const { return m_isPlatformReachable; }

  /// A poll is due.
  SyncStep OnPoll();
  /// Reading the head row succeeded or failed. A missing row is passed as a head of version 0.
  SyncStep OnHead(const Result<ConfigHead>& aHead);
  /// A scan from table revision aSince succeeded or failed.
  SyncStep OnScan(const Result<ScanPage>& aPage, std::uint64_t aSince);
  /// A peer reported its version.
  SyncStep OnPeerVersion(const std::string& aPeer, std::uint64_t aVersion);
  /// Fetching a delta from a peer succeeded or failed.
  SyncStep OnPeerDelta(const std::string& aPeer, const Result<ConfigDelta>& aDelta);
  /// The peer has left the fleet.
  void OnPeerGone(const std::string& aPeer);
  /// Version to request a peer's delta from; 0 requests a full delta.
  std::uint64_t PeerSince() const { return m_needsFullDelta ? 0 : Version(); }

private:
  /// Selects the peer with the highest version, if that is above this node's version.
  void ChoosePeer(SyncStep& aStep);
  void ChooseSeed(SyncStep& aStep);
  bool ApplyDelta(const ConfigDelta& aDelta, bool& aNeedsFullScan);

  ConfigReplica m_replica;
  std::vector<std::string> m_seeds;
  std::size_t m_nextSeed = 0;
  std::map<std::string, std::uint64_t> m_peerVersions;
  std::string m_fetchPeerInFlight; ///< Peer of the pending fetch; empty when there is none.
  bool m_needsFullDelta = false;
  bool m_isPlatformReachable = false;
  bool m_isReadingTable = false; ///< A read or scan of the table is pending.
  std::uint64_t m_revision = 0;
};

} // namespace mustardtray
