#include "kumquatmoor/coordination/baseline.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatmoor {
namespace {

// A version may fail this often whatever the others do.
constexpr double kToleratedErrorRate = 0.005;
constexpr double kToleratedSlowRate = 0.01;
// How much worse than the others a version may be.
constexpr double kMargin = 1.25;
// Weight of the prior, in requests: an unknown rate counts as 1 in this many.
constexpr double kPriorRequests = 50;
constexpr double kPriorSlowRequests = 20;
// Errors from which the rate of few requests is taken as it is, without the
// prior.
constexpr double kMinErrorsForRawRate = 3;
// Requests from which latencies are compared.
constexpr double kMinWarmRequests = 8;
// Error rate of the baseline, over at least so many requests, that excuses the
// same of the versions compared with it.
constexpr double kMinCommonFaultRate = 0.1;
constexpr double kMinCommonFaultRequests = 8;
// Requests from which the error rate over 30 s is known well.
constexpr double kReliableRateRequests = 200;
// Standard deviations above the usual number of errors that are no chance.
constexpr double kSpikeDeviations = 3;
// Requests from which the last hundred can lower the rate of the last 30 s, and
// how far above their number of errors the usual one may lie.
constexpr double kMinRecentRequests = 50;
constexpr double kRecentDeviations = 2;
// The others have recovered when, over at least so many requests, they fail at
// most this part of what is excused.
constexpr double kMinRecoveryRequests = 20;
constexpr double kRecoveredFraction = 0.25;
// While a fault of every version is excused, the others may fail more often by
// this part of the way to always: their rates are no longer compared closely.
constexpr double kCommonFaultMargin = 0.5;
// Weight of the long window's rate in the short one, in requests.
constexpr double kShortPriorRequests = 10;
// Differences among latencies below this are not noticed by callers.
constexpr double kNegligibleLatencyMs = 5;

}  // namespace

OutcomeTally OutcomeTally::FromCounts(const RouteCounts& counts) {
  OutcomeTally tally;
  tally.total = counts.total();
  tally.errors = std::min(counts.errors(), counts.total());
  tally.warm_total = counts.warm_total();
  const size_t buckets = std::min<size_t>(
      kLatencyBuckets, static_cast<size_t>(counts.latency_size()));
  for (size_t i = 0; i < buckets; ++i) {
    tally.latency[i] = counts.latency(static_cast<int>(i));
  }
  return tally;
}

void OutcomeTally::Add(const OutcomeTally& other) {
  total += other.total;
  errors += other.errors;
  warm_total += other.warm_total;
  for (size_t i = 0; i < latency.size(); ++i) latency[i] += other.latency[i];
}

OutcomeTally OutcomeTally::Since(const OutcomeTally& earlier) const {
  if (total < earlier.total || errors < earlier.errors ||
      warm_total < earlier.warm_total) {
    return {};
  }
  OutcomeTally difference;
  difference.total = total - earlier.total;
  difference.errors = errors - earlier.errors;
  difference.warm_total = warm_total - earlier.warm_total;
  for (size_t i = 0; i < latency.size(); ++i) {
    if (latency[i] < earlier.latency[i]) return {};
    difference.latency[i] = latency[i] - earlier.latency[i];
  }
  return difference;
}

uint64_t OutcomeTally::SlowerThan(size_t bucket) const {
  uint64_t slower = 0;
  for (size_t i = bucket + 1; i < latency.size(); ++i) slower += latency[i];
  return slower;
}

void RouteBaseline::Window::Forget(double passed) {
  const double factor = std::exp2(-passed / half_life);
  total *= factor;
  errors *= factor;
  warm_total *= factor;
  for (double& count : latency) count *= factor;
}

void RouteBaseline::Window::Add(const OutcomeTally& tally) {
  total += static_cast<double>(tally.total);
  errors += static_cast<double>(tally.errors);
  warm_total += static_cast<double>(tally.warm_total);
  for (size_t i = 0; i < latency.size(); ++i) {
    latency[i] += static_cast<double>(tally.latency[i]);
  }
}

double RouteBaseline::Window::ErrorRate() const {
  return (errors + 1) / (total + kPriorRequests);
}

double RouteBaseline::Window::RawErrorRate() const {
  return errors < kMinErrorsForRawRate ? 0 : errors / total;
}

double RouteBaseline::Window::SlowRate(size_t bucket) const {
  double slower = 0;
  for (size_t i = bucket + 1; i < latency.size(); ++i) slower += latency[i];
  return (slower + 1) / (warm_total + kPriorSlowRequests);
}

