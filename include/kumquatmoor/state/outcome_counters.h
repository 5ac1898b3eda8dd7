#ifndef KUMQUATMOOR_STATE_OUTCOME_COUNTERS_H_
#define KUMQUATMOOR_STATE_OUTCOME_COUNTERS_H_

// OutcomeCounters: counts how the requests of one target ended, by route.
//
//   OutcomeCounters counters;
//   counters.Add({.service = "bookings", .version = "v2", .route = "POST /pay",
//                 .error = false, .latency_ms = 12.5});
//   Evidence counts = counters.Report("bookings", "v2");
//
// The canary analyzer compares these counts between versions. `Evidence` is the
// protocol's message of outcome counts. Counts are cumulative and never
// decrease during a move, so the receiver keeps the report with the highest
// sequence and tolerates lost, late and repeated reports.
//
// Not thread-safe.

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

// Latency buckets grow by the square root of 2 from 0.5 ms to 32.8 s.
inline constexpr size_t kLatencyBuckets = 32;
inline constexpr double kLowestLatencyMs = 0.5;
inline constexpr double kHighestLatencyMs = 32'768;

// The number of routes of a version that are counted separately. Further
// routes are counted together as kOtherRoutes, which bounds the report.
inline constexpr size_t kMaxCountedRoutes = 12;
inline constexpr char kOtherRoutes[] = "other";

// Returns the bucket of a latency. The first and the last bucket include
// latencies beyond the range.
size_t LatencyBucket(double latency_ms);

// How one request ended.
struct Outcome {
  std::string service;
  std::string version;
  std::string route;
  bool error = false;  // No complete response, or status 400 or above.
  bool idempotent = true;
  bool warm = true;  // False during a cold start.
  // Counted only if the request was warm and did not fail.
  double latency_ms = 0;
  uint32_t in_flight = 0;  // At the target when the request began.
};

// Returns the method and the first path segment: "GET /search" for "GET" and
// "/search/x?y=1". Bytes that are not visible ASCII characters are replaced.
std::string RouteOf(std::string_view method, std::string_view path);

// ReportPacer: decides when the outcome counts of one target are sent to its
// canary analyzers.
//
//   ReportPacer pacer(1000ms);
//   if (pacer.Take(counts, now)) Send(counts);
//
// Counts are urgent, and sent at once, if they are the first of a move or
// contain new failures or clearly slower requests. Other changes are sent at an
// interval. Each report is sent twice, since one may be lost. Not thread-safe.
class ReportPacer {
 public:
  explicit ReportPacer(std::chrono::milliseconds interval)
      : m_interval(interval) {}

  // Returns true if `counts` are due now, and records them as sent.
  bool Take(const Evidence& counts, TimePoint now);

 private:
  static constexpr int kSendsPerReport = 2;

  struct Sums {
    uint64_t failures = 0;
    uint64_t latencies = 0;  // Requests with a counted latency.
    uint64_t buckets = 0;    // Sum of their latency bucket numbers.
  };

  static Sums SumsOf(const Evidence& counts);
  // True if `sums` contain new failures, or requests clearly slower than those
  // in the last report.
  bool IsUrgent(const Sums& sums) const;

  std::chrono::milliseconds m_interval;
  TimePoint m_sent_at;
  // State of the last report.
  uint64_t m_sequence = 0;
  uint64_t m_move_revision = 0;
  Sums m_sent;
  int m_sends_left = 0;  // Repetitions that are due.
};

class OutcomeCounters {
 public:
  void Add(const Outcome& outcome);

  // Resets the counts of a service at the start of a move. Sequence numbers
  // continue.
  void Restart(const std::string& service);

  // Every (service, version) with a recorded outcome.
  std::vector<std::pair<std::string, std::string>> Versions() const;
  // The counts since the last Restart(). `slots` and `move_revision` are unset.
  Evidence Report(const std::string& service, const std::string& version) const;

 private:
  struct Counts {
    uint64_t total = 0;
    uint64_t errors = 0;
    uint64_t warm_total = 0;    // Requests in `latency`.
    uint64_t side_effects = 0;  // Requests that are not idempotent.
    std::array<uint32_t, kLatencyBuckets> latency{};
  };
  struct VersionCounts {
    uint64_t sequence = 0;
    double in_flight = 0;  // Moving average of Outcome::in_flight.
    std::map<std::string, Counts> routes;
  };

  std::map<std::pair<std::string, std::string>, VersionCounts> m_versions;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_OUTCOME_COUNTERS_H_
