#pragma once

/// Tickets of the placement advisor: which minions may run which step. Load that it answers: an
/// advisor that decides one question of a node after the other and takes time for each minion
/// named, while a turn brings many steps at once.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// A minion that may run a step, and the proof of it that its starts have to carry.
struct AdvisedMinion
{
  std::string m_id;
  std::string m_ticket;
};

/// The advisor's answer.
struct Advice
{
  std::vector<AdvisedMinion> m_good;
  Millis m_validFor{ 0 };
};

/// Which of some minions may run a step.
struct AdviceQuestion
{
  std::string m_step; ///< Job, occurrence and step number.
  std::vector<std::string> m_minions;
};

class AdviceBook
{
public:
  /// The ticket for a step on a minion; nullptr when there is none that is valid.
  const std::string* Ticket(const std::string& aStep,
                            const std::string& aMinion,
                            TimePoint aNow) const;
  /// The question to ask now about the first of the candidates whose answer is not known; without
  /// minions when there is nothing to ask, or when the advisor is busy with this node's questions.
  /// aCandidates: the likeliest first. aMost: minions to name, at most.
  AdviceQuestion Ask(const std::string& aStep,
                     const std::vector<std::string>& aCandidates,
                     std::size_t aMost,
                     TimePoint aNow);
  void OnAnswer(const AdviceQuestion& aQuestion, const Advice& aAdvice, TimePoint aAskedAt);
  void OnFailed(const AdviceQuestion& aQuestion, TimePoint aNow);
  /// The minion refused the ticket.
  void Drop(const std::string& aStep, const std::string& aMinion);
  /// The minion has started anew: what was said of it does not hold any more.
  void ForgetMinion(const std::string& aMinion);
  void ForgetStep(const std::string& aStep) { m_steps.erase(aStep); }

private:
  struct Known
  {
    std::string m_ticket; ///< Empty: the minion may not run the step.
    TimePoint m_validUntil{};
  };
  struct StepAdvice
  {
    std::map<std::string, Known> m_minions;
    bool m_isAsking = false;
    TimePoint m_notBefore{};
  };

  std::map<std::string, StepAdvice> m_steps;
  std::size_t m_asking = 0;
};

} // namespace mustardtray::job
