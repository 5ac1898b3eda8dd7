// Each tick takes the requests that the targets counted since the last one.
// Counts of the baseline versions go into the baseline of their route at once.
// Counts of the canary versions wait one tick, so that a fault which affects
// all versions at the same moment is in the baseline before the canary versions
// are compared with it. Each (version, route) has three sequential tests:
// errors, requests slower than three quarters of the baseline, and requests
// slower than nearly all of it. Three more tests per version take the requests
// of all routes, each compared with the baseline of its own route: with little
// traffic they find a fault on every route sooner than a route's own tests.
//
// Waits are measured in observed time, so that a pause of the process neither
// raises a stage nor ends the wait for the counts of a comparison. Deadlines
// are measured in real time.

#include "kumquatmoor/coordination/canary_analyzer.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <numeric>

#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Fractions of the baseline's requests that are slower than the two latency
// limits.
constexpr double kSlowFraction = 0.25;
constexpr double kTailFraction = 0.01;
// Ticks of cumulative baseline counts to keep. Reports on the same moment may
// arrive this many ticks apart, so the baseline requests that a test is
// compared with begin at the oldest tick kept.
constexpr size_t kHistoryTicks = 3;
// Requests to the baseline versions on a route that a test needs.
constexpr uint64_t kMinBaselineRequests = 4;
// Time after the last request to a baseline version after which latencies are
// not compared in a short move. The pilot zone has settled by then.
constexpr std::chrono::milliseconds kLatencyBaselineLifetime{3'000};
// One in this many targets, and at least one, may be excluded before their
// version is recalled.
constexpr uint32_t kTargetsPerExclusion = 4;
// Route name of the tests that take every request of a version.
constexpr char kAllRoutes[] = "all routes";

}  // namespace

CanaryAnalyzerOptions ShortMoveOptions(std::string zone, TimePoint deadline) {
  return {.zone = std::move(zone),
          .settle = kShortMoveSettle,
          .min_calls = 0,
          .planned_fraction = kShortMovePlannedFraction,
          .latency_slack_buckets = kShortMoveLatencySlackBuckets,
          .max_error_rate = kShortMoveMaxErrorRate,
          .stage_time_weights = kShortMoveStageTimeWeights,
          .uses_pilot = true,
          .deadline = deadline};
}

CanaryAnalyzer::CanaryAnalyzer(ServiceConfig config,
                               CanaryAnalyzerOptions options, ClockReading time)
    : m_config(std::move(config)),
      m_options(std::move(options)),
      m_clock(time.now),
      m_baseline_request_at(time.now),
      m_stage_since(time.now) {}

double CanaryAnalyzer::RouteTests::Score() const {
  return std::max({errors.Score(), slow.Score(), tail.Score()});
}

bool CanaryAnalyzer::IsCanaryVersion(const std::string& version) const {
  return std::any_of(m_config.rows().begin(), m_config.rows().end(),
                     [&](const Row& row) {
                       return row.version() == version && IsCanary(row);
                     });
}

void CanaryAnalyzer::OnOutcomeCounts(const std::string& reporter,
                                     int64_t incarnation,
                                     const Evidence& counts) {
  Reporter& stored = m_reporters[{counts.version(), reporter}];
  if (incarnation < stored.incarnation) return;
  if (incarnation > stored.incarnation) {
    stored = Reporter{.incarnation = incarnation};
  } else if (counts.sequence() < stored.sequence) {
    return;
  }
  stored.sequence = counts.sequence();
  stored.slots = counts.slots();
  stored.in_flight = counts.in_flight();
  for (const auto& route : counts.routes()) {
    stored.latest[route.route()] = OutcomeTally::FromCounts(route);
  }
}

