#ifndef KUMQUATMOOR_STATE_LIMITS_H_
#define KUMQUATMOOR_STATE_LIMITS_H_

// Limits on requests: a token bucket for rates and a budget for retries.
//
//   TokenBucket bucket({.rate = 50, .burst = 5});
//   if (!bucket.Take(now)) return Refuse();
//
// Time is an argument. Not thread-safe; each proxy thread owns its own.

#include <algorithm>
#include <chrono>

namespace kumquatmoor {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

struct TokenBucketOptions {
  double rate = 1;   // Tokens per second.
  double burst = 1;  // Tokens that an idle bucket holds.
};

class TokenBucket {
 public:
  explicit TokenBucket(TokenBucketOptions options)
      : m_options(options), m_tokens(options.burst) {}

  // True, and one token less, if there is one.
  bool Take(TimePoint now) {
    Refill(now);
    if (m_tokens < 1) return false;
    m_tokens -= 1;
    return true;
  }

 private:
  void Refill(TimePoint now) {
    const std::chrono::duration<double> passed = now - m_refilled;
    m_refilled = now;
    if (passed.count() <= 0) return;
    m_tokens =
        std::min(m_options.burst, m_tokens + passed.count() * m_options.rate);
  }

  TokenBucketOptions m_options;
  double m_tokens;
  TimePoint m_refilled;
};

// Allows retries in proportion to first tries, so that under a total outage
// requests are multiplied by at most 1 + `ratio`, apart from `reserve`.
struct RetryBudgetOptions {
  double ratio = 0.1;   // Retries earned by each first try.
  double reserve = 10;  // Retries that can be saved up.
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options)
      : m_options(options), m_balance(options.reserve) {}

  // Later limits; what was saved up beyond them is lost.
  void SetOptions(RetryBudgetOptions options) {
    m_options = options;
    m_balance = std::min(m_balance, options.reserve);
  }

  void OnFirstAttempt() {
    m_balance = std::min(m_options.reserve, m_balance + m_options.ratio);
  }

  // True, and one retry less, if one is left.
  bool TakeRetry() {
    if (m_balance < 1) return false;
    m_balance -= 1;
    return true;
  }

 private:
  RetryBudgetOptions m_options;
  double m_balance;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_LIMITS_H_
