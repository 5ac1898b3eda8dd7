#ifndef KUMQUATMOOR_BENCH_MOVE_CASES_H_
#define KUMQUATMOOR_BENCH_MOVE_CASES_H_

// The cases of `make moves`: deployments, faults of the new version, and
// conditions of the mesh.
//
//   for (const Case& c : AllCases({.seeds = 12})) {
//     MoveRun<CanaryAnalyzer>(c).Run();
//   }

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace kumquatmoor {

struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  size_t targets = 0;  // Of the moving service, per version.
};

// A fault of the new version, or of all versions.
struct Fault {
  std::string name;
  bool bad = true;  // The version has to be recalled.
  double error_rate = 0;
  double slow_factor = 1;
  double slow_rate = 1;  // Fraction of the requests that are slow.
  std::string route;     // The route that has the fault; "": all.
  double after_s = 0;    // Start of the fault, from the start of the move.
  // Fraction of full stage, in the first zone, from which on the fault shows.
  double above_share = 0;
  double grows_over_s = 0;  // Time in which a target's error rate rises from 0.
  bool hangs = false;       // Failing requests take the whole timeout.
  bool one_target = false;  // Only one target of the version has the fault.
  bool every_version = false;
  // If set, a target has the fault only for this long after its first request.
  double cold_s = 0;
};

// A condition of the mesh, independent of the version's fault.
struct Condition {
  std::string name;
  double deadline_s = 60;
  double max_clock_skew_s = 0;    // Of the zones' clocks, in both directions.
  double report_loss = 0.02;      // Fraction of the reports that are lost.
  double report_delay_s = 0.3;    // Maximum.
  bool analyzers_killed = false;  // All at once, at a random time.
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
  uint64_t seeds = 12;  // Per deployment, fault and request rate.
  uint64_t first_seed = 1;
  std::string only;  // Name of the only fault to run; "": all.
};

// Returns every fault at every request rate under the condition "calm", and at
// one rate, with a third of the seeds, under every other condition.
std::vector<Case> AllCases(const CaseOptions& options);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_BENCH_MOVE_CASES_H_