std::vector<CanaryDecision> CanaryAnalyzer::Tick(
    ClockReading time, const MoveProgress& progress,
    const ReachableTargetCounts& targets) {
  std::vector<CanaryDecision> decisions;
  const TimePoint observed = m_clock.Advance(time.now);
  if (progress.IsRecalled()) return decisions;
  MergeExcluded(progress);
  m_is_proven = IsProven(progress, targets);
  std::vector<Increment> due;
  due.swap(m_pending);
  CollectIncrements(observed);
  for (const auto& increment : due) TestIncrement(increment, observed);
  for (auto& [key, tests] : m_tests) {
    const bool may_exclude = !PilotIsAhead(progress, targets);
    if (auto decision =
            DecideOnRoute(key, &tests, targets, may_exclude, observed)) {
      if (const auto* exclusion = std::get_if<ExcludeTarget>(&*decision)) {
        m_excluded.insert(exclusion->member_id);
        ResetTestsWith(exclusion->member_id);
      }
      decisions.push_back(std::move(*decision));
    }
  }
  if (auto decision = DecideOnExcluded(targets)) decisions.push_back(*decision);
  const bool recalled = std::any_of(
      decisions.begin(), decisions.end(), [](const CanaryDecision& decision) {
        return std::holds_alternative<RecallVersion>(decision);
      });
  if (!recalled) {
    DecideOnStage(time, observed, progress, targets, &decisions);
  }
  return decisions;
}

// Another analyzer may have counts that this one lacks, and so find that only
// one target fails.
void CanaryAnalyzer::MergeExcluded(const MoveProgress& progress) {
  for (const auto& member_id : progress.excluded) {
    if (m_excluded.insert(member_id).second) ResetTestsWith(member_id);
  }
}

void CanaryAnalyzer::ResetTestsWith(const std::string& member_id) {
  for (auto& [key, tests] : m_tests) {
    if (tests.HasTarget(member_id)) tests = RouteTests();
  }
}

void CanaryAnalyzer::CollectIncrements(TimePoint now) {
  if (m_baseline_counts.size() >= kHistoryTicks) m_baseline_counts.pop_front();
  m_baseline_counts.push_back(m_baseline_counts.back());
  for (auto& [key, reporter] : m_reporters) {
    const auto& [version, node] = key;
    const bool is_canary = IsCanaryVersion(version);
    for (const auto& [route, latest] : reporter.latest) {
      OutcomeTally& processed = reporter.processed[route];
      OutcomeTally added = latest.Since(processed);
      processed = latest;
      if (added.total == 0) continue;
      if (is_canary) {
        m_pending.push_back(
            {.key = {version, route}, .reporter = node, .tally = added});
        continue;
      }
      m_baseline_request_at = now;
      m_baselines[route].Add(added, now);
      for (const std::string& counted : {route, std::string(kAllRoutes)}) {
        RequestCount& count = m_baseline_counts.back()[counted];
        count.total += added.total;
        count.errors += added.errors;
      }
    }
  }
}

void CanaryAnalyzer::TestIncrement(const Increment& increment, TimePoint now) {
  m_calls_at_stage += increment.tally.total;
  m_errors_at_stage += increment.tally.errors;
  if (m_excluded.count(increment.reporter) > 0) return;
  RouteBaseline& baseline = m_baselines[increment.key.second];
  baseline.AddCanary(increment.tally);
  // With too few baseline requests on a route, it is unknown whether the route
  // fails on every version.
  if (baseline.Requests() < kMinBaselineRequests) return;
  const auto& [version, route] = increment.key;
  for (const std::string& tested : {route, std::string(kAllRoutes)}) {
    RouteTests& tests = m_tests[{version, tested}];
    tests.added_at = now;
    if (tests.errors.Score() <= 0) {
      tests.baseline_at_start = m_baseline_counts.front()[tested];
      tests.was_proven = m_is_proven;
    }
    tests.CountSinceFailure(increment.tally, now);
    tests.Add(increment.reporter, increment.tally, baseline,
              m_options.latency_slack_buckets);
  }
}

void CanaryAnalyzer::RouteTests::Add(const std::string& reporter,
                                     const OutcomeTally& tally,
                                     const RouteBaseline& baseline,
                                     size_t latency_slack_buckets) {
  errors.Add(reporter, {.failures = tally.errors,
                        .total = tally.total,
                        .expected_rate = baseline.AcceptableErrorRate()});
  if (!baseline.HasEnoughLatencies()) return;
  const auto add = [&](double fraction, FailureTest* test) {
    const size_t bucket =
        std::min(baseline.SlowBucket(fraction) + latency_slack_buckets,
                 kLatencyBuckets - 1);
    test->Add(reporter, {.failures = tally.SlowerThan(bucket),
                         .total = tally.warm_total,
                         .expected_rate = baseline.AcceptableSlowRate(bucket)});
  };
  add(kSlowFraction, &slow);
  add(kTailFraction, &tail);
}

