#ifndef KUMQUATMOOR_BENCH_FIXED_THRESHOLDS_H_
#define KUMQUATMOOR_BENCH_FIXED_THRESHOLDS_H_

// FixedThresholds: a simpler way to judge, with the interface of
// CanaryAnalyzer, to compare it with.

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kumquatmoor/coordination/canary_analyzer.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {

// The way that was weighed against the sequential comparison: more than 5%
// errors, or a mean latency of more than twice the old one, over all routes,
// once 50 requests were counted; stages at fixed times.
class FixedThresholds {
 public:
  FixedThresholds(const ServiceConfig& config, CanaryAnalyzerOptions options,
                  ClockReading time)
      : m_options(std::move(options)),
        m_start(time.now),
        m_time_s(static_cast<double>(MoveDeadline(config)) / 1'000) {}

  void OnOutcomeCounts(const std::string& reporter, int64_t /*incarnation*/,
                       const Evidence& evidence) {
    OutcomeTally& tally = m_tallies[{evidence.version(), reporter}];
    tally = OutcomeTally();
    for (const auto& route : evidence.routes()) {
      tally.Add(OutcomeTally::FromCounts(route));
    }
  }

  std::vector<CanaryDecision> Tick(ClockReading time,
                                   const MoveProgress& progress,
                                   const ReachableTargetCounts& /*targets*/) {
    std::vector<CanaryDecision> rulings;
    if (progress.IsRecalled()) return rulings;
    OutcomeTally old_tally;
    OutcomeTally new_tally;
    for (const auto& [key, tally] : m_tallies) {
      (key.first == "v1" ? old_tally : new_tally).Add(tally);
    }
    if (new_tally.total >= kFewestCalls) {
      const double errors = static_cast<double>(new_tally.errors) /
                            static_cast<double>(new_tally.total);
      const double slower = Mean(new_tally) / std::max(0.1, Mean(old_tally));
      if (errors > 0.05 || slower > 2) {
        rulings.emplace_back(
            RecallVersion{.version = "v2", .reason = "threshold"});
        return rulings;
      }
    }
    const uint32_t stage = progress.StageOf(m_options.zone);
    const double passed =
        std::chrono::duration<double>(time.now - m_start).count();
    const double step = m_time_s * m_options.planned_fraction / 5;
    const auto due = static_cast<size_t>(passed / step) + 1;
    const uint32_t wanted = kStages[std::min<size_t>(due, 5)];
    if (stage < wanted) {
      rulings.emplace_back(RaiseStage{.stage_permille = NextStage(stage)});
    }
    return rulings;
  }

 private:
  static constexpr uint64_t kFewestCalls = 50;

  static double Mean(const OutcomeTally& tally) {
    double sum = 0;
    for (size_t i = 0; i < tally.latency.size(); ++i) {
      sum += static_cast<double>(tally.latency[i]) * kLowestLatencyMs *
             std::exp2(static_cast<double>(i) / 2);
    }
    return tally.warm_total == 0 ? 0
                                 : sum / static_cast<double>(tally.warm_total);
  }

  CanaryAnalyzerOptions m_options;
  TimePoint m_start;
  double m_time_s;  // From the start to the deadline.
  std::map<std::pair<std::string, std::string>, OutcomeTally> m_tallies;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_BENCH_FIXED_THRESHOLDS_H_
