#include "mustardtray/job/AdviceCache.h"

#include <algorithm>

namespace mustardtray::job {

namespace {

/// Pending requests of one pool. The advisor handles a node's requests one after the other and
/// refuses more when 32 calls of all nodes are waiting.
constexpr std::size_t kMaxPendingRequests = 3;
constexpr Millis kRetryDelay{ 250 };
/// The ticket must still be valid when the start order with it arrives.
constexpr Millis kTicketMargin{ 150 };

} // namespace

const std::string* AdviceCache::FindTicket(const std::string& aStep,
                                           const std::string& aMinion,
                                           TimePoint aNow) const
{
  const auto step = m_steps.find(aStep);
  if (step == m_steps.end()) {
    return nullptr;
  }
  const auto cached = step->second.m_minions.find(aMinion);
  const bool isValid = cached != step->second.m_minions.end() && !cached->second.m_ticket.empty() &&
                       aNow < cached->second.m_validUntil;
  return isValid ? &cached->second.m_ticket : nullptr;
}

AdviceRequest AdviceCache::BeginRequest(const std::string& aStep,
                                        const std::vector<std::string>& aCandidates,
                                        std::size_t aMaxMinions,
                                        TimePoint aNow)
{
  AdviceRequest adviceRequest{ aStep, {} };
  StepAdvice& step = m_steps[aStep];
  if (step.m_isRequestPending || aNow < step.m_retryAt ||
      m_pendingRequests >= kMaxPendingRequests) {
    return adviceRequest;
  }
  for (const std::string& minion : aCandidates) {
    const auto cached = step.m_minions.find(minion);
    // The policy does not change, so the advisor is not asked again about a minion that may not run
    // the step.
    const bool isAnswered = cached != step.m_minions.end() &&
                            (cached->second.m_ticket.empty() || aNow < cached->second.m_validUntil);
    if (!isAnswered && adviceRequest.m_minions.size() < aMaxMinions) {
      adviceRequest.m_minions.push_back(minion);
    }
  }
  if (!adviceRequest.m_minions.empty()) {
    step.m_isRequestPending = true;
    ++m_pendingRequests;
  }
  return adviceRequest;
}

void AdviceCache::OnResponse(const AdviceRequest& aRequest,
                             const Advice& aAdvice,
                             TimePoint aAskedAt)
{
  --m_pendingRequests;
  const auto found = m_steps.find(aRequest.m_step);
  if (found == m_steps.end()) {
    return;
  }
  StepAdvice& step = found->second;
  step.m_isRequestPending = false;
  for (const std::string& minion : aRequest.m_minions) {
    step.m_minions[minion] = {};
  }
  for (const AllowedMinion& allowed : aAdvice.m_allowedMinions) {
    step.m_minions[allowed.m_id] = { allowed.m_ticket,
                                     aAskedAt + aAdvice.m_validFor - kTicketMargin };
  }
}

void AdviceCache::OnRequestFailed(const AdviceRequest& aRequest, TimePoint aNow)
{
  --m_pendingRequests;
  const auto found = m_steps.find(aRequest.m_step);
  if (found != m_steps.end()) {
    found->second.m_isRequestPending = false;
    found->second.m_retryAt = aNow + kRetryDelay;
  }
}

void AdviceCache::DropTicket(const std::string& aStep, const std::string& aMinion)
{
  const auto found = m_steps.find(aStep);
  if (found != m_steps.end()) {
    found->second.m_minions.erase(aMinion);
  }
}

void AdviceCache::ForgetMinion(const std::string& aMinion)
{
  for (auto& [name, step] : m_steps) {
    step.m_minions.erase(aMinion);
  }
}

} // namespace mustardtray::job
