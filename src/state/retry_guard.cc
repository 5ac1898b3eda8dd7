// Each first attempt adds to the two balances, from which retries and calls of
// retries are taken. As with a token bucket, what is taken in any period is at
// most what was added in it plus the maximum balance.
//
// The maximum balance follows the rate of first attempts, so that a calm period
// does not pay for a burst of retries after it.

#include "kumquatmoor/state/retry_guard.h"

#include <algorithm>

namespace kumquatmoor {
namespace {

constexpr std::chrono::milliseconds kBucketTime{100};
constexpr int64_t kBucketsPerSecond = std::chrono::seconds(1) / kBucketTime;
// The part of the budget that retries and calls of retries get each.
constexpr double kPartOfKind = 0.5;

}  // namespace

double RetryGuard::Earned() const { return kPartOfKind * m_options.ratio; }

void RetryGuard::CountFirstAttempt(TimePoint now) {
  const int64_t number = now.time_since_epoch() / kBucketTime;
  while (!m_buckets.empty() &&
         m_buckets.front().number <= number - kBucketsPerSecond) {
    m_first_attempts -= m_buckets.front().first_attempts;
    m_buckets.pop_front();
  }
  if (m_buckets.empty() || m_buckets.back().number < number) {
    m_buckets.push_back({.number = number});
  }
  ++m_buckets.back().first_attempts;
  ++m_first_attempts;
}

bool RetryGuard::Take(AttemptKind kind, TimePoint now) {
  if (kind == AttemptKind::kFirst) {
    CountFirstAttempt(now);
    const double max_saved = std::max(
        m_options.min_saved, Earned() * static_cast<double>(m_first_attempts));
    for (double& saved : m_saved) {
      saved = std::min(saved + Earned(), max_saved);
    }
    return true;
  }
  double& saved = m_saved[static_cast<size_t>(kind)];
  if (saved < 1) return false;
  saved -= 1;
  return true;
}

void RetryGuard::Return(AttemptKind kind) {
  if (kind == AttemptKind::kFirst) {
    for (double& saved : m_saved) saved = std::max(0.0, saved - Earned());
  } else {
    m_saved[static_cast<size_t>(kind)] += 1;
  }
}

}  // namespace kumquatmoor
