#pragma once

/// Cache of the placement advisor's answers: which minions may run which step, with the tickets
/// that prove it. The advisor handles a node's requests one after the other and takes time for each
/// minion named, while a burst brings many steps at once.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// A minion that may run a step, with the ticket that its start orders must carry as a proof.
struct AllowedMinion
{
  std::string m_id;
  std::string m_ticket;
};

/// The advisor's answer.
struct Advice
{
  std::vector<AllowedMinion> m_allowedMinions;
  Millis m_validFor{ 0 };
};

/// Asks the advisor which of the listed minions may run a step.
struct AdviceRequest
{
  std::string m_step; ///< Job, occurrence and step number.
  std::vector<std::string> m_minions;
};

class AdviceCache
{
public:
  /// Returns the ticket for a step on a minion, or nullptr when there is no valid one.
  const std::string* FindTicket(const std::string& aStep,
                                const std::string& aMinion,
                                TimePoint aNow) const;
  /// Returns the request to send now, about the first candidates without a cached answer, and marks
  /// it as pending. The request names no minions when all answers are cached or too many requests
  /// are pending. aCandidates is sorted by preference; aMaxMinions limits the minions in the
  /// request.
  AdviceRequest BeginRequest(const std::string& aStep,
                             const std::vector<std::string>& aCandidates,
                             std::size_t aMaxMinions,
                             TimePoint aNow);
  void OnResponse(const AdviceRequest& aRequest, const Advice& aAdvice, TimePoint aAskedAt);
  void OnRequestFailed(const AdviceRequest& aRequest, TimePoint aNow);
  /// Removes a ticket that the minion refused.
  void DropTicket(const std::string& aStep, const std::string& aMinion);
  /// Removes all answers about a minion that has restarted: they no longer apply.
  void ForgetMinion(const std::string& aMinion);
  void ForgetStep(const std::string& aStep) { m_steps.erase(aStep); }

private:
  struct CachedAnswer
  {
    std::string m_ticket; ///< Empty when the minion may not run the step.
    TimePoint m_validUntil{};
  };
  struct StepAdvice
  {
    std::map<std::string, CachedAnswer> m_minions;
    bool m_isRequestPending = false;
    TimePoint m_retryAt{};
  };

  std::map<std::string, StepAdvice> m_steps;
  std::size_t m_pendingRequests = 0;
};

} // namespace mustardtray::job
