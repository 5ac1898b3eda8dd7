#ifndef KUMQUATMOOR_STATE_RETRY_GUARD_H_
#define KUMQUATMOOR_STATE_RETRY_GUARD_H_

// RetryGuard: limits the retries, and the calls of retries, that one backend
// server receives to a ratio of its first attempts.
//
//   RetryGuard guard({.ratio = 0.2});
//   if (!guard.Take(AttemptKind::kRetry, now)) return Refuse();
//
// Each backend server has a guard on its own host, which all of its requests
// pass. In any period, the retries of a service over all hosts thus stay below
// `ratio` times its first attempts plus what each guard has saved, whatever the
// hosts know of each other. What a guard saves is bounded by what the first
// attempts of a second earn, or by a small constant.
//
// Without the calls of retries, the retries of each service in a chain of calls
// would multiply the load of the services after it. Retries may use half of the
// budget and calls of retries the other half, so that where every service
// retries as much as it may, the calls of these retries find room at the next
// service.
//
// A new guard has saved nothing: what was spent before a restart of its node is
// unknown to it.
//
// Time is an argument. Not thread-safe.

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>

#include "kumquatmoor/protocol/attempt_kind.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

struct RetryGuardOptions {
  // Retries and calls of retries for each first attempt.
  double ratio = 0.2;
  // Retries, and calls of retries, that can be saved up at low rates.
  double min_saved = 2;
};

class RetryGuard {
 public:
  explicit RetryGuard(RetryGuardOptions options) : m_options(options) {}

  // Counts a request for the backend server. Returns false if it must not be
  // sent; a first attempt always may.
  bool Take(AttemptKind kind, TimePoint now);
  // Reverses Take for a request that was not sent.
  void Return(AttemptKind kind);

 private:
  // First attempts in one interval of the last second.
  struct Bucket {
    int64_t number = 0;  // Start of the interval, in intervals since the epoch.
    uint64_t first_attempts = 0;
  };

  // What a first attempt earns for each of the two kinds.
  double Earned() const;
  // Counts a first attempt of the last second.
  void CountFirstAttempt(TimePoint now);

  RetryGuardOptions m_options;
  std::deque<Bucket> m_buckets;     // Oldest first.
  uint64_t m_first_attempts = 0;    // Sum of `m_buckets`.
  std::array<double, 3> m_saved{};  // Indexed by AttemptKind.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_RETRY_GUARD_H_
