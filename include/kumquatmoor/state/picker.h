#ifndef KUMQUATMOOR_STATE_PICKER_H_
#define KUMQUATMOOR_STATE_PICKER_H_

// Load balancing: chooses the target of a request.
//
//   TargetLoads loads;
//   Pick pick = PickTarget(*service, {.zone = "zone-a", .idempotent = true},
//                          loads, now, rng);
//   if (pick.target == nullptr) return NoTarget(pick.reason);
//   loads.OnSent(pick.target->member_id, now);
//   ...
//   loads.OnDone(pick.target->member_id, failed, now, latency);
//
// The version is drawn at random by its share of the traffic. The target is
// chosen by power of d choices over run time and load, in the caller's own zone
// first (locality-aware). Outlier ejection, slow start and a half-open circuit
// breaker limit what failing, new and unreachable targets get.
//
// Time and randomness are arguments. Not thread-safe; each proxy thread owns
// one TargetLoads.

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "kumquatmoor/protocol/attempt_kind.h"
#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {

struct TargetLoadOptions {
  // A target is ejected after this many consecutive failures. The time doubles
  // with each consecutive ejection, from `base_ejection_time` to
  // `max_ejection_time`.
  uint32_t consecutive_failures_to_eject = 5;
  std::chrono::milliseconds base_ejection_time{2'000};
  std::chrono::milliseconds max_ejection_time{30'000};
  // The load of a target counts double for this time after its first request.
  std::chrono::milliseconds slow_start{3'000};
  // Ejection time of a target that refuses requests, such as while it drains.
  std::chrono::milliseconds refusal_ejection_time{1'000};
  // A target that refused a request because it was full or at a limit gets no
  // requests for this time, unless all targets are full. Its load reports do
  // not shorten the time, as they may be old or wrong.
  std::chrono::milliseconds full_backoff{20};
  // A target that refused a retry because its retry budget is used up gets no
  // requests of the same kind for this time.
  std::chrono::milliseconds retry_denied_backoff{200};
  // An unreachable target gets no requests for this time, which doubles with
  // each consecutive failure up to the maximum. After that one request probes
  // it, as in a half-open circuit breaker.
  std::chrono::milliseconds base_unreachable_time{500};
  std::chrono::milliseconds max_unreachable_time{4'000};
  // Weight of the latest request in the moving averages of the failure rate
  // and the latency, which thus follow about the last ten requests.
  double ewma_weight = 0.1;
  // The failure rate halves in this time without requests, so that a target
  // that was avoided gets requests again.
  std::chrono::milliseconds failure_half_life{2'000};
  // The known run time of a target halves in this time without requests, so
  // that a target that was slow gets requests again, the sooner the less slow
  // it was.
  std::chrono::milliseconds run_time_half_life{10'000};
  // A target is an outlier if its failure rate is above `outlier_failure_rate`
  // and above `outlier_rate_ratio` times the mean of the other targets. A fault
  // that all targets share thus makes none of them an outlier.
  double outlier_failure_rate = 0.25;
  double outlier_rate_ratio = 2.5;
  // Targets that are drawn at random, of which the cheapest gets the request.
  // With more of them fewer requests run at slow targets, and more callers
  // choose the same fast one at the same time.
  int choices = 4;
  // Requests per slot up to which a target counts as free.
  double free_load = 0.6;
  // A target of a packed version is filled up to this load before the next one
  // gets requests. Below 1 to leave free slots for bursts.
  double packed_load = 0.75;
  // Older load reports are ignored.
  std::chrono::milliseconds max_report_age{1'000};
  // Large responses are requested from other zones if the link of the target in
  // the own zone would be busy for longer than this.
  std::chrono::milliseconds max_link_wait_in_zone{150};
};

// What the node beside a target says of it in a response.
struct LoadReport {
  uint32_t in_flight = 0;  // Requests of all callers that run or wait.
  // Time until the host's link has sent the responses that are expected.
  std::chrono::milliseconds link_wait{0};
  std::string_view route;  // Of the response; "" if not reported.
  // Expected run time of a request on this route, 0 if not known.
  std::chrono::milliseconds run_time{0};
};

// The load and health of each target, as one proxy thread observes them.
class TargetLoads {
 public:
  explicit TargetLoads(TargetLoadOptions options = {}) : m_options(options) {}

  void OnSent(const std::string& member_id, TimePoint now);
  // A request ended. `failed`: the target did not serve it, for any reason.
  // `latency` is set only for requests that ran.
  void OnDone(const std::string& member_id, bool failed, TimePoint now,
              std::optional<std::chrono::milliseconds> latency = {});
  // No connection to the target's node could be established.
  void OnUnreachable(const std::string& member_id, TimePoint now);
  // The target refuses all requests for now, such as while it drains.
  void OnRefused(const std::string& member_id, TimePoint now);
  // The target refused a request because its slots or a limit were used up.
  void OnFull(const std::string& member_id, TimePoint now) {
    OnFull(member_id, now, m_options.full_backoff);
  }
  // The same, for a limit that admits the next request after `backoff`.
  void OnFull(const std::string& member_id, TimePoint now,
              std::chrono::milliseconds backoff);
  // The target refused a request of this kind because its retry budget is used
  // up.
  void OnRetryDenied(const std::string& member_id, AttemptKind kind,
                     TimePoint now);
  void OnReport(const std::string& member_id, const LoadReport& report,
                TimePoint now);

  const TargetLoadOptions& Options() const { return m_options; }
  bool IsEjected(const std::string& member_id, TimePoint now) const;
  bool IsUnreachable(const std::string& member_id, TimePoint now) const;
  // Moving average of the failure rate, 0 to 1.
  double FailureRate(const std::string& member_id, TimePoint now) const;
  // True if the failure rate is far above `failure_rate_of_others`.
  bool IsOutlier(const std::string& member_id, double failure_rate_of_others,
                 TimePoint now) const;
  // Expected run time of a request on this route: as the target reported it, or
  // the moving average of the latency of all its requests. Halves with each
  // `run_time_half_life` since then. 0 if no request ran yet.
  double RunTimeMs(const std::string& member_id, std::string_view route,
                   TimePoint now) const;
  // True for the backoff time after OnFull().
  bool IsFull(const std::string& member_id, TimePoint now) const;
  // True for `retry_denied_backoff` after OnRetryDenied() for this kind.
  bool IsRetryDenied(const std::string& member_id, AttemptKind kind,
                     TimePoint now) const;
  // The part of its usual rate that a cold target may get, by its slots and run
  // time; 1 if it is not cold.
  double UsableShare(const Target& target, TimePoint now) const;
  // Requests in flight per slot; the target is full from 1 on. Doubled during
  // slow start. A cold target counts with the slots that its rate fills.
  double LoadOf(const Target& target, TimePoint now) const;
  // Time until the link of the target's host is idle, by its last report.
  std::chrono::milliseconds LinkWait(const std::string& member_id,
                                     TimePoint now) const;

 private:
  struct RunTime {
    double ms = 0;
    TimePoint at;
  };
  struct Entry {
    uint32_t in_flight = 0;  // Requests of this thread.
    uint32_t reported = 0;   // Requests of all callers, by the target's report.
    TimePoint reported_at;
    TimePoint first_sent;
    uint32_t consecutive_failures = 0;
    uint32_t consecutive_ejections = 0;
    TimePoint ejected_until;
    TimePoint full_until;
    std::array<TimePoint, 3> retry_denied_until;  // Indexed by AttemptKind.
    uint32_t consecutive_unreachable = 0;
    TimePoint unreachable_until;
    double failure_rate = 0;
    TimePoint failure_rate_at;
    RunTime latency;
    std::map<std::string, RunTime, std::less<>> run_times;  // By route.
    TimePoint link_idle_at;
  };

  TargetLoadOptions m_options;
  std::map<std::string, Entry, std::less<>> m_entries;
};

struct PickOptions {
  std::string_view zone;
  bool idempotent = true;
  AttemptKind kind = AttemptKind::kFirst;
  std::string_view route;
  // The response is large, so that the link of the target's host matters.
  bool bulk = false;
  // Member ids of targets to skip, as earlier attempts were sent to them. Not
  // owned.
  const std::set<std::string>* tried = nullptr;
  // Versions that must not run the request. Not owned.
  const std::set<std::string>* blocked_versions = nullptr;
  // If not empty, all nodes choose the same target for the same key, so that
  // its node can run such requests one after another.
  std::string_view pinned_key;
};

struct Pick {
  const VersionRoutes* version = nullptr;
  const Target* target = nullptr;
  std::string_view reason;  // Why this target, or why none.
};

// Chooses the target of a request. Skips unreachable targets, however many they
// are, unless none is reachable. Skips ejected targets and outliers unless they
// are more than half of the rest. The result points into `service`.
Pick PickTarget(const ServiceRoutes& service, const PickOptions& options,
                const TargetLoads& loads, TimePoint now, std::mt19937_64& rng);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_PICKER_H_
