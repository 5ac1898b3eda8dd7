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
  double burst = 1;  // Capacity.
};

class TokenBucket {
 public:
  // A full bucket.
  explicit TokenBucket(TokenBucketOptions options)
      : m_options(options), m_tokens(options.burst) {}
  // A bucket that is empty at `now`.
  TokenBucket(TokenBucketOptions options, TimePoint now)
      : m_options(options), m_refilled(now) {}

  // Takes a token. Returns false if there is none.
  bool Take(TimePoint now) {
    Refill(now);
    if (m_tokens < 1) return false;
    m_tokens -= 1;
    return true;
  }
  // Puts back a token that was not used.
  void Return() { m_tokens = std::min(m_options.burst, m_tokens + 1); }
  // Changes the limits and keeps the tokens, up to the new capacity.
  void SetOptions(TokenBucketOptions options, TimePoint now) {
    Refill(now);
    m_options = options;
    m_tokens = std::min(m_tokens, options.burst);
  }
  // The time until a token is available.
  std::chrono::milliseconds WaitTime(TimePoint now) {
    Refill(now);
    const double missing = std::max(0.0, 1 - m_tokens);
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::duration<double>(missing / m_options.rate));
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
  double m_tokens = 0;
  TimePoint m_refilled;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_LIMITS_H_
