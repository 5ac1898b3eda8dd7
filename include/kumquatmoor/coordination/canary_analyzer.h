#ifndef KUMQUATMOOR_COORDINATION_CANARY_ANALYZER_H_
#define KUMQUATMOOR_COORDINATION_CANARY_ANALYZER_H_

// CanaryAnalyzer: decides over one move in one zone, from the evidence that the
// targets of that zone send.
//
//   CanaryAnalyzer judge(config, {.zone = "zone-a"}, time);
//   judge.OnOutcomeCounts("node-4", incarnation, evidence);
//   for (const Ruling& ruling : judge.Tick(time, progress, slots)) {
//     std::visit(publisher, ruling);
//   }
//
// A fault on a single target is not held against its version: the target is
// blamed and gets no requests while the move goes on. If more targets than one
// in four fail, the version is at fault.
//
// The judge compares the rising versions with the others, route by route, for
// errors and for latency. It raises the stage while nothing is found, planned
// backwards from the deadline, and recalls a version as soon as it is worse.
// It goes on watching at full stage. Two judges of one move do no harm: their
// rulings join. Pure: time is an argument, no I/O. Not thread-safe.
//
// A short move goes through a pilot zone (canary release): the others stay at a
// small share until the pilot zone has carried its full share and settled. Its
// targets then have the load of the full share, so that a fault that shows only
// under load meets one zone's requests, not everyone's. While the pilot zone is
// ahead, its targets cannot be compared with those of other zones, and what
// fails on a single one recalls the version.

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/baseline.h"
#include "kumquatmoor/coordination/failure_test.h"
#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/marks.h"
#include "kumquatmoor/state/outcome_counters.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {

// Relative times of the stages below the full one.
using StageTimeWeights = std::array<double, std::size(kStages) - 2>;

