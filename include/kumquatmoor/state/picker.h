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
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {

struct TargetLoadOptions {
  // Failures in a row after which a target is ejected.
  uint32_t ejection_failures = 5;
  std::chrono::milliseconds first_ejection{2'000};
  std::chrono::milliseconds longest_ejection{30'000};
  // A new target's load counts more until this time has passed.
  std::chrono::milliseconds slow_start{3'000};
  std::chrono::milliseconds refusal_ejection{1'000};
  // A target that refused since it was full or at a limit gets no requests for
  // so long, as long as others are left. Its own reports may lag or lie.
  std::chrono::milliseconds full_rest{20};
  // A load report older than this is not used.
  std::chrono::milliseconds report_lifetime{1'000};
};

// What one proxy thread knows of the load and health of each target.
class TargetLoads {
 public:
  explicit TargetLoads(TargetLoadOptions options = {}) : m_options(options) {}

  void OnSent(const std::string& member_id, TimePoint now);
  // `failed`: the target did not do its work, for whatever reason.
  void OnDone(const std::string& member_id, bool failed, TimePoint now);
  // The target refuses requests for now, such as while it drains.
  void OnRefused(const std::string& member_id, TimePoint now);
  // The target refused a request since its slots or a limit were taken up.
  void OnFull(const std::string& member_id, TimePoint now);
  // The target's own report, which counts requests of all callers.
  void OnReport(const std::string& member_id, uint32_t in_flight,
                TimePoint now);

  bool IsEjected(const std::string& member_id, TimePoint now) const;
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
    uint32_t failures_in_a_row = 0;
    uint32_t ejections_in_a_row = 0;
    TimePoint ejected_until;
    TimePoint full_until;
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

// The target for a request. At most half of a version's targets are passed
// over because they are ejected.
Pick PickTarget(const ServiceRoutes& service, const PickOptions& options,
                const TargetLoads& loads, TimePoint now, std::mt19937_64& rng);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_PICKER_H_
