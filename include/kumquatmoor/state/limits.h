#ifndef KUMQUATMOOR_STATE_LIMITS_H_
#define KUMQUATMOOR_STATE_LIMITS_H_

// Limits on requests: a token bucket for rates and a budget for retries.
//
//   TokenBucket bucket({.rate = 50, .burst = 5});
//   if (!bucket.Take(now)) return Refuse();
//
//   RetryBudget budget({.ratio = 0.1, .reserve = 10});
//   budget.OnFirstAttempt();
//   ...
//   if (failed && budget.TakeRetry()) Retry();
//
// Time is an argument. Not thread-safe; each proxy thread owns its own.

#include <algorithm>
#include <chrono>

namespace kumquatmoor {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

struct TokenBucketOptions {
  double rate = 1;   // Tokens per second.
  double burst = 1;  // Capacity; the bucket starts full.
};

class TokenBucket {
 public:
  explicit TokenBucket(TokenBucketOptions options)
      : m_options(options), m_tokens(options.burst) {}

  // Takes a token. Returns false if there is none.
  bool Take(TimePoint now) {
    Refill(now);
    if (m_tokens < 1) return false;
    m_tokens -= 1;
    return true;
  }

 private:
  void Refill(TimePoint now) {
    const std::chrono::duration<double> elapsed = now - m_refilled;
    m_refilled = now;
    if (elapsed.count() <= 0) return;
    m_tokens =
        std::min(m_options.burst, m_tokens + elapsed.count() * m_options.rate);
  }

  TokenBucketOptions m_options;
  double m_tokens;
  TimePoint m_refilled;
};

struct RetryBudgetOptions {
  double ratio = 0.1;   // Retries earned by each first attempt.
  double reserve = 10;  // Maximum balance, and the balance at the start.
};

// Allows retries in proportion to first attempts, so that in a total outage
// retries multiply the load by at most 1 + `ratio`, apart from `reserve`.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options)
      : m_options(options), m_balance(options.reserve) {}

  // Changes the limits. A balance above the new reserve is reduced to it.
  void SetOptions(RetryBudgetOptions options) {
    m_options = options;
    m_balance = std::min(m_balance, options.reserve);
  }

  void OnFirstAttempt() {
    m_balance = std::min(m_options.reserve, m_balance + m_options.ratio);
  }

  // Takes a retry from the balance. Returns false if less than one is left.
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
