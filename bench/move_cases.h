#ifndef KUMQUATMOOR_BENCH_MOVE_CASES_H_
#define KUMQUATMOOR_BENCH_MOVE_CASES_H_

// The cases of `make moves`: deployments, what is wrong with the new version,
// and what goes wrong around the move.
//
//   for (const Case& c : AllCases({.seeds = 12}))
//   Run<CanaryAnalyzer>(c).Watch();

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace kumquatmoor {

struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  size_t targets = 0;  // Of the service that moves, for each version.
};

// What is wrong with the new version, or with everything.
struct Fault {
  std::string name;
  bool bad = true;  // The version is to be taken back.
  double error_rate = 0;
  double slow_factor = 1;
  double slow_rate = 1;     // Part of the requests that are slow.
  std::string route;        // Only this one; "": all.
  double after_s = 0;       // From the version's first request on.
  double above_share = 0;   // Only once its share is above this.
  double grows_over_s = 0;  // The error rate rises from 0 over this time.
  bool hangs = false;       // Errors take the whole timeout.
  bool one_target = false;  // Only on one target of the version.
  bool every_version = false;
  double cold_s = 0;  // Slow only in the first seconds.
};

// What goes wrong around the move, whatever the version is like.
struct Condition {
  std::string name;
  double deadline_s = 60;
  double max_clock_skew_s = 0;  // Judges' clocks, up to this either way.
  double report_loss = 0.02;    // Part of the reports.
  double report_delay_s = 0.3;
  bool analyzers_killed = false;  // All at once, at a time drawn for the case.
  bool zone_partitioned = false;  // The last zone, from 10 s to 50 s.
  bool writes_only = false;       // Every request has side effects.
};

struct Case {
  const Deployment* deployment = nullptr;
  const Fault* fault = nullptr;
  const Condition* condition = nullptr;
  double calls_per_s = 0;
  uint64_t seed = 0;
};

struct CaseOptions {
  uint64_t seeds = 12;  // For each deployment, fault and rate.
  uint64_t first_seed = 1;
  std::string only;  // This fault only; "": all.
};

// Every fault at every rate in calm, and under every other condition at one
// rate with a third of the seeds.
std::vector<Case> AllCases(const CaseOptions& options);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_BENCH_MOVE_CASES_H_
