#ifndef KUMQUATMOOR_BENCH_FIXED_THRESHOLDS_H_
#define KUMQUATMOOR_BENCH_FIXED_THRESHOLDS_H_

// FixedThresholds: a simpler canary analysis with the interface of
// CanaryAnalyzer, as a reference for `make moves`.

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

// Recalls the canary version at more than 5% errors, or at more than twice the
// mean latency of the baseline version, over all routes, once 50 requests are
// counted. Stages rise at fixed times.
class FixedThresholds {
 public:
  FixedThresholds(const ServiceConfig& config, CanaryAnalyzerOptions options,
                  ClockReading time)
      : m_options(std::move(options)),
        m_start(time.now),
        m_time_to_deadline_s(static_cast<double>(MoveDeadline(config)) /
                             1'000) {}

  void OnOutcomeCounts(const std::string& reporter, int64_t /*incarnation*/,
                       const Evidence& counts) {
    OutcomeTally& tally = m_tallies[{counts.version(), reporter}];
    tally = OutcomeTally();
    for (const auto& route : counts.routes()) {
      tally.Add(OutcomeTally::FromCounts(route));
    }
  }

  std::vector<CanaryDecision> Tick(ClockReading time,
                                   const MoveProgress& progress,
                                   const ReachableTargetCounts& /*targets*/) {
    std::vector<CanaryDecision> decisions;
    if (progress.IsRecalled()) return decisions;
    OutcomeTally baseline;
    OutcomeTally canary;
    for (const auto& [key, tally] : m_tallies) {
      (key.first == "v1" ? baseline : canary).Add(tally);
    }
    if (canary.total >= kMinCalls) {
      const double errors = static_cast<double>(canary.errors) /
                            static_cast<double>(canary.total);
      const double latency_ratio = Mean(canary) / std::max(0.1, Mean(baseline));
      if (errors > 0.05 || latency_ratio > 2) {
        decisions.emplace_back(
            RecallVersion{.version = "v2", .reason = "threshold"});
        return decisions;
      }
    }
    const uint32_t stage = progress.StageOf(m_options.zone);
    const double elapsed_s =
        std::chrono::duration<double>(time.now - m_start).count();
    const double stage_s =
        m_time_to_deadline_s * m_options.planned_fraction / 5;
    const auto due = static_cast<size_t>(elapsed_s / stage_s) + 1;
    const uint32_t wanted = kStages[std::min<size_t>(due, 5)];
    if (stage < wanted) {
      decisions.emplace_back(RaiseStage{.stage_permille = NextStage(stage)});
    }
    return decisions;
  }

 private:
  static constexpr uint64_t kMinCalls = 50;

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
  double m_time_to_deadline_s;  // At the start of the move.
  std::map<std::pair<std::string, std::string>, OutcomeTally> m_tallies;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_BENCH_FIXED_THRESHOLDS_H_
