#include "mustardtray/job/AdviceBook.h"

#include <algorithm>

namespace mustardtray::job {

namespace {

/// Pending requests of one pool. The advisor handles a node's requests one after the other and
/// refuses more when 32 calls of all nodes are waiting.
constexpr std::size_t kMaxQuestions = 3;
constexpr Millis kRetryPause{ 250 };
/// The ticket must still be valid when the start order with it arrives.
constexpr Millis kTicketMargin{ 150 };

} // namespace

const std::string* AdviceBook::Ticket(const std::string& aStep,
                                      const std::string& aMinion,
                                      TimePoint aNow) const
{
  const auto step = m_steps.find(aStep);
  if (step == m_steps.end()) {
    return nullptr;
  }
  const auto known = step->second.m_minions.find(aMinion);
  const bool isValid = known != step->second.m_minions.end() && !known->second.m_ticket.empty() &&
                       aNow < known->second.m_validUntil;
  return isValid ? &known->second.m_ticket : nullptr;
}

AdviceQuestion AdviceBook::Ask(const std::string& aStep,
                               const std::vector<std::string>& aCandidates,
                               std::size_t aMost,
                               TimePoint aNow)
{
  AdviceQuestion question{ aStep, {} };
  StepAdvice& step = m_steps[aStep];
  if (step.m_isAsking || aNow < step.m_notBefore || m_asking >= kMaxQuestions) {
    return question;
  }
  for (const std::string& minion : aCandidates) {
    const auto known = step.m_minions.find(minion);
    // The policy does not change, so the advisor is not asked again about a minion that may not run
    // the step.
    const bool isAnswered = known != step.m_minions.end() &&
                            (known->second.m_ticket.empty() || aNow < known->second.m_validUntil);
    if (!isAnswered && question.m_minions.size() < aMost) {
      question.m_minions.push_back(minion);
    }
  }
  if (!question.m_minions.empty()) {
    step.m_isAsking = true;
    ++m_asking;
  }
  return question;
}

void AdviceBook::OnAnswer(const AdviceQuestion& aQuestion,
                          const Advice& aAdvice,
                          TimePoint aAskedAt)
{
  --m_asking;
  const auto found = m_steps.find(aQuestion.m_step);
  if (found == m_steps.end()) {
    return;
  }
  StepAdvice& step = found->second;
  step.m_isAsking = false;
  for (const std::string& minion : aQuestion.m_minions) {
    step.m_minions[minion] = {};
  }
  for (const AdvisedMinion& good : aAdvice.m_good) {
    step.m_minions[good.m_id] = { good.m_ticket, aAskedAt + aAdvice.m_validFor - kTicketMargin };
  }
}

void AdviceBook::OnFailed(const AdviceQuestion& aQuestion, TimePoint aNow)
{
  --m_asking;
  const auto found = m_steps.find(aQuestion.m_step);
  if (found != m_steps.end()) {
    found->second.m_isAsking = false;
    found->second.m_notBefore = aNow + kRetryPause;
  }
}

void AdviceBook::Drop(const std::string& aStep, const std::string& aMinion)
{
  const auto found = m_steps.find(aStep);
  if (found != m_steps.end()) {
    found->second.m_minions.erase(aMinion);
  }
}

void AdviceBook::ForgetMinion(const std::string& aMinion)
{
  for (auto& [name, step] : m_steps) {
    step.m_minions.erase(aMinion);
  }
}

} // namespace mustardtray::job
