#pragma once

/// Keeps the configuration in force and the time of its latest confirmation. A node that the store
/// does not answer asks other nodes; a request with an unknown key can ask for a confirmation.

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "node/NodeContext.h"

namespace mustardtray::node {

/// Longest wait of one poll of the operator's rows where accounts are enforced. Each answer
/// confirms the configuration as of the time when the poll was sent.
inline constexpr Millis kConfigurationPollWait{ 250 };
/// Time without an answer of the store after which other nodes are asked.
inline constexpr Millis kMaxFeedSilence{ 400 };
/// Between calls to other nodes.
inline constexpr Millis kRelayCallInterval{ 200 };
/// How long a request with an unknown key waits for a confirmation.
inline constexpr Millis kConfirmationTimeout{ 500 };

class ConfigurationRelay
{
public:
  /// Peer addresses of the other live nodes, in the order in which they are asked.
  using LivePeers = std::function<std::vector<std::string>()>;

  /// aOnChanged: called when another configuration is in force.
  ConfigurationRelay(NodeContext& aContext, LivePeers aLivePeers, std::function<void()> aOnChanged);
  ConfigurationRelay(const ConfigurationRelay&) = delete;
  ConfigurationRelay& operator=(const ConfigurationRelay&) = delete;

  /// Puts a stored configuration in force unless it is unreadable or not newer. aSource: where it
  /// comes from, for the log.
  void Apply(const std::string& aText, const std::string& aSource);
  /// Called for each answer of the store to a read of the operator's rows, after their Apply().
  /// aAskedAt: when the read was sent.
  void OnStoreAnswer(TimePoint aAskedAt);

  /// Calls aDone with true once the configuration is confirmed (see job::kMaxUnknownKeyViewAge),
  /// with false when that takes longer than kConfirmationTimeout or too many requests wait.
  /// aBytes: memory that the waiting request holds.
  void AwaitConfirmation(std::size_t aBytes, std::function<void(bool)> aDone);

  /// Answers a request of another node for the configuration.
  std::string AnswerPeer(const std::string& aRequest) const;

private:
  struct Waiter
  {
    std::size_t m_bytes = 0;
    std::function<void(bool)> m_done;
    TimerHandle m_timeout;
  };

  void OnTick();
  void AskNextPeer();
  void OnPeerAnswer(const std::string& aPeer, const std::string& aBody, TimePoint aAskedAt);
  /// Records that the configuration in force was the newest one at a time.
  void Confirm(TimePoint aAt);
  void ReadFromStore();

  NodeContext& m_context;
  LivePeers m_livePeers;
  std::function<void()> m_onChanged;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  std::string m_text; ///< Stored form of the configuration in force.
  TimePoint m_storeAnsweredAt;
  TimePoint m_peerAskedAt{};
  std::size_t m_nextPeer = 0;
  bool m_isRelaying = false; ///< Other nodes are asked, for the log.
  std::list<Waiter> m_waiters;
  std::size_t m_waitingBytes = 0;
  bool m_isReading = false;
  TimePoint m_readAt{};
  TimerHandle m_readTimer;
  TimerHandle m_tickTimer;
};

} // namespace mustardtray::node
