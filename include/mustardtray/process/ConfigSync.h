#pragma once

/// Decides how one node learns the configuration: from the platform's table by polling the head
/// and scanning what changed, and from peers that claim a higher version. No I/O inside; see
/// ConfigAgent for the shell. The version only ever grows (ConfigReplica).

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/ConfigReplica.h"

namespace mustardtray {

/// What the shell has to do now.
struct SyncStep
{
  bool m_readHead = false;
  std::optional<std::uint64_t> m_scanSince; ///< Table revision to scan from; 0 for everything.
  std::string m_fetchPeer;                  ///< Peer to ask for a delta; empty for none.
  bool m_advanced = false;                  ///< Replica() is at a higher version.
};

class ConfigSync
{
public:
  /// aSeeds are asked in turn while the platform can't be reached.
  explicit ConfigSync(std::vector<std::string> aSeeds = {});

  const ConfigReplica& Replica() const { return m_replica; }
  std::uint64_t Version() const { return m_replica.Version(); }
  /// False while the latest poll of the platform failed.
  bool IsPlatformReachable() const { return m_platformReachable; }

  /// The poll period is over.
  SyncStep OnPoll();
  /// The head row was read; a missing row is a head of version 0.
  SyncStep OnHead(const Result<ConfigHead>& aHead);
  /// A scan from table revision aSince ended.
  SyncStep OnScan(const Result<ScanPage>& aPage, std::uint64_t aSince);
  /// A peer said which version it has.
  SyncStep OnPeerVersion(const std::string& aPeer, std::uint64_t aVersion);
  /// A peer answered, or failed to.
  SyncStep OnPeerDelta(const std::string& aPeer, const Result<ConfigDelta>& aDelta);
  /// The peer has left.
  void OnPeerGone(const std::string& aPeer);
  /// Version to ask a peer's delta from; 0 asks for everything.
  std::uint64_t PeerSince() const { return m_wantFullFromPeer ? 0 : Version(); }

private:
  /// Asks the peer with the highest version, if it is above this node's.
  void ChoosePeer(SyncStep& aStep);
  void ChooseSeed(SyncStep& aStep);
  bool Take(const ConfigDelta& aDelta, bool& aWantFull);

  ConfigReplica m_replica;
  std::vector<std::string> m_seeds;
  std::size_t m_nextSeed = 0;
  std::map<std::string, std::uint64_t> m_peerVersions;
  std::string m_fetching; ///< Peer that was asked and has not answered.
  bool m_wantFullFromPeer = false;
  bool m_platformReachable = false;
  bool m_polling = false; ///< A read or scan is under way.
  std::uint64_t m_revision = 0;
};

} // namespace mustardtray
