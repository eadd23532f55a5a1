#include "node/AccessGate.h"

#include "mustardtray/process/Log.h"
#include "node/GatewayResponses.h"
#include "platform/Messages.h"

namespace mustardtray::node {

namespace {

/// Callers with a wrong key would otherwise fill the log.
constexpr std::size_t kMaxLinesPerSecond = 5;
constexpr Millis kLogPeriod{ 1'000 };

} // namespace

AccessGate::AccessGate(NodeContext& aContext, ConfigurationRelay& aRelay)
  : m_context(aContext)
  , m_relay(aRelay)
{
}

job::AccessInput AccessGate::MakeInput(bool aIsQueuePublic,
                                       const std::optional<std::string>& aKey) const
{
  job::AccessInput input;
  input.m_isQueuePublic = aIsQueuePublic;
  input.m_key = aKey;
  input.m_account = aKey ? m_context.m_accountKeys.FindAccount(*aKey) : std::nullopt;
  input.m_viewAge = ConfigurationAge(m_context);
  input.m_isRevocationStrict = m_context.m_settings.m_bounds.m_isRevocationStrict;
  input.m_maxRevocationDelay = m_context.m_settings.m_bounds.m_maxRevocationDelay;
  return input;
}

void AccessGate::Check(bool aIsQueuePublic,
                       const HttpRequest& aRequest,
                       std::function<void(const Verdict&)> aDone)
{
  if (!AreAccountsEnforced(m_context)) {
    aDone({});
    return;
  }
  const std::optional<std::string> key = platform::DecodeApiKey(aRequest);
  const job::AccessInput input = MakeInput(aIsQueuePublic, key);
  const job::Access access = job::DecideAccess(input);
  if (access == job::Access::Granted) {
    aDone(Grant(input));
    return;
  }
  if (access != job::Access::Unconfirmed) {
    aDone(Refuse(input, access));
    return;
  }
  m_relay.AwaitConfirmation(
    aRequest.m_body.size(),
    [this, aIsQueuePublic, key, done = std::move(aDone), alive = std::weak_ptr<int>(m_alive)](
      bool) {
      if (alive.expired()) {
        done({ {}, Unavailable("stopping") });
        return;
      }
      // Without a confirmation the decision is the same as before, unless the key has been added.
      const job::AccessInput again = MakeInput(aIsQueuePublic, key);
      const job::Access decision = job::DecideAccess(again);
      done(decision == job::Access::Granted ? Grant(again) : Refuse(again, decision));
    });
}

AccessGate::Verdict AccessGate::Grant(const job::AccessInput& aInput) const
{
  return { { true, aInput.m_account.value_or(std::string{}) }, std::nullopt };
}

AccessGate::Verdict AccessGate::Refuse(const job::AccessInput& aInput, job::Access aAccess)
{
  LogRefusal(aInput, aAccess);
  if (aAccess == job::Access::Unauthorized) {
    return { {}, Unauthorized() };
  }
  return { {}, Unavailable("the configuration cannot be confirmed") };
}

void AccessGate::LogRefusal(const job::AccessInput& aInput, job::Access aAccess)
{
  const TimePoint now = LeaseClockNow();
  if (now - m_logSecondBeganAt >= kLogPeriod) {
    m_logSecondBeganAt = now;
    m_linesInSecond = 0;
  }
  if (m_linesInSecond >= kMaxLinesPerSecond) {
    ++m_unloggedRefusals;
    return;
  }
  ++m_linesInSecond;
  Log(LogCategory::Routing,
      LogLevel::Info,
      "access-refused",
      "reason",
      ToName(aAccess),
      "key",
      aInput.m_key ? job::KeyLabel(*aInput.m_key) : "none",
      "account",
      aInput.m_account.value_or("none"),
      "view-age-ms",
      aInput.m_viewAge.count(),
      "config",
      m_context.m_deployment.m_version,
      "not-logged",
      m_unloggedRefusals);
  m_unloggedRefusals = 0;
}

} // namespace mustardtray::node