// Stages of a move that must be short, of which the pilot zone makes the last
// two alone. What a bad version meets before it is found out is the sum of
// share times time; a fault that does not depend on load shows at the second.
inline constexpr StageTimeWeights kShortMoveStageTimeWeights = {1, 2.5, 1, 1};
// Highest stage of the other zones until the pilot zone has settled.
inline constexpr uint32_t kFollowerMaxStage = 50;
// Full stage in the pilot zone. At a hundred requests a second a failure rate
// of 8% shows within this time.
inline constexpr std::chrono::milliseconds kShortMoveSettle{2'500};
// Full stage in the others, which confirm what the pilot zone has shown.
inline constexpr std::chrono::milliseconds kFollowerSettle{1'500};
// Part of the time beside both settles; the rest is for the old version's last
// requests, which may take seconds, and for what comes late.
inline constexpr double kShortMovePlannedFraction = 0.5;
inline constexpr double kShortMoveMaxErrorRate = 0.15;
// A factor of 2: backend servers of one service differ by up to 2.3, of which
// the baseline allows 1.4. Bad versions are several times slower.
inline constexpr size_t kShortMoveLatencySlackBuckets = 2;

struct CanaryAnalyzerOptions {
  std::string zone;
  // Time at each stage of a move without a deadline.
  std::chrono::milliseconds default_dwell{10'000};
  // A stage never takes less, however close the deadline is, ...
  std::chrono::milliseconds min_dwell{1'000};
  // ... and not more, however far it is.
  std::chrono::milliseconds max_dwell{60'000};
  // Time at full stage without a finding after which the move is settled.
  std::chrono::milliseconds settle{3'000};
  // Requests to a rising version that a stage waits for, up to twice its dwell.
  uint64_t min_calls = 20;
  // Part of the time to the deadline that the stages may use.
  double planned_fraction = 0.7;
  // Latency buckets, each a factor of the square root of 2, by which a rising
  // version may be slower beyond what the baseline allows. For services whose
  // backend servers differ in speed, so that a version's few are no sample.
  size_t latency_slack_buckets = 0;
  // Part of a rising version's requests at a stage that may fail, for whatever
  // reason, before the stage stays. A failure that strikes every version alike
  // recalls none, but is no time to raise a share either.
  double max_error_rate = 1;
  StageTimeWeights stage_time_weights = {1, 1, 1, 1};
  // The zone that ReachableTargetCounts names goes ahead of the others.
  bool uses_pilot = false;
  // Deadline of a move whose rows name none.
  std::optional<TimePoint> deadline;
};

// Options of a move that has to end by `deadline`, seconds from now. Its stages
// wait for no number of requests: the time planned for them is all there is.
CanaryAnalyzerOptions ShortMoveOptions(std::string zone, TimePoint deadline);

// Raises the stage of the move in the judge's zone.
struct RaiseStage {
  uint32_t stage_permille = 0;
  std::string reason;
};
// Takes a version back, everywhere and for good.
struct RecallVersion {
  std::string version;
  std::string reason;
};
// The zone is at full stage and nothing was found.
struct SettleZone {};
// One target fails; its version is not to blame.
struct ExcludeTarget {
  std::string version;
  std::string member_id;
  std::string reason;
};
using CanaryDecision =
    std::variant<RaiseStage, RecallVersion, SettleZone, ExcludeTarget>;

// Both clocks at the same moment.
struct ClockReading {
  TimePoint now;
  int64_t unix_ms = 0;
};

// The targets of the service that can be reached, in the whole mesh.
struct ReachableTargetCounts {
  uint32_t canary_slots = 0;    // Of versions that gain traffic, unless blamed.
  uint32_t all_slots = 0;       // Of every version of the service.
  uint32_t canary_targets = 0;  // Number of targets that gain traffic.
  // Zone with such targets that goes first; "" if there are none.
  std::string pilot_zone;
};

class CanaryAnalyzer {
 public:
  CanaryAnalyzer(ServiceConfig config, CanaryAnalyzerOptions options,
                 ClockReading time);

  // Takes the cumulative counts of the target at `reporter`.
  void OnOutcomeCounts(const std::string& reporter, int64_t incarnation,
                       const Evidence& evidence);

  // What follows from the evidence so far. `progress` is what all judges
  // together have decided.
  std::vector<CanaryDecision> Tick(ClockReading time,
                                   const MoveProgress& progress,
                                   const ReachableTargetCounts& targets);

  // Evidence against the rising versions, as a part of what recalls them.
  double RegressionScore(TimePoint now) const;
  // Why the stage does not rise, or "" if it does.
  const std::string& StageHoldReason() const { return m_stage_hold_reason; }

 private:
  using ReporterKey = std::pair<std::string, std::string>;  // Version, node.
  using RouteKey = std::pair<std::string, std::string>;     // Version, route.

  // The latest report of one target.
  struct Reporter {
    int64_t incarnation = 0;
    uint64_t sequence = 0;
    uint32_t slots = 0;
    uint32_t in_flight = 0;
    std::map<std::string, OutcomeTally> latest;  // By route.
    std::map<std::string, OutcomeTally> judged;  // Part that was judged.
  };
  struct RequestCount {
    uint64_t total = 0;
    uint64_t errors = 0;
  };
  struct RouteTests {
    FailureTest errors;
    FailureTest slow;
    FailureTest tail;
    TimePoint added_at;  // Of the latest evidence.
    // Requests to the steady versions when the evidence of errors began.
    RequestCount baseline_at_start;
    // When the errors were first too many, if they are.
    std::optional<TimePoint> exceeded_at;

    double Score() const;
    // Tests requests against how the route's other versions behave.
    void Add(const std::string& reporter, const OutcomeTally& tally,
             const RouteBaseline& baseline, size_t latency_slack_buckets);
    bool HasTarget(const std::string& target) const;
  };
  // What one target added on one route since the last tick.
  struct Increment {
    RouteKey route;
    std::string reporter;
    OutcomeTally tally;
  };

  bool IsCanaryVersion(const std::string& version) const;
  void CollectIncrements(TimePoint now);
  void MergeExcluded(const MoveProgress& progress);
  void ResetTestsWith(const std::string& member_id);
  void TestIncrement(const Increment& increment, TimePoint now);
  std::optional<CanaryDecision> DecideOnRoute(
      const RouteKey& route, RouteTests* tests,
      const ReachableTargetCounts& targets, bool may_exclude,
      TimePoint now) const;
  RequestCount BaselineRequestsSince(const std::string& path,
                                     const RouteTests& tests) const;
  bool IsCommonFault(const std::string& path, const RouteTests& tests) const;
  bool BaselineHasReported(const std::string& path, const RouteTests& tests,
                           TimePoint now) const;
  std::optional<CanaryDecision> DecideOnExcluded(
      const ReachableTargetCounts& targets) const;
  static uint32_t MaxExcluded(const ReachableTargetCounts& targets);
  void DecideOnStage(ClockReading time, const MoveProgress& progress,
                     const ReachableTargetCounts& targets,
                     std::vector<CanaryDecision>* rulings);
  bool ExceedsMaxErrorRate() const;
  bool HasPilot(const ReachableTargetCounts& targets) const;
  bool PilotIsAhead(const MoveProgress& progress,
                    const ReachableTargetCounts& targets) const;
  // The stage after the present one.
  uint32_t NextStageOfZone(const ReachableTargetCounts& targets) const;
  std::chrono::milliseconds Dwell(ClockReading time) const;
  bool HasSlotsForStage(uint32_t stage,
                        const ReachableTargetCounts& targets) const;

  ServiceConfig m_config;
  CanaryAnalyzerOptions m_options;
  std::map<ReporterKey, Reporter> m_reporters;
  std::map<RouteKey, RouteTests> m_tests;
  std::map<std::string, RouteBaseline> m_baselines;  // By route.
  // Requests to the steady versions by route, after each of the last ticks.
  std::deque<std::map<std::string, RequestCount>> m_baseline_counts{1};
  TimePoint
      m_baseline_request_at;  // When a steady version last ended a request.
  std::vector<Increment> m_waiting;  // Of rising versions, judged next tick.
  std::set<std::string> m_excluded;  // Nodes whose target is at fault.
  TimePoint m_stage_since;
  uint32_t m_stage = 0;
  uint64_t m_calls_at_stage = 0;
  uint64_t m_errors_at_stage = 0;
  std::string m_stage_hold_reason;
  bool m_settled = false;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_CANARY_ANALYZER_H_