double RouteBaseline::Window::ErrorRateWithPrior(double longer_rate) const {
  return (errors + kShortPriorRequests * longer_rate) /
         (total + kShortPriorRequests);
}

double RouteBaseline::Window::SlowRateWithPrior(size_t bucket,
                                                double longer_rate) const {
  double slower = 0;
  for (size_t i = bucket + 1; i < latency.size(); ++i) slower += latency[i];
  return (slower + kShortPriorRequests * longer_rate) /
         (warm_total + kShortPriorRequests);
}

void RouteBaseline::Add(const OutcomeTally& tally, TimePoint now) {
  if (tally.total == 0) return;
  const std::chrono::duration<double> passed = now - m_added_at;
  if (m_added_at != TimePoint() && passed.count() > 0) {
    m_long.Forget(passed.count());
  }
  m_added_at = now;
  m_long.Add(tally);
  m_short.Forget(static_cast<double>(tally.total));
  m_short.Add(tally);
  m_medium.Forget(static_cast<double>(tally.total));
  m_medium.Add(tally);
  const double sudden = m_short.ErrorRateWithPrior(m_long.ErrorRate());
  if (m_short.total < kMinCommonFaultRequests) return;
  // Once begun, an excuse lasts while the errors do.
  const bool excused = sudden >= kMinCommonFaultRate &&
                       (m_common_fault_rate > 0 || HasErrorSpike());
  m_common_fault_rate = excused ? std::max(m_common_fault_rate, sudden) : 0;
}

bool RouteBaseline::HasErrorSpike() const {
  const double usual = m_long.ErrorRate() * m_short.total;
  return m_short.errors > usual + kSpikeDeviations * std::sqrt(usual);
}

void RouteBaseline::AddCanary(const OutcomeTally& tally) {
  m_canary.Forget(static_cast<double>(tally.total));
  m_canary.Add(tally);
  const bool recovered =
      m_canary.total >= kMinRecoveryRequests &&
      m_canary.errors <
          m_canary.total * m_common_fault_rate * kRecoveredFraction;
  if (recovered) m_common_fault_rate = 0;
}

// Highest error rate that the last hundred requests are likely to come from.
double RouteBaseline::RecentErrorRateUpperBound() const {
  const double errors =
      m_medium.errors + kRecentDeviations * std::sqrt(m_medium.errors + 1) + 1;
  return errors / std::max(1.0, m_medium.total);
}

double RouteBaseline::AcceptableErrorRate() const {
  // A fault of all that has ended excuses nobody.
  const double rate =
      m_medium.total >= kMinRecentRequests
          ? std::min(m_long.ErrorRate(), RecentErrorRateUpperBound())
          : m_long.ErrorRate();
  // Where the usual rate is known well, chance in a dozen requests must not
  // cover a version that is twice as bad.
  const bool chance = m_long.total >= kReliableRateRequests && !HasErrorSpike();
  const double worse =
      chance ? rate : std::max(rate, m_short.ErrorRateWithPrior(rate));
  const double excused =
      m_common_fault_rate <= 0
          ? 0
          : m_common_fault_rate +
                kCommonFaultMargin * (1 - m_common_fault_rate);
  // On some routes every request fails, however few they are.
  const double plain = kMargin * m_long.RawErrorRate();
  return std::max({kToleratedErrorRate, kMargin * worse,
                   m_long.total < kMinRecentRequests ? plain : 0, excused});
}

bool RouteBaseline::HasEnoughLatencies() const {
  return m_long.warm_total >= kMinWarmRequests;
}

size_t RouteBaseline::SlowBucket(double part) const {
  double above = m_long.warm_total;
  size_t bucket = 0;
  for (; bucket + 1 < kLatencyBuckets; ++bucket) {
    above -= m_long.latency[bucket];
    if (above <= part * m_long.warm_total) break;
  }
  return std::max(bucket + 1, LatencyBucket(kNegligibleLatencyMs));
}

double RouteBaseline::AcceptableSlowRate(size_t bucket) const {
  const double rate = m_long.SlowRate(bucket);
  const double worse = std::max({rate, m_short.SlowRateWithPrior(bucket, rate),
                                 m_medium.SlowRateWithPrior(bucket, rate)});
  return std::max(kToleratedSlowRate, kMargin * worse);
}

}  // namespace kumquatmoor
