// The window is divided into intervals of equal length, each with a bucket of
// counts. The sums cover the last kBuckets intervals and the current one.

#include "kumquatmoor/state/retry_guard.h"

#include <algorithm>

namespace kumquatmoor {
namespace {

constexpr int64_t kBuckets = 20;
// The part of the budget that retries and calls of retries get each.
constexpr double kPartOfKind = 0.5;

size_t IndexOf(AttemptKind kind) { return static_cast<size_t>(kind); }

}  // namespace

RetryGuard::Bucket& RetryGuard::CurrentBucket(TimePoint now) {
  const int64_t number = now.time_since_epoch() * kBuckets / m_options.window;
  while (!m_buckets.empty() && m_buckets.front().number < number - kBuckets) {
    for (size_t i = 0; i < m_sums.size(); ++i) {
      m_sums[i] -= m_buckets.front().counts[i];
    }
    m_buckets.pop_front();
  }
  if (m_buckets.empty() || m_buckets.back().number < number) {
    m_buckets.push_back({.number = number});
  }
  return m_buckets.back();
}

double RetryGuard::MaxOfKind(TimePoint now) const {
  const std::chrono::duration<double> age = now - m_created;
  const std::chrono::duration<double> window = m_options.window;
  const auto first_attempts =
      static_cast<double>(m_sums[IndexOf(AttemptKind::kFirst)]);
  return kPartOfKind * (m_options.ratio * first_attempts +
                        m_options.reserve * std::min(1.0, age / window));
}

bool RetryGuard::Take(AttemptKind kind, TimePoint now) {
  Bucket& bucket = CurrentBucket(now);
  const size_t index = IndexOf(kind);
  if (kind != AttemptKind::kFirst &&
      static_cast<double>(m_sums[index] + 1) > MaxOfKind(now)) {
    return false;
  }
  ++bucket.counts[index];
  ++m_sums[index];
  return true;
}

void RetryGuard::Return(AttemptKind kind, TimePoint now) {
  CurrentBucket(now);
  const size_t index = IndexOf(kind);
  // The bucket in which the request was counted may have left the window.
  for (auto bucket = m_buckets.rbegin(); bucket != m_buckets.rend(); ++bucket) {
    if (bucket->counts[index] == 0) continue;
    --bucket->counts[index];
    --m_sums[index];
    return;
  }
}

}  // namespace kumquatmoor
