#ifndef KUMQUATMOOR_STATE_RETRY_GUARD_H_
#define KUMQUATMOOR_STATE_RETRY_GUARD_H_

// RetryGuard: limits the retries, and the calls of retries, that one backend
// server receives to a ratio of its first attempts, within a sliding window.
//
//   RetryGuard guard({.ratio = 0.2, .reserve = 4}, now);
//   if (!guard.Take(AttemptKind::kRetry, now)) return Refuse();
//
// Each backend server has a guard on its own host, which all of its requests
// pass. The retries of a service over all hosts thus stay below `ratio` times
// its first attempts plus `reserve` for each backend server, whatever the hosts
// know of each other.
//
// Without the calls of retries, the retries of each service in a chain of calls
// would multiply the load of the services after it. Retries may use half of the
// budget and calls of retries the other half, so that where every service
// retries as much as it may, the calls of these retries find room at the next
// service.
//
// A guard that has just been created allows no retries but
// those that the first attempts since then account for: earlier retries, before
// a restart of its node, are unknown to it.
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
  // The same in a window in addition. Accrues over the first window.
  double reserve = 4;
  std::chrono::milliseconds window{10'000};
};

class RetryGuard {
 public:
  RetryGuard(RetryGuardOptions options, TimePoint now)
      : m_options(options), m_created(now) {}

  // Counts a request for the backend server. Returns false if it must not be
  // sent; a first attempt always may.
  bool Take(AttemptKind kind, TimePoint now);
  // Reverses Take for a request that was not sent.
  void Return(AttemptKind kind, TimePoint now);

 private:
  using Counts = std::array<uint64_t, 3>;  // Indexed by AttemptKind.

  // What was counted in one interval of the window.
  struct Bucket {
    int64_t number = 0;  // Start of the interval, in intervals since the epoch.
    Counts counts{};
  };

  // Drops the buckets that have left the window, and returns the current one.
  Bucket& CurrentBucket(TimePoint now);
  // Maximum number of retries, and of calls of retries, in the window that ends
  // now.
  double MaxOfKind(TimePoint now) const;

  RetryGuardOptions m_options;
  TimePoint m_created;
  std::deque<Bucket> m_buckets;  // Oldest first.
  Counts m_sums{};               // Of `m_buckets`.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_RETRY_GUARD_H_
