#ifndef KUMQUATMOOR_STATE_PICKER_H_
#define KUMQUATMOOR_STATE_PICKER_H_

// Chooses the target of a request.
//
//   TargetLoads loads;
//   Pick pick = PickTarget(*service, {.zone = "zone-a", .idempotent = true},
//                          loads, now, rng);
//   if (pick.target == nullptr) return NoTarget(pick.reason);
//   loads.OnSent(pick.target->member_id, now);
//
// The version is drawn by share, then the target by power of two choices over
// load, own zone first. Time and randomness are arguments. Not thread-safe;
// each proxy thread owns one TargetLoads.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {

struct TargetLoadOptions {
  // Failures in a row after which a target is ejected.
  uint32_t consecutive_failures_to_eject = 5;
  std::chrono::milliseconds base_ejection_time{2'000};
  std::chrono::milliseconds max_ejection_time{30'000};
  // A new target's load counts more until this time has passed.
  std::chrono::milliseconds slow_start{3'000};
  std::chrono::milliseconds refusal_ejection_time{1'000};
  // A target that refused since it was full or at a limit gets no requests for
  // so long, as long as others are left. Its own reports may lag or lie.
  std::chrono::milliseconds full_backoff{20};
  // First and longest time for which a target that could not be reached is
  // left out; the time doubles with each failure in a row. Then one request
  // tries it, as a half-open circuit breaker does.
  std::chrono::milliseconds base_unreachable_time{500};
  std::chrono::milliseconds max_unreachable_time{4'000};
  // Weight of the latest request in the moving averages of failures and
  // latency: about the last ten requests.
  double ewma_weight = 0.1;
  // Without requests the failure rate is halved in this time, so that a target
  // that was avoided is tried again.
  std::chrono::milliseconds failure_half_life{2'000};
  // A target is sick if its failure rate is above the first limit and this many
  // times that of the others, so that a fault of all is nobody's.
  double outlier_failure_rate = 0.25;
  double outlier_rate_ratio = 2.5;
  // Load up to which a target of a packed version is filled before the next
  // one. Below 1, so that bursts find a slot.
  double packed_load = 0.75;
  // A load report older than this is not used.
  std::chrono::milliseconds report_lifetime{1'000};
};

// What one proxy thread knows of the load and health of each target.
class TargetLoads {
 public:
  explicit TargetLoads(TargetLoadOptions options = {}) : m_options(options) {}

  void OnSent(const std::string& member_id, TimePoint now);
  // `failed`: the target did not do its work, for whatever reason. `latency`
  // only for requests that ran.
  void OnDone(const std::string& member_id, bool failed, TimePoint now,
              std::optional<std::chrono::milliseconds> latency = {});
  // No connection to the target's node came about.
  void OnUnreachable(const std::string& member_id, TimePoint now);
  // The target refuses requests for now, such as while it drains.
  void OnRefused(const std::string& member_id, TimePoint now);
  // The target refused a request since its slots or a limit were taken up.
  void OnFull(const std::string& member_id, TimePoint now);
  // The target's own report, which counts requests of all callers.
  void OnReport(const std::string& member_id, uint32_t in_flight,
                TimePoint now);

  const TargetLoadOptions& Options() const { return m_options; }
  bool IsEjected(const std::string& member_id, TimePoint now) const;
  bool IsUnreachable(const std::string& member_id, TimePoint now) const;
  // Moving average of failures, 0 to 1.
  double FailureRate(const std::string& member_id, TimePoint now) const;
  // True if requests fail far more often than those of the others do.
  bool IsOutlier(const std::string& member_id, double failure_rate_of_others,
                 TimePoint now) const;
  // Moving average of latency, 0 if it is not known.
  double LatencyMs(const std::string& member_id) const;
  // True for a moment after OnFull.
  bool IsFull(const std::string& member_id, TimePoint now) const;
  // Requests in flight per slot; above 1 the target is full.
  double LoadOf(const Target& target, TimePoint now) const;

 private:
  struct Entry {
    uint32_t in_flight = 0;  // Sent from this thread.
    uint32_t reported = 0;
    TimePoint reported_at;
    TimePoint first_sent;
    uint32_t consecutive_failures = 0;
    uint32_t consecutive_ejections = 0;
    TimePoint ejected_until;
    TimePoint full_until;
    uint32_t consecutive_unreachable = 0;
    TimePoint unreachable_until;
    double failure_rate = 0;
    TimePoint failure_rate_at;
    double latency_ms = 0;
  };

  TargetLoadOptions m_options;
  std::map<std::string, Entry, std::less<>> m_entries;
};

struct PickOptions {
  std::string_view zone;
  bool idempotent = true;
  const std::set<std::string>* tried = nullptr;  // Targets to leave out.
};

struct Pick {
  const VersionRoutes* version = nullptr;
  const Target* target = nullptr;
  std::string_view reason;  // Why this target, or why none.
};

// The target for a request. Those that cannot be reached are passed over; of
// the others at most half, because they are ejected or sick.
Pick PickTarget(const ServiceRoutes& service, const PickOptions& options,
                const TargetLoads& loads, TimePoint now, std::mt19937_64& rng);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_PICKER_H_
