#ifndef KUMQUATMOOR_COORDINATION_CANARY_ANALYZER_H_
#define KUMQUATMOOR_COORDINATION_CANARY_ANALYZER_H_

// CanaryAnalyzer: canary analysis of one move in one zone. From the outcome
// counts that the zone's targets report it decides when the canary versions get
// a larger share of the traffic, and when they are rolled back.
//
//   CanaryAnalyzer analyzer(config, {.zone = "zone-a"}, time);
//   analyzer.OnOutcomeCounts("node-4", incarnation, counts);
//   for (const CanaryDecision& decision :
//        analyzer.Tick(time, progress, targets)) {
//     std::visit(publisher, decision);
//   }
//
// Canary versions are compared with the baseline versions route by route, for
// errors and for latency. While no regression is found, the zone's stage (the
// part of the move that it has made, in thousandths) rises on a schedule that
// is planned backwards from the move's deadline. A version that is found to be
// worse is recalled, also after it has reached full stage.
//
// A fault on a single target does not count against its version: the target is
// excluded, and gets no requests of the move while the move goes on. One target
// in four, and at least one, may be excluded; if more fail, or if the version's
// only target fails, the version is at fault.
//
// Several analyzers may work on one move, since their decisions merge. Time is
// an argument of each call, and there is no I/O, so that equal calls give equal
// decisions. Not thread-safe.
//
// A short move goes through a pilot zone: the other zones (the followers) stay
// at a small share until the pilot zone has carried its full share and settled.
// The pilot zone's targets then have the load of the full share, so that a
// fault that shows only under load affects the requests of one zone. While the
// pilot zone is ahead, its targets cannot be compared with those of other
// zones, so a failure of a single target recalls the version.

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
#include "kumquatmoor/state/observed_clock.h"
#include "kumquatmoor/state/outcome_counters.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {

// Relative durations of the stages between 0 and full stage.
using StageTimeWeights = std::array<double, std::size(kStages) - 2>;

