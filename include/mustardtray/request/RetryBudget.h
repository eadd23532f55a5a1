#pragma once

/// Token bucket that limits retries to a fraction of the successful attempts, so that retries do
/// not amplify an overload or the load on a failing service.

#include <algorithm>

namespace mustardtray {

class RetryBudget
{
public:
  void OnSuccess() { m_tokens = std::min(m_tokens + kTokensPerSuccess, kMaxTokens); }
  /// Takes a token. Returns false if there is none.
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
