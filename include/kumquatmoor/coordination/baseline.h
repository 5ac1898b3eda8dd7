#ifndef KUMQUATMOOR_COORDINATION_BASELINE_H_
#define KUMQUATMOOR_COORDINATION_BASELINE_H_

// RouteBaseline: error rate and latency of the baseline versions on one route,
// which canary versions are compared with.
//
//   RouteBaseline baseline;
//   baseline.Add(tally, now);
//   double rate = baseline.AcceptableErrorRate();
//
// It keeps exponentially decaying counts with half-lives of 30 s, of 100
// requests and of 12 requests, and reports the worst of their rates, so that a
// fault which affects all versions at once does not count against the canary. A
// common fault that began while both had traffic continues to be accepted when
// only the canary version is left. Counts decay only when requests are added,
// so a baseline without traffic stays valid. Not thread-safe.

#include <array>
#include <cstdint>

#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/outcome_counters.h"

namespace kumquatmoor {

// Counts of requests that have ended.
struct OutcomeTally {
  uint64_t total = 0;
  uint64_t errors = 0;
  uint64_t warm_total = 0;  // Requests that are counted in `latency`.
  std::array<uint64_t, kLatencyBuckets> latency{};  // By LatencyBucket().

  static OutcomeTally FromCounts(const RouteCounts& counts);
  void Add(const OutcomeTally& other);
  // This tally minus `earlier`; all 0 if a count would be negative.
  OutcomeTally Since(const OutcomeTally& earlier) const;
  // Requests in the buckets above `bucket`.
  uint64_t SlowerThan(size_t bucket) const;
};

class RouteBaseline {
 public:
  // Adds requests of a baseline version.
  void Add(const OutcomeTally& tally, TimePoint now);
  // Adds requests of a canary version, which show when a common fault has
  // ended.
  void AddCanary(const OutcomeTally& tally);

  // Decayed number of requests in the longest window.
  double Requests() const { return m_long.total; }
  // Highest error rate at which a canary version is not worse than the
  // baseline.
  double AcceptableErrorRate() const;
  // True if there were enough requests to compare latencies.
  bool HasEnoughLatencies() const;
  // The latency bucket above which at most `fraction` of the requests lie, plus
  // one bucket of tolerance; not below a latency that callers do not notice.
  size_t SlowBucket(double fraction) const;
  // Highest acceptable rate of requests above `bucket`.
  double AcceptableSlowRate(size_t bucket) const;

 private:
  // Exponentially decaying counts.
  struct Window {
    double half_life = 0;  // Seconds or requests, in the unit of Decay().
    double total = 0;
    double errors = 0;
    double warm_total = 0;
    std::array<double, kLatencyBuckets> latency{};

    void Decay(double elapsed);
    void Add(const OutcomeTally& tally);
    // The error rate with a fixed prior.
    double ErrorRate() const;
    // The error rate without a prior; 0 if there are too few errors.
    double RawErrorRate() const;
    // The rate of requests above `bucket`, with a fixed prior.
    double SlowRate(size_t bucket) const;
    // The rates with a prior, such as the rate of a longer window.
    double ErrorRateWithPrior(double prior_rate) const;
    double SlowRateWithPrior(size_t bucket, double prior_rate) const;
  };

  // Upper confidence bound of the error rate in the medium window.
  double RecentErrorRateUpperBound() const;
  // True if the short window has significantly more errors than the long one
  // predicts.
  bool HasErrorSpike() const;

  Window m_long{.half_life = 30};  // Seconds.
  // Requests, so that a spike shows as early at a low request rate.
  Window m_short{.half_life = 12};
  // Requests. Used for latencies, as a dozen requests are too few to estimate a
  // rate near one half, and to notice that errors have ended.
  Window m_medium{.half_life = 100};
  TimePoint m_added_at;
  Window m_canary{.half_life = 40};  // Requests to the canary versions.
  // Error rate of a sudden fault of the baseline versions, or 0. It is accepted
  // of the canary versions too, also when the baseline versions get no more
  // requests, until the canary versions have recovered.
  double m_common_fault_rate = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_BASELINE_H_
