#pragma once

/// Callers that hand in jobs through any node, ask for their states, cancel some and note what they
/// were told: for the soak.

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/TimerService.h"
#include "tests/soak/Promises.h"

namespace mustardtray::soak {

class Callers
{
public:
  /// aNodes: addresses (IP and port) for callers. aQueues: path prefixes.
  Callers(asio::io_context& aContext,
          TimerService& aTimers,
          Promises& aPromises,
          std::uint64_t aSeed,
          std::vector<std::string> aNodes,
          std::vector<std::string> aQueues);

  void Begin();
  /// Hands in nothing new and cancels what lasts; states are asked for on.
  void StopSubmitting();

private:
  struct Submission
  {
    std::string m_id;
    std::string m_path;
    std::string m_body;
    int m_attempt = 0;
    bool m_isLasting = false;
  };

  void SubmitNext();
  void Send(const Submission& aSubmission);
  void OnAnswer(Submission aSubmission, const HttpCallResult& aResult);
  void AskStates();
  void CancelJob(const std::string& aId);
  void Later(Micros aDelay, std::function<void()> aCall);
  void Call(const char* aMethod, const std::string& aPath, std::string aBody, HttpCallback aDone);
  int Draw(int aLeast, int aMost);

  TimerService& m_timers;
  Promises& m_promises;
  HttpClient m_http;
  std::mt19937_64 m_random;
  std::vector<std::string> m_nodes;
  std::vector<std::string> m_queues;
  std::map<std::string, std::string> m_paths; ///< Of accepted jobs.
  std::vector<std::string> m_lasting;
  bool m_isSubmitting = true;
  std::uint64_t m_count = 0;
  TimerHandle m_submitTimer;
  TimerHandle m_askTimer;
  std::map<std::uint64_t, TimerHandle> m_later;
  std::uint64_t m_laterCount = 0;
};

} // namespace mustardtray::soak
