#include "move_cases.h"

#include <algorithm>

namespace kumquatmoor {
namespace {

constexpr double kCallsPerSecond[] = {4, 40, 200};
// Request rate of the conditions other than "calm".
constexpr double kCallsPerSecondUnderConditions = 40;

const Deployment kDeployments[] = {
    {"sagarmatha", {"l1", "l2", "l3", "l4"}, 4},
    {"otopark", {"c1", "c2", "c3"}, 3},
};

const Condition kConditions[] = {
    {.name = "calm"},
    {.name = "clocks apart", .max_clock_skew_s = 5},
    {.name = "evidence late", .report_loss = 0.2, .report_delay_s = 2},
    {.name = "judges killed", .analyzers_killed = true},
    {.name = "zone cut off", .zone_partitioned = true},
    {.name = "deadline in 30 s", .deadline_s = 30},
    {.name = "writes only", .writes_only = true},
};

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> kFaults = {
      {.name = "none", .bad = false},
      {.name = "noise",
       .bad = false,
       .error_rate = 0.002,
       .every_version = true},
      {.name = "cold start", .bad = false, .slow_factor = 10, .cold_s = 3},
      {.name = "one bad target",
       .bad = false,
       .error_rate = 1,
       .after_s = 5,
       .one_target = true},
      {.name = "one slow target",
       .bad = false,
       .slow_factor = 10,
       .after_s = 5,
       .one_target = true},
      {.name = "common cause",
       .bad = false,
       .error_rate = 0.5,
       .after_s = 20,
       .every_version = true},
      {.name = "everything slow",
       .bad = false,
       .slow_factor = 10,
       .after_s = 20,
       .every_version = true},
      {.name = "all fail", .error_rate = 1},
      {.name = "half fail", .error_rate = 0.5},
      {.name = "one in ten fails", .error_rate = 0.1},
      {.name = "one route fails", .error_rate = 1, .route = "POST /pay"},
      {.name = "hangs", .error_rate = 1, .hangs = true},
      {.name = "fails later", .error_rate = 1, .after_s = 15},
      {.name = "fails after the move", .error_rate = 0.5, .after_s = 62},
      {.name = "fails under load", .error_rate = 0.5, .above_share = 0.3},
      {.name = "leaks", .error_rate = 1, .grows_over_s = 60},
      {.name = "ten times slower", .slow_factor = 10},
      {.name = "twice as slow", .slow_factor = 2.5},
      {.name = "slow tail", .slow_factor = 10, .slow_rate = 0.1},
  };
  return kFaults;
}

}  // namespace

std::vector<Case> AllCases(const CaseOptions& options) {
  std::vector<Case> cases;
  for (const auto& condition : kConditions) {
    const bool calm = &condition == &kConditions[0];
    const uint64_t seeds =
        calm ? options.seeds : std::max<uint64_t>(1, options.seeds / 3);
    for (const auto& deployment : kDeployments) {
      for (const auto& fault : Faults()) {
        if (!options.only.empty() && fault.name != options.only) continue;
        for (double calls_per_s : kCallsPerSecond) {
          if (!calm && calls_per_s != kCallsPerSecondUnderConditions) continue;
          for (uint64_t i = 0; i < seeds; ++i) {
            cases.push_back({.deployment = &deployment,
                             .fault = &fault,
                             .condition = &condition,
                             .calls_per_s = calls_per_s,
                             .seed = options.first_seed + i});
          }
        }
      }
    }
  }
  return cases;
}

}  // namespace kumquatmoor
