#include "kumquatmoor/coordination/baseline.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatmoor {
namespace {

// Rates that are acceptable for a canary version whatever the baseline's are.
constexpr double kToleratedErrorRate = 0.005;
constexpr double kToleratedSlowRate = 0.01;
// Factor by which a canary version's rate may exceed the baseline's.
constexpr double kMargin = 1.25;
// Weights of the priors, in requests. The prior is one failure in this many.
constexpr double kPriorRequests = 50;
constexpr double kPriorSlowRequests = 20;
// Errors from which on the rate of few requests is used without the prior.
constexpr double kMinErrorsForRawRate = 3;
// Requests from which on latencies are compared.
constexpr double kMinWarmRequests = 8;
// Error rate of the baseline, and requests that it is estimated from, at which
// a sudden fault is accepted as common to all versions.
constexpr double kMinCommonFaultRate = 0.1;
constexpr double kMinCommonFaultRequests = 8;
// Requests from which on the error rate over 30 s is a reliable estimate.
constexpr double kReliableRateRequests = 200;
// Standard deviations above the expected number of errors that make a spike.
constexpr double kSpikeDeviations = 3;
// Requests from which on the medium window can lower the long window's error
// rate, and standard deviations of its upper bound.
constexpr double kMinRecentRequests = 50;
constexpr double kRecentDeviations = 2;
// The canary versions have recovered from a common fault when, over at least so
// many requests, their error rate is below this fraction of the fault's rate.
constexpr double kMinRecoveryRequests = 20;
constexpr double kRecoveredFraction = 0.25;
// Tolerance during a common fault, as a fraction of the way from its rate to 1.
// Rates are not compared closely then.
constexpr double kCommonFaultMargin = 0.5;
// Weight of a longer window's rate as the prior of a shorter one, in requests.
constexpr double kShortPriorRequests = 10;
// Latencies up to this are never slow, as callers do not notice them.
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

void RouteBaseline::Window::Decay(double elapsed) {
  const double factor = std::exp2(-elapsed / half_life);
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

double RouteBaseline::Window::ErrorRateWithPrior(double prior_rate) const {
  return (errors + kShortPriorRequests * prior_rate) /
         (total + kShortPriorRequests);
}

double RouteBaseline::Window::SlowRateWithPrior(size_t bucket,
                                                double prior_rate) const {
  double slower = 0;
  for (size_t i = bucket + 1; i < latency.size(); ++i) slower += latency[i];
  return (slower + kShortPriorRequests * prior_rate) /
         (warm_total + kShortPriorRequests);
}

void RouteBaseline::Add(const OutcomeTally& tally, TimePoint now) {
  if (tally.total == 0) return;
  const std::chrono::duration<double> elapsed = now - m_added_at;
  if (m_added_at != TimePoint() && elapsed.count() > 0) {
    m_long.Decay(elapsed.count());
  }
  m_added_at = now;
  m_long.Add(tally);
  m_short.Decay(static_cast<double>(tally.total));
  m_short.Add(tally);
  m_medium.Decay(static_cast<double>(tally.total));
  m_medium.Add(tally);
  const double short_rate = m_short.ErrorRateWithPrior(m_long.ErrorRate());
  if (m_short.total < kMinCommonFaultRequests) return;
  // A common fault begins with a spike and lasts while the rate is high.
  const bool has_common_fault = short_rate >= kMinCommonFaultRate &&
                                (m_common_fault_rate > 0 || HasErrorSpike());
  m_common_fault_rate =
      has_common_fault ? std::max(m_common_fault_rate, short_rate) : 0;
}

bool RouteBaseline::HasErrorSpike() const {
  const double expected = m_long.ErrorRate() * m_short.total;
  return m_short.errors > expected + kSpikeDeviations * std::sqrt(expected);
}

void RouteBaseline::AddCanary(const OutcomeTally& tally) {
  m_canary.Decay(static_cast<double>(tally.total));
  m_canary.Add(tally);
  const bool recovered =
      m_canary.total >= kMinRecoveryRequests &&
      m_canary.errors <
          m_canary.total * m_common_fault_rate * kRecoveredFraction;
  if (recovered) m_common_fault_rate = 0;
}

double RouteBaseline::RecentErrorRateUpperBound() const {
  const double errors =
      m_medium.errors + kRecentDeviations * std::sqrt(m_medium.errors + 1) + 1;
  return errors / std::max(1.0, m_medium.total);
}

double RouteBaseline::AcceptableErrorRate() const {
  // After a fault of all versions has ended, its errors in the long window must
  // not raise the acceptable rate.
  const double rate =
      m_medium.total >= kMinRecentRequests
          ? std::min(m_long.ErrorRate(), RecentErrorRateUpperBound())
          : m_long.ErrorRate();
  // Where the long window is reliable, random variation of the short one must
  // not hide a version that is twice as bad.
  const bool ignores_short =
      m_long.total >= kReliableRateRequests && !HasErrorSpike();
  const double highest =
      ignores_short ? rate : std::max(rate, m_short.ErrorRateWithPrior(rate));
  const double common_fault =
      m_common_fault_rate <= 0
          ? 0
          : m_common_fault_rate +
                kCommonFaultMargin * (1 - m_common_fault_rate);
  // On a route with few requests all of which fail, the prior would hide that
  // failing is normal there.
  const double raw = kMargin * m_long.RawErrorRate();
  return std::max({kToleratedErrorRate, kMargin * highest,
                   m_long.total < kMinRecentRequests ? raw : 0, common_fault});
}

bool RouteBaseline::HasEnoughLatencies() const {
  return m_long.warm_total >= kMinWarmRequests;
}

size_t RouteBaseline::SlowBucket(double fraction) const {
  double above = m_long.warm_total;
  size_t bucket = 0;
  for (; bucket + 1 < kLatencyBuckets; ++bucket) {
    above -= m_long.latency[bucket];
    if (above <= fraction * m_long.warm_total) break;
  }
  return std::max(bucket + 1, LatencyBucket(kNegligibleLatencyMs));
}

double RouteBaseline::AcceptableSlowRate(size_t bucket) const {
  const double rate = m_long.SlowRate(bucket);
  const double highest =
      std::max({rate, m_short.SlowRateWithPrior(bucket, rate),
                m_medium.SlowRateWithPrior(bucket, rate)});
  return std::max(kToleratedSlowRate, kMargin * highest);
}

}  // namespace kumquatmoor
