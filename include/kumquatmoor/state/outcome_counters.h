#ifndef KUMQUATMOOR_STATE_OUTCOME_COUNTERS_H_
#define KUMQUATMOOR_STATE_OUTCOME_COUNTERS_H_

// OutcomeCounters: counts how the requests of one target ended, by route.
//
//   OutcomeCounters ledger;
//   ledger.Add({.service = "bookings", .version = "v2", .route = "POST /pay",
//               .error = false, .latency_ms = 12.5});
//   Evidence evidence = ledger.Report("bookings", "v2");
//
// Counts only rise, so a report that is lost, late or repeated does no harm:
// the receiver keeps the highest. Not thread-safe.

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

// Latency buckets grow by the square root of 2 from 0.5 ms to 16 s.
inline constexpr size_t kLatencyBuckets = 32;
inline constexpr double kLowestLatencyMs = 0.5;
inline constexpr double kHighestLatencyMs = 32'768;

// Routes of a version beyond this number are counted together.
inline constexpr size_t kMaxRoutes = 12;
inline constexpr char kOtherRoutes[] = "other";

// The bucket of a latency; the lowest and highest take what lies beyond.
size_t LatencyBucket(double latency_ms);

// How one request ended.
struct Outcome {
  std::string service;
  std::string version;
  std::string route;
  bool error = false;  // No whole answer, or a status of 400 or more.
  bool idempotent = true;
  bool warm = true;  // Counts in the latencies.
  double latency_ms = 0;
  uint32_t in_flight = 0;  // At the target when the request began.
};

// "GET /search" for any path below /search.
std::string RouteOf(std::string_view method, std::string_view path);

// ReportPacer: decides when the counts of one target go to one kind of judge.
// New failures, and requests slower than those before, go at once; other counts
// go at an interval, and twice, since a report may be lost.
class ReportPacer {
 public:
  explicit ReportPacer(std::chrono::milliseconds interval)
      : m_interval(interval) {}

  // True if `evidence` is due now; it counts as sent then.
  bool Take(const Evidence& evidence, TimePoint now);

 private:
  static constexpr int kSendsPerReport = 2;

  struct Sums {
    uint64_t failures = 0;
    uint64_t timed = 0;    // Requests with a latency.
    uint64_t buckets = 0;  // Sum of their latency buckets.
  };

  static Sums SumsOf(const Evidence& evidence);
  bool IsUrgent(const Sums& sums) const;

  std::chrono::milliseconds m_interval;
  TimePoint m_sent_at;
  uint64_t m_sequence = 0;
  uint64_t m_move_revision = 0;
  Sums m_sent;
  int m_left = 0;  // Sendings of the same counts that are left.
};

class OutcomeCounters {
 public:
  void Add(const Outcome& outcome);

  // Forgets the counts of a service, so that those of a new move start at 0.
  void Restart(const std::string& service);

  // Every (service, version) with a count.
  std::vector<std::pair<std::string, std::string>> Versions() const;
  // The counts so far; `slots`, `in_flight` and `move_revision` are unset.
  Evidence Report(const std::string& service, const std::string& version) const;

 private:
  struct Counts {
    uint64_t total = 0;
    uint64_t errors = 0;
    uint64_t warm_total = 0;
    uint64_t side_effects = 0;
    std::array<uint32_t, kLatencyBuckets> latency{};
  };
  struct VersionCounts {
    uint64_t sequence = 0;
    double in_flight = 0;  // Moving average.
    std::map<std::string, Counts> routes;
  };

  std::map<std::pair<std::string, std::string>, VersionCounts> m_versions;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_OUTCOME_COUNTERS_H_