bool CanaryAnalyzer::RouteTests::HasTarget(const std::string& target) const {
  return errors.HasTarget(target) || slow.HasTarget(target) ||
         tail.HasTarget(target);
}

// An outlier target is excluded, and gets no more requests of the move. If
// further targets fail beyond MaxExcluded, the version is recalled.
std::optional<CanaryDecision> CanaryAnalyzer::DecideOnRoute(
    const RouteKey& key, RouteTests* tests,
    const ReachableTargetCounts& targets, bool may_exclude,
    TimePoint now) const {
  const auto& [version, route] = key;
  const bool unclear =
      tests->errors.Score() >= kHoldScore * SequentialTest::kThreshold;
  if (unclear && IsCommonFault(route, *tests)) tests->errors = FailureTest();
  if (!tests->errors.Exceeded()) tests->exceeded_at.reset();
  if (tests->Score() < SequentialTest::kThreshold) return std::nullopt;
  // Baseline latencies from the time when the baseline versions still had
  // traffic are not comparable with latencies under the present load.
  const bool has_stale_baseline =
      m_options.uses_pilot &&
      now - m_baseline_request_at > kLatencyBaselineLifetime;
  if (has_stale_baseline && !tests->errors.Exceeded()) {
    tests->slow = FailureTest();
    tests->tail = FailureTest();
    return std::nullopt;
  }
  std::string reason = route + ": slower than the version before";
  const FailureTest* test =
      tests->tail.Exceeded() ? &tests->tail : &tests->slow;
  if (tests->errors.Exceeded()) {
    if (!tests->exceeded_at) tests->exceeded_at = now;
    if (!BaselineHasReported(route, *tests, now)) return std::nullopt;
    const milliseconds wait = TimeWithoutComparison(route, *tests, targets);
    if (wait.count() > 0 &&
        tests->FaultWouldShowIn(tests->requests_since_failure)) {
      tests->errors = FailureTest();
      tests->was_pardoned = true;
      return std::nullopt;
    }
    if (now - *tests->exceeded_at < wait) return std::nullopt;
    test = &tests->errors;
    reason = fmt::format("{}: {} of {} requests failed", route,
                         test->Failures(), test->Requests());
  }
  std::string outlier = test->OutlierTarget();
  if (may_exclude && !outlier.empty() &&
      m_excluded.size() < MaxExcluded(targets)) {
    return ExcludeTarget{.version = version,
                         .member_id = std::move(outlier),
                         .reason = std::move(reason)};
  }
  return RecallVersion{.version = version, .reason = std::move(reason)};
}

// Analyzers of several zones may each have excluded the only target that they
// receive counts of, so the merged exclusions can exceed the limit. It may also
// be that only excluded targets can still be reached.
std::optional<CanaryDecision> CanaryAnalyzer::DecideOnExcluded(
    const ReachableTargetCounts& targets) const {
  const uint32_t max_excluded = std::max(1U, MaxExcluded(targets));
  const bool none_left =
      targets.canary_targets > 0 && targets.canary_slots == 0;
  std::map<std::string, uint32_t> excluded;
  for (const auto& [key, reporter] : m_reporters) {
    const auto& [version, node] = key;
    if (!IsCanaryVersion(version) || m_excluded.count(node) == 0) continue;
    if (++excluded[version] <= max_excluded && !none_left) continue;
    std::string reason =
        none_left ? "every target that is left fails"
                  : fmt::format("{} targets fail", excluded[version]);
    return RecallVersion{.version = version, .reason = std::move(reason)};
  }
  return std::nullopt;
}

// A version with a single target is recalled whenever that target fails.
uint32_t CanaryAnalyzer::MaxExcluded(const ReachableTargetCounts& targets) {
  if (targets.canary_targets <= 1) return 0;
  return std::max(1U, targets.canary_targets / kTargetsPerExclusion);
}

}  // namespace kumquatmoor
