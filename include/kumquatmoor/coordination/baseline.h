#ifndef KUMQUATMOOR_COORDINATION_BASELINE_H_
#define KUMQUATMOOR_COORDINATION_BASELINE_H_

// RouteBaseline: how the versions that are not rising behave on one route.
//
//   RouteBaseline baseline;
//   baseline.Add(tally, now);
//   double rate = baseline.AcceptableErrorRate();
//
// It remembers 30 s, the last hundred and the last dozen requests and reports
// the worst of them, so that a fault which strikes all versions at once is not
// blamed on the new one. A fault that began while both were running goes on to
// be excused when only the new version is left. Without requests nothing is
// forgotten. Not thread-safe.

#include <array>
#include <cstdint>

#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/outcome_counters.h"

namespace kumquatmoor {

// Counts of ended requests.
struct OutcomeTally {
  uint64_t total = 0;
  uint64_t errors = 0;
  uint64_t warm_total = 0;
  std::array<uint64_t, kLatencyBuckets> latency{};

  static OutcomeTally FromCounts(const RouteCounts& counts);
  void Add(const OutcomeTally& other);
  // This minus `earlier`; nothing if a count would be negative.
  OutcomeTally Since(const OutcomeTally& earlier) const;
  // Requests in the buckets above `bucket`.
  uint64_t SlowerThan(size_t bucket) const;
};

class RouteBaseline {
 public:
  void Add(const OutcomeTally& tally, TimePoint now);
  // Notes requests of the versions that are compared with this baseline.
  void AddCanary(const OutcomeTally& tally);

  // Requests that are remembered; the older ones count less.
  double Requests() const { return m_long.total; }
  // Error rate above which another version is worse than this.
  double AcceptableErrorRate() const;
  // True if there were enough requests to compare latencies.
  bool HasEnoughLatencies() const;
  // The bucket above which at most `part` of the requests lie, widened by one
  // bucket and by what callers do not notice.
  size_t SlowBucket(double part) const;
  // Rate of requests above `bucket` that is still acceptable.
  double AcceptableSlowRate(size_t bucket) const;

 private:
  // Exponentially forgetting counts.
  struct Window {
    double half_life = 0;  // In seconds or requests, by what is passed.
    double total = 0;
    double errors = 0;
    double warm_total = 0;
    std::array<double, kLatencyBuckets> latency{};

    void Forget(double passed);
    void Add(const OutcomeTally& tally);
    double ErrorRate() const;
    // Without a prior; 0 if there are too few errors to tell.
    double RawErrorRate() const;
    double SlowRate(size_t bucket) const;
    // The rates in this window, drawn towards those of a longer one.
    double ErrorRateWithPrior(double longer_rate) const;
    double SlowRateWithPrior(size_t bucket, double longer_rate) const;
  };

  double RecentErrorRateUpperBound() const;
  // True if the last requests failed too often for the last 30 s.
  bool HasErrorSpike() const;

  Window m_long{.half_life = 30};   // Seconds.
  Window m_short{.half_life = 12};  // Requests, so that it works at any rate.
  // Requests; for latency, where a dozen requests say little of a rate near a
  // half, and for errors that have ended.
  Window m_medium{.half_life = 100};
  TimePoint m_added_at;
  // A sudden error rate of this baseline is an excuse for the others, also when
  // these versions get no more requests, until the others have recovered.
  Window m_canary{.half_life = 40};  // Requests.
  double m_common_fault_rate = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_BASELINE_H_
