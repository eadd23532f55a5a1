#include "node/ConfigurationRelay.h"

#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

#include "mustardtray/process/Log.h"
#include "node/PeerMessages.h"
#include "platform/Messages.h"

namespace mustardtray::node {

using nlohmann::json;

namespace {

constexpr Millis kTickPeriod{ 50 };
/// Longer than the interval between calls, so that one peer without an answer delays no other.
constexpr Millis kPeerTimeout{ 600 };
constexpr Millis kReadTimeout{ 400 };
/// Limits the reads that requests with unknown keys cause to 20 per second.
constexpr Micros kReadInterval{ 50'000 };
/// Limits of the requests that wait for a confirmation; a node may have 160 MB of memory.
constexpr std::size_t kMaxWaiters = 500;
constexpr std::size_t kMaxWaitingBytes = 4'000'000;

struct PeerAnswer
{
  std::uint64_t m_version = 0;
  std::string m_text;          ///< Empty when the asking node has this version.
  std::optional<Millis> m_age; ///< Since the peer's latest confirmation.
};

std::optional<PeerAnswer> DecodePeerAnswer(const std::string& aBody)
{
  try {
    const json in = json::parse(aBody);
    PeerAnswer answer;
    answer.m_version = in.at("version").get<std::uint64_t>();
    answer.m_text = in.value("text", std::string{});
    if (const auto age = in.find("age-ms"); age != in.end()) {
      answer.m_age = Millis(age->get<Millis::rep>());
    }
    // A negative age would confirm the configuration for the future.
    return answer.m_age && answer.m_age->count() < 0 ? std::nullopt : std::optional(answer);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace

ConfigurationRelay::ConfigurationRelay(NodeContext& aContext,
                                       LivePeers aLivePeers,
                                       std::function<void()> aOnChanged)
  : m_context(aContext)
  , m_livePeers(std::move(aLivePeers))
  , m_onChanged(std::move(aOnChanged))
  , m_storeAnsweredAt(LeaseClockNow())
  , m_tickTimer(aContext.m_timers.Every(kTickPeriod, 0, [this] { OnTick(); }))
{
}

void ConfigurationRelay::Apply(const std::string& aText, const std::string& aSource)
{
  auto deployment = platform::DecodeDeployment(aText);
  if (!deployment) {
    Log(LogCategory::Configuration,
        LogLevel::Error,
        "configuration-unreadable",
        "from",
        aSource,
        "error",
        deployment.error().Text());
    return;
  }
  // Ignores older versions: a delayed response may be older than the current configuration.
  if (deployment.value().m_version <= m_context.m_deployment.m_version) {
    return;
  }
  m_context.m_deployment = std::move(deployment.value());
  m_context.m_accountKeys = job::AccountKeys(m_context.m_deployment.m_accounts);
  m_text = AreAccountsEnforced(m_context) ? aText : std::string{};
  Log(LogCategory::Configuration,
      LogLevel::Info,
      "configuration-in-force",
      "version",
      m_context.m_deployment.m_version,
      "queues",
      m_context.m_deployment.m_queues.size(),
      "accounts",
      m_context.m_deployment.m_accounts.size(),
      "from",
      aSource);
  m_onChanged();
}

void ConfigurationRelay::OnStoreAnswer(TimePoint aAskedAt)
{
  m_storeAnsweredAt = LeaseClockNow();
  if (m_isRelaying) {
    m_isRelaying = false;
    Log(LogCategory::Configuration, LogLevel::Info, "configuration-relay-ended");
  }
  Confirm(aAskedAt);
}

void ConfigurationRelay::Confirm(TimePoint aAt)
{
  m_context.m_configurationConfirmedAt = std::max(m_context.m_configurationConfirmedAt, aAt);
  if (ConfigurationAge(m_context) > job::kMaxUnknownKeyViewAge) {
    return;
  }
  std::list<Waiter> waiters = std::move(m_waiters);
  m_waiters.clear();
  m_waitingBytes = 0;
  for (Waiter& waiter : waiters) {
    waiter.m_timeout.Cancel();
    waiter.m_done(true);
  }
}

// Other nodes.

void ConfigurationRelay::OnTick()
{
  const TimePoint now = LeaseClockNow();
  if (!AreAccountsEnforced(m_context) || now - m_storeAnsweredAt < kMaxFeedSilence ||
      now - m_peerAskedAt < kRelayCallInterval) {
    return;
  }
  AskNextPeer();
}

void ConfigurationRelay::AskNextPeer()
{
  const std::vector<std::string> peers = m_livePeers();
  if (peers.empty()) {
    return;
  }
  if (!m_isRelaying) {
    m_isRelaying = true;
    Log(LogCategory::Configuration,
        LogLevel::Warning,
        "configuration-relay-began",
        "version",
        m_context.m_deployment.m_version,
        "view-age-ms",
        ConfigurationAge(m_context).count(),
        "peers",
        peers.size());
  }
  const std::string peer = peers[m_nextPeer++ % peers.size()];
  const TimePoint askedAt = LeaseClockNow();
  m_peerAskedAt = askedAt;
  m_context.m_http.Start(
    MakePeerCall(peer,
                 kPeerConfigurationPath,
                 json{ { "version", m_context.m_deployment.m_version } }.dump(),
                 kPeerTimeout),
    [this, peer, askedAt, alive = std::weak_ptr<int>(m_alive)](HttpCallResult aResult) {
      if (!alive.expired() && aResult && aResult.value().m_status == 200) {
        OnPeerAnswer(peer, aResult.value().m_body, askedAt);
      }
    });
}

void ConfigurationRelay::OnPeerAnswer(const std::string& aPeer,
                                      const std::string& aBody,
                                      TimePoint aAskedAt)
{
  const std::optional<PeerAnswer> answer = DecodePeerAnswer(aBody);
  if (!answer) {
    return;
  }
  if (!answer->m_text.empty()) {
    Apply(answer->m_text, aPeer);
  }
  // A peer with an older configuration, or a text that cannot be used, confirms nothing.
  if (answer->m_age && answer->m_version == m_context.m_deployment.m_version) {
    Confirm(aAskedAt - *answer->m_age);
  }
}

std::string ConfigurationRelay::AnswerPeer(const std::string& aRequest) const
{
  const json request = json::parse(aRequest, nullptr, false);
  std::uint64_t known = 0;
  if (request.is_object() && request.contains("version") &&
      request["version"].is_number_unsigned()) {
    known = request["version"].get<std::uint64_t>();
  }
  json answer{ { "version", m_context.m_deployment.m_version } };
  if (known < m_context.m_deployment.m_version) {
    answer["text"] = m_text;
  }
  if (m_context.m_configurationConfirmedAt != TimePoint{}) {
    answer["age-ms"] = ConfigurationAge(m_context).count();
  }
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Requests that wait for a confirmation.

void ConfigurationRelay::AwaitConfirmation(std::size_t aBytes, std::function<void(bool)> aDone)
{
  if (m_waiters.size() >= kMaxWaiters || m_waitingBytes + aBytes > kMaxWaitingBytes) {
    aDone(false);
    return;
  }
  const auto waiter = m_waiters.insert(m_waiters.end(), { aBytes, std::move(aDone), {} });
  m_waitingBytes += aBytes;
  waiter->m_timeout = m_context.m_timers.After(kConfirmationTimeout, [this, waiter] {
    const std::function<void(bool)> done = std::move(waiter->m_done);
    m_waitingBytes -= waiter->m_bytes;
    m_waiters.erase(waiter);
    done(false);
  });
  ReadFromStore();
}

void ConfigurationRelay::ReadFromStore()
{
  if (m_isReading || m_readTimer.IsActive() || m_waiters.empty()) {
    return;
  }
  const TimePoint now = LeaseClockNow();
  if (now - m_readAt < kReadInterval) {
    m_readTimer = m_context.m_timers.After(kReadInterval - (now - m_readAt), [this] {
      m_readTimer.Cancel();
      ReadFromStore();
    });
    return;
  }
  m_isReading = true;
  m_readAt = now;
  const std::string key = platform::kDeploymentKey;
  m_context.m_store.Read(
    { platform::kOperatorTable, "", key },
    key + '\0',
    kReadTimeout,
    [this, now, alive = std::weak_ptr<int>(m_alive)](Result<platform::RowPage> aPage) {
      if (alive.expired()) {
        return;
      }
      m_isReading = false;
      if (aPage) {
        for (const platform::Row& row : aPage.value().m_rows) {
          Apply(row.m_value, "store");
        }
        OnStoreAnswer(now);
      }
      ReadFromStore();
    });
}

} // namespace mustardtray::node
