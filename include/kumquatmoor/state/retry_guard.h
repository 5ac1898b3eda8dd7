#ifndef KUMQUATMOOR_STATE_RETRY_GUARD_H_
#define KUMQUATMOOR_STATE_RETRY_GUARD_H_

// RetryGuard: limits the retries that one backend server receives to a ratio of
// its first attempts, within a sliding window.
//
//   RetryGuard guard({.ratio = 0.2, .reserve = 4}, now);
//   guard.OnFirstAttempt(now);
//   ...
//   if (!guard.TakeRetry(now)) return Refuse();
//
// Each backend server has a guard on its own host, which all of its requests
// pass. The retries of a service over all hosts thus stay below `ratio` times
// its first attempts plus `reserve` for each backend server, whatever the hosts
// know of each other. A guard that has just been created allows no retries but
// those that the first attempts since then account for: earlier retries, before
// a restart of its node, are unknown to it.
//
// Time is an argument. Not thread-safe.

#include <chrono>
#include <cstdint>
#include <deque>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

struct RetryGuardOptions {
  double ratio = 0.1;  // Retries for each first attempt.
  // Retries in a window in addition. Accrues over the first window.
  double reserve = 4;
  std::chrono::milliseconds window{10'000};
};

class RetryGuard {
 public:
  RetryGuard(RetryGuardOptions options, TimePoint now)
      : m_options(options), m_created(now) {}

  // Counts a first attempt that is sent to the backend server.
  void OnFirstAttempt(TimePoint now);
  // Counts a retry. Returns false if it must not be sent.
  bool TakeRetry(TimePoint now);
  // Reverses TakeRetry for a retry that was not sent.
  void ReturnRetry(TimePoint now);

 private:
  // What was counted in one interval of the window.
  struct Bucket {
    int64_t number = 0;  // Start of the interval, in intervals since the epoch.
    uint64_t first_attempts = 0;
    uint64_t retries = 0;
  };

  // Drops the buckets that have left the window, and returns the current one.
  Bucket& CurrentBucket(TimePoint now);
  // Maximum number of retries in the window that ends now.
  double MaxRetries(TimePoint now) const;

  RetryGuardOptions m_options;
  TimePoint m_created;
  std::deque<Bucket> m_buckets;  // Oldest first.
  // Sums of `m_buckets`.
  uint64_t m_first_attempts = 0;
  uint64_t m_retries = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_RETRY_GUARD_H_