// In a short move only the pilot zone goes through the last two stages. The
// exposure to a bad version is the sum of share times duration, so small shares
// last longest; a fault that does not depend on load shows at the second stage.
inline constexpr StageTimeWeights kShortMoveStageTimeWeights = {1, 2.5, 1, 1};
// Highest stage of the followers until the pilot zone has settled.
inline constexpr uint32_t kFollowerMaxStage = 50;
// Time at full stage after which the pilot zone settles. At a hundred requests
// per second a failure rate of 8% is found within this time.
inline constexpr std::chrono::milliseconds kShortMoveSettle{2'500};
// Settle time of the followers, which only confirm the pilot zone's result.
inline constexpr std::chrono::milliseconds kFollowerSettle{1'500};
// Fraction of the time to the deadline, less both settle times, that the stages
// may use. The rest covers the outgoing version's last requests, which may take
// seconds, and delayed reports.
inline constexpr double kShortMovePlannedFraction = 0.5;
inline constexpr double kShortMoveMaxErrorRate = 0.15;
// Two buckets are a factor of 2. Backend servers of one service differ in speed
// by a factor of up to 2.3, of which the baseline allows 1.4. Bad versions are
// several times slower.
inline constexpr size_t kShortMoveLatencySlackBuckets = 2;

struct CanaryAnalyzerOptions {
  std::string zone;
  // Time at each stage of a move without a deadline.
  std::chrono::milliseconds default_dwell{10'000};
  // Bounds of the time at a stage, however close or far the deadline is.
  std::chrono::milliseconds min_dwell{1'000};
  std::chrono::milliseconds max_dwell{60'000};
  // Time at full stage without a regression after which the zone is settled.
  std::chrono::milliseconds settle{3'000};
  // Requests to the canary versions that a stage waits for, up to twice its
  // dwell time.
  uint64_t min_calls = 20;
  // Fraction of the time to the deadline that the stages may use.
  double planned_fraction = 0.7;
  // Latency buckets, each a factor of the square root of 2, by which a canary
  // version may be slower in addition to the baseline's tolerance. Needed where
  // the backend servers of a service differ in speed, so that a version's few
  // targets are no representative sample.
  size_t latency_slack_buckets = 0;
  // Error rate of the canary versions at a stage, whatever the cause, above
  // which the stage does not rise. A fault of every version recalls none, but
  // while it lasts no share should grow.
  double max_error_rate = 1;
  StageTimeWeights stage_time_weights = {1, 1, 1, 1};
  // The zone that ReachableTargetCounts names goes ahead of the other zones.
  bool uses_pilot = false;
  // Deadline on the monotonic clock; takes precedence over the wall-clock
  // deadline that the move's rows name, if any.
  std::optional<TimePoint> deadline;
};

// Options of a move that has to end by `deadline`, which is seconds away. Its
// stages do not wait for a number of requests, as there is no spare time.
CanaryAnalyzerOptions ShortMoveOptions(std::string zone, TimePoint deadline);

// Raises the stage of the move in the analyzer's zone.
struct RaiseStage {
  uint32_t stage_permille = 0;
  std::string reason;
};
// Rolls a version back in every zone, permanently.
struct RecallVersion {
  std::string version;
  std::string reason;
};
// The zone stayed at full stage for the settle time without a regression.
struct SettleZone {};
// Excludes an outlier target; its version goes on.
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

// The service's targets in the whole mesh that can be reached.
struct ReachableTargetCounts {
  uint32_t canary_slots = 0;    // Of the canary targets that are not excluded.
  uint32_t all_slots = 0;       // Of every version of the service.
  uint32_t canary_targets = 0;  // Including the excluded ones.
  // Zone with canary targets that goes first; "" if there is none.
  std::string pilot_zone;
};

class CanaryAnalyzer {
 public:
  CanaryAnalyzer(ServiceConfig config, CanaryAnalyzerOptions options,
                 ClockReading time);

  // Stores the cumulative counts of the target on node `reporter`. Reports may
  // be repeated, lost or reordered.
  void OnOutcomeCounts(const std::string& reporter, int64_t incarnation,
                       const Evidence& counts);

  // Returns the decisions that follow from the counts so far. `progress` is the
  // merged result of all analyzers of the move.
  std::vector<CanaryDecision> Tick(ClockReading time,
                                   const MoveProgress& progress,
                                   const ReachableTargetCounts& targets);

  // The highest test score of the canary versions, as a fraction of the score
  // at which a version is recalled.
  double RegressionScore(TimePoint now) const;
  // Why the stage does not rise, or "" if it does.
  const std::string& StageHoldReason() const { return m_stage_hold_reason; }

 private:
  // Minimum regression score at which the stage does not rise.
  static constexpr double kHoldScore = 0.5;

  using ReporterKey = std::pair<std::string, std::string>;  // Version, node.
  using RouteKey = std::pair<std::string, std::string>;     // Version, route.

  // The latest report of one target.
  struct Reporter {
    int64_t incarnation = 0;
    uint64_t sequence = 0;
    uint32_t slots = 0;
    uint32_t in_flight = 0;
    std::map<std::string, OutcomeTally> latest;  // By route.
    // Counts that earlier ticks have processed, by route.
    std::map<std::string, OutcomeTally> processed;
  };
  struct RequestCount {
    uint64_t total = 0;
    uint64_t errors = 0;
  };
  // The sequential tests of one version on one route.
  struct RouteTests {
    FailureTest errors;
    FailureTest slow;
    FailureTest tail;
    TimePoint added_at;  // Time of the latest counts.
    // Cumulative requests to the baseline versions a few ticks before the score
    // of `errors` last left 0.
    RequestCount baseline_at_start;
    // When `errors` passed its threshold, while it is above it.
    std::optional<TimePoint> exceeded_at;
    // The version had carried its full share without a finding before the score
    // of `errors` last left 0.
    bool was_proven = false;
    // A fault without a baseline to compare with has ended before.
    bool was_pardoned = false;
    // When a request last failed, and the requests since then.
    TimePoint failed_at;
    uint64_t requests_since_failure = 0;

    double Score() const;
    // Tests requests of a canary version against the route's baseline.
    void Add(const std::string& reporter, const OutcomeTally& tally,
             const RouteBaseline& baseline, size_t latency_slack_buckets);
    // Counts the requests since the last failure.
    void CountSinceFailure(const OutcomeTally& tally, TimePoint now);
    // True if the fault that raised the score of `errors` would certainly show
    // in so many requests.
    bool FaultWouldShowIn(uint64_t requests) const;
    bool HasTarget(const std::string& target) const;
  };
  // Requests that ended at one target on one route between two ticks.
  struct Increment {
    RouteKey key;
    std::string reporter;
    OutcomeTally tally;
  };

  bool IsCanaryVersion(const std::string& version) const;
  // Adds new counts of baseline versions to the baselines and queues those of
  // canary versions for the next tick.
  void CollectIncrements(TimePoint now);
  // Takes over the exclusions that other analyzers decided.
  void MergeExcluded(const MoveProgress& progress);
  // Resets the tests that contain requests to this node's target.
  void ResetTestsWith(const std::string& member_id);
  // Runs the tests on requests of a canary version.
  void TestIncrement(const Increment& increment, TimePoint now);
  // Recalls the version or excludes its outlier target if a test on the route
  // exceeds its threshold.
  std::optional<CanaryDecision> DecideOnRoute(
      const RouteKey& key, RouteTests* tests,
      const ReachableTargetCounts& targets, bool may_exclude,
      TimePoint now) const;
  // Requests to the baseline versions on `route` since
  // `tests.baseline_at_start`.
  RequestCount BaselineRequestsSince(const std::string& route,
                                     const RouteTests& tests) const;
  // True if the baseline versions have a sudden fault of a similar error rate.
  bool IsCommonFault(const std::string& route, const RouteTests& tests) const;
  // True if the baseline versions' requests of the same time are counted, or
  // if the analyzer does not wait for them any longer.
  bool BaselineHasReported(const std::string& route, const RouteTests& tests,
                           TimePoint now) const;
  // Time for which errors are not held against the version although they exceed
  // the threshold, as the baseline versions have no requests of the same time
  // to compare with.
  std::chrono::milliseconds TimeWithoutComparison(
      const std::string& route, const RouteTests& tests,
      const ReachableTargetCounts& targets) const;
  // True if most of the reachable canary targets report to this analyzer.
  bool SeesMostTargets(const ReachableTargetCounts& targets) const;
  // True if the move's first zone has carried the full share without a finding.
  bool IsProven(const MoveProgress& progress,
                const ReachableTargetCounts& targets) const;
  // Recalls a version that has too many excluded targets.
  std::optional<CanaryDecision> DecideOnExcluded(
      const ReachableTargetCounts& targets) const;
  // Number of targets that may be excluded before their version is recalled.
  static uint32_t MaxExcluded(const ReachableTargetCounts& targets);
  // Raises the stage or settles the zone, or sets the reason to hold the stage.
  // `observed` is the observed time at `time`.
  void DecideOnStage(ClockReading time, TimePoint observed,
                     const MoveProgress& progress,
                     const ReachableTargetCounts& targets,
                     std::vector<CanaryDecision>* decisions);
  bool ExceedsMaxErrorRate() const;
  bool HasPilot(const ReachableTargetCounts& targets) const;
  bool PilotIsAhead(const MoveProgress& progress,
                    const ReachableTargetCounts& targets) const;
  // The stage after the current one.
  uint32_t NextStageOfZone(const ReachableTargetCounts& targets) const;
  std::chrono::milliseconds Dwell(ClockReading time) const;
  // True if the canary targets have slots for the demand at `stage`.
  bool HasSlotsForStage(uint32_t stage,
                        const ReachableTargetCounts& targets) const;

  ServiceConfig m_config;
  CanaryAnalyzerOptions m_options;
  // All other members of type TimePoint are observed times.
  ObservedClock m_clock;
  std::map<ReporterKey, Reporter> m_reporters;
  std::map<RouteKey, RouteTests> m_tests;
  std::map<std::string, RouteBaseline> m_baselines;  // By route.
  // Cumulative requests to the baseline versions, by route, at the end of each
  // of the last ticks.
  std::deque<std::map<std::string, RequestCount>> m_baseline_counts{1};
  // When requests of a baseline version were last counted.
  TimePoint m_baseline_request_at;
  std::vector<Increment> m_pending;  // Of canary versions, for the next tick.
  std::set<std::string> m_excluded;  // Nodes whose target is excluded.
  TimePoint m_stage_since;
  uint32_t m_stage = 0;
  uint64_t m_calls_at_stage = 0;
  uint64_t m_errors_at_stage = 0;
  std::string m_stage_hold_reason;
  bool m_settled = false;
  bool m_is_proven = false;  // IsProven() at this tick.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_CANARY_ANALYZER_H_
