#pragma once

/// Token bucket that keeps retries to a part of the successes, so that they never multiply a
/// flood or the load of a service that fails.

#include <algorithm>

namespace mustardtray {

class RetryBudget
{
public:
  void OnSuccess() { m_tokens = std::min(m_tokens + kTokensPerSuccess, kMaxTokens); }
  /// Takes a token if there is one.
  bool Take()
  {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

private:
  static constexpr double kTokensPerSuccess = 0.1;
  static constexpr double kMaxTokens = 10;
  double m_tokens = kMaxTokens;
};

} // namespace mustardtray
