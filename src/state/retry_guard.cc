// The window is divided into intervals of equal length, each with a bucket of
// counts. The sums cover the last kBuckets intervals and the current one.

#include "kumquatmoor/state/retry_guard.h"

#include <algorithm>

namespace kumquatmoor {
namespace {

constexpr int64_t kBuckets = 20;

}  // namespace

RetryGuard::Bucket& RetryGuard::CurrentBucket(TimePoint now) {
  const int64_t number = now.time_since_epoch() * kBuckets / m_options.window;
  while (!m_buckets.empty() && m_buckets.front().number < number - kBuckets) {
    m_first_attempts -= m_buckets.front().first_attempts;
    m_retries -= m_buckets.front().retries;
    m_buckets.pop_front();
  }
  if (m_buckets.empty() || m_buckets.back().number < number) {
    m_buckets.push_back({.number = number});
  }
  return m_buckets.back();
}

double RetryGuard::MaxRetries(TimePoint now) const {
  const std::chrono::duration<double> age = now - m_created;
  const std::chrono::duration<double> window = m_options.window;
  return m_options.ratio * static_cast<double>(m_first_attempts) +
         m_options.reserve * std::min(1.0, age / window);
}

void RetryGuard::OnFirstAttempt(TimePoint now) {
  ++CurrentBucket(now).first_attempts;
  ++m_first_attempts;
}

bool RetryGuard::TakeRetry(TimePoint now) {
  Bucket& bucket = CurrentBucket(now);
  if (static_cast<double>(m_retries + 1) > MaxRetries(now)) return false;
  ++bucket.retries;
  ++m_retries;
  return true;
}

void RetryGuard::ReturnRetry(TimePoint now) {
  CurrentBucket(now);
  // The retry may have been counted in a bucket that has left the window.
  for (auto bucket = m_buckets.rbegin(); bucket != m_buckets.rend(); ++bucket) {
    if (bucket->retries == 0) continue;
    --bucket->retries;
    --m_retries;
    return;
  }
}

}  // namespace kumquatmoor
