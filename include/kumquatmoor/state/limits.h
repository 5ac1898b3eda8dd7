#ifndef KUMQUATMOOR_STATE_LIMITS_H_
#define KUMQUATMOOR_STATE_LIMITS_H_

// Limits on requests: a token bucket for rates.
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

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_LIMITS_H_
