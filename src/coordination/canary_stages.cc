// The schedule of the stages: the time to the deadline, less the time to
// settle, is divided among the stages that are left. A stage lasts its part of
// it, and longer while a test's score is high, too many requests fail or the
// canary versions lack slots. Followers wait for the pilot zone and then skip
// the stages that it has gone through.

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>
#include <numeric>

#include "kumquatmoor/coordination/canary_analyzer.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Time without requests on a route after which its score no longer holds the
// stage.
constexpr std::chrono::seconds kScoreLifetime{8};
// Minimum number of requests at a stage whose error rate can hold the stage.
constexpr uint64_t kMinCallsForErrorRate = 8;
// Fraction of the canary versions' slots that a stage may fill.
constexpr double kMaxSlotUtilization = 0.9;

// Returns the fraction of the remaining time that `stage` may take.
double FractionOfTimeLeft(uint32_t stage, const StageTimeWeights& weights) {
  const auto index = static_cast<size_t>(std::distance(
      std::begin(kStages),
      std::lower_bound(std::begin(kStages), std::end(kStages), stage)));
  if (index == 0 || index > weights.size()) return 1;
  const double* own = weights.data() + index - 1;
  return *own / std::accumulate(own, weights.data() + weights.size(), 0.0);
}

}  // namespace

double CanaryAnalyzer::RegressionScore(TimePoint now) const {
  double highest = 0;
  for (const auto& [route, tests] : m_tests) {
    // Without the limit, a target that gets no more requests would hold the
    // stage forever.
    if (now - tests.added_at > kScoreLifetime) continue;
    highest = std::max(highest, tests.Score());
  }
  return highest / SequentialTest::kThreshold;
}

void CanaryAnalyzer::DecideOnStage(ClockReading time, TimePoint observed,
                                   const MoveProgress& progress,
                                   const ReachableTargetCounts& targets,
                                   std::vector<CanaryDecision>* decisions) {
  const uint32_t stage = progress.StageOf(m_options.zone);
  if (stage != m_stage) {
    m_stage = stage;
    m_stage_since = observed;
    m_calls_at_stage = 0;
    m_errors_at_stage = 0;
  }
  const auto at_stage = observed - m_stage_since;
  m_stage_hold_reason.clear();
  if (RegressionScore(observed) >= kHoldScore) {
    m_stage_hold_reason = "the evidence is not clear yet";
  } else if (stage >= kFullStage) {
    const bool follows_pilot =
        HasPilot(targets) && m_options.zone != targets.pilot_zone;
    if (!m_settled &&
        at_stage >= (follows_pilot ? kFollowerSettle : m_options.settle)) {
      m_settled = true;
      decisions->emplace_back(SettleZone{});
    }
  } else if (ExceedsMaxErrorRate()) {
    m_stage_hold_reason = "too many requests fail to raise the share";
    if (at_stage >= Dwell(time)) {
      m_stage_since = observed;
      m_calls_at_stage = 0;
      m_errors_at_stage = 0;
    }
  } else if (targets.canary_slots == 0) {
    m_stage_hold_reason = "no live target of the new version";
  } else if (HasPilot(targets) && stage >= kFollowerMaxStage &&
             m_options.zone != targets.pilot_zone &&
             progress.settled.count(targets.pilot_zone) == 0) {
    m_stage_hold_reason = "the pilot zone has not settled";
  } else if (!HasSlotsForStage(NextStageOfZone(targets), targets)) {
    m_stage_hold_reason =
        "the new version has too few slots for its next share";
  } else if (stage == 0) {
    decisions->emplace_back(
        RaiseStage{.stage_permille = NextStage(stage), .reason = "first"});
  } else if (NextStageOfZone(targets) > NextStage(stage)) {
    decisions->emplace_back(
        RaiseStage{.stage_permille = NextStageOfZone(targets),
                   .reason = targets.pilot_zone + " has settled"});
  } else {
    const milliseconds dwell = Dwell(time);
    const bool enough_calls = m_calls_at_stage >= m_options.min_calls;
    if (at_stage >= 2 * dwell || (at_stage >= dwell && enough_calls)) {
      decisions->emplace_back(RaiseStage{
          .stage_permille = NextStage(stage),
          .reason =
              fmt::format("{} requests without a finding", m_calls_at_stage)});
    }
  }
}

bool CanaryAnalyzer::HasPilot(const ReachableTargetCounts& targets) const {
  return m_options.uses_pilot && !targets.pilot_zone.empty();
}

bool CanaryAnalyzer::PilotIsAhead(const MoveProgress& progress,
                                  const ReachableTargetCounts& targets) const {
  return HasPilot(targets) &&
         progress.StageOf(targets.pilot_zone) > kFollowerMaxStage;
}

// Once the pilot zone has settled, the followers skip the stages up to full
// stage, which the pilot zone has tested.
uint32_t CanaryAnalyzer::NextStageOfZone(
    const ReachableTargetCounts& targets) const {
  const bool follows_pilot =
      HasPilot(targets) && m_options.zone != targets.pilot_zone;
  if (follows_pilot && m_stage >= kFollowerMaxStage) return kFullStage;
  return NextStage(m_stage);
}

bool CanaryAnalyzer::ExceedsMaxErrorRate() const {
  return m_calls_at_stage >= kMinCallsForErrorRate &&
         static_cast<double>(m_errors_at_stage) >
             m_options.max_error_rate * static_cast<double>(m_calls_at_stage);
}

milliseconds CanaryAnalyzer::Dwell(ClockReading time) const {
  const int64_t deadline = MoveDeadline(m_config);
  int64_t left_ms = deadline - time.unix_ms;
  if (m_options.deadline) {
    left_ms =
        std::chrono::duration_cast<milliseconds>(*m_options.deadline - time.now)
            .count();
  } else if (deadline == 0) {
    return m_options.default_dwell;
  }
  // The move should also settle before its deadline: once, or with a pilot zone
  // twice, as the followers settle after it.
  const int64_t settle_count = m_options.uses_pilot ? 2 : 1;
  const auto left = static_cast<double>(
      std::max<int64_t>(0, left_ms - settle_count * m_options.settle.count()));
  const milliseconds planned(static_cast<int64_t>(
      left * m_options.planned_fraction *
      FractionOfTimeLeft(m_stage, m_options.stage_time_weights)));
  return std::clamp(planned, m_options.min_dwell, m_options.max_dwell);
}

bool CanaryAnalyzer::HasSlotsForStage(
    uint32_t stage, const ReachableTargetCounts& targets) const {
  double in_flight = 0;
  double zone_slots = 0;
  for (const auto& [key, reporter] : m_reporters) {
    in_flight += reporter.in_flight;
    zone_slots += reporter.slots;
  }
  if (zone_slots <= 0) return true;
  double share = 0;
  for (const auto& row : m_config.rows()) {
    if (IsCanary(row)) share += ShareAt(row, stage, false);
  }
  const double demand = in_flight / zone_slots * targets.all_slots;
  return share * demand <= kMaxSlotUtilization * targets.canary_slots;
}

}  // namespace kumquatmoor
