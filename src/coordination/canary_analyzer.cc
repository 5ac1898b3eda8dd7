// Each tick takes what the targets counted since the last one. Counts of the
// steady versions go into the baseline of their route at once. Counts of
// rising versions wait one tick, so that a fault which strikes all versions at
// the same moment is in the baseline before they are compared with it. Each
// (version, route) has three sequential tests: errors, requests slower than
// three quarters of the baseline, and requests slower than nearly all of it.
// Three more take the requests of all routes, each against the baseline of its
// own route: with little traffic a fault on every route shows there first.

#include "kumquatmoor/coordination/canary_analyzer.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>
#include <numeric>

#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Parts of the baseline's requests that may be slower than the two limits.
constexpr double kSlowFraction = 0.25;
constexpr double kTailFraction = 0.01;
// Suspicion above which the stage does not rise.
constexpr double kHoldScore = 0.5;
// Time without evidence on a route after which its suspicion holds nothing.
constexpr std::chrono::seconds kScoreLifetime{8};
// Ticks after which evidence counts as seen by all targets.
constexpr size_t kHistoryTicks = 3;
// Requests to the steady versions with which errors are compared, and how long
// the judge waits for them. Failures are reported within 250 ms: after the
// shorter time those of the steady versions have come.
constexpr uint64_t kMinComparedRequests = 4;
constexpr std::chrono::milliseconds kMinComparisonWait{500};
constexpr std::chrono::milliseconds kMaxComparisonWait{2'000};
// Without news of a request for so long, the steady versions have nothing to
// compare.
constexpr std::chrono::milliseconds kBaselineIdleTime{1'500};
// Time after the last request to a steady version from which its latencies are
// not compared any more in a short move: the pilot zone has settled by then.
constexpr std::chrono::milliseconds kLatencyBaselineLifetime{3'000};
// Part of a rising version's error rate that excuses it if the steady versions
// have it too.
constexpr double kCommonFaultFraction = 0.5;
// ... and if it is this many times their error rate before.
constexpr double kSuddenRiseFactor = 2;
// One in this many targets may be at fault, and at least one, before their
// version is.
constexpr uint32_t kTargetsPerExclusion = 4;
// Requests from which on their error rate may hold a stage.
constexpr uint64_t kMinCallsForErrorRate = 8;
// The route of the tests that take every request of a version.
constexpr char kAllRoutes[] = "all routes";
// Part of the rising versions' slots that a stage may fill.
constexpr double kMaxSlotUtilization = 0.9;

// The part of the time left that `stage` may take.
double FractionOfTimeLeft(uint32_t stage, const StageTimeWeights& times) {
  const auto index = static_cast<size_t>(std::distance(
      std::begin(kStages),
      std::lower_bound(std::begin(kStages), std::end(kStages), stage)));
  if (index == 0 || index > times.size()) return 1;
  const double* own = times.data() + index - 1;
  return *own / std::accumulate(own, times.data() + times.size(), 0.0);
}

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
                                     const Evidence& evidence) {
  Reporter& held = m_reporters[{evidence.version(), reporter}];
  if (incarnation < held.incarnation) return;
  if (incarnation > held.incarnation) {
    held = Reporter{.incarnation = incarnation};
  } else if (evidence.sequence() < held.sequence) {
    return;
  }
  held.sequence = evidence.sequence();
  held.slots = evidence.slots();
  held.in_flight = evidence.in_flight();
  for (const auto& route : evidence.routes()) {
    held.latest[route.route()] = OutcomeTally::FromCounts(route);
  }
}

std::vector<CanaryDecision> CanaryAnalyzer::Tick(
    ClockReading time, const MoveProgress& progress,
    const ReachableTargetCounts& targets) {
  std::vector<CanaryDecision> rulings;
  if (progress.IsRecalled()) return rulings;
  MergeExcluded(progress);
  std::vector<Increment> due;
  due.swap(m_waiting);
  CollectIncrements(time.now);
  for (const auto& increment : due) TestIncrement(increment, time.now);
  for (auto& [route, tests] : m_tests) {
    const bool may_exclude = !PilotIsAhead(progress, targets);
    if (auto ruling =
            DecideOnRoute(route, &tests, targets, may_exclude, time.now)) {
      if (const auto* blame = std::get_if<ExcludeTarget>(&*ruling)) {
        m_excluded.insert(blame->member_id);
        ResetTestsWith(blame->member_id);
      }
      rulings.push_back(std::move(*ruling));
    }
  }
  if (auto ruling = DecideOnExcluded(targets)) rulings.push_back(*ruling);
  const bool recalled = std::any_of(
      rulings.begin(), rulings.end(), [](const CanaryDecision& ruling) {
        return std::holds_alternative<RecallVersion>(ruling);
      });
  if (!recalled) DecideOnStage(time, progress, targets, &rulings);
  return rulings;
}

// Another judge may see what this one cannot: that only one target fails.
void CanaryAnalyzer::MergeExcluded(const MoveProgress& progress) {
  for (const auto& member_id : progress.excluded) {
    if (m_excluded.insert(member_id).second) ResetTestsWith(member_id);
  }
}

void CanaryAnalyzer::ResetTestsWith(const std::string& member_id) {
  for (auto& [route, tests] : m_tests) {
    if (tests.HasTarget(member_id)) tests = RouteTests();
  }
}

void CanaryAnalyzer::CollectIncrements(TimePoint now) {
  if (m_baseline_counts.size() >= kHistoryTicks) m_baseline_counts.pop_front();
  m_baseline_counts.push_back(m_baseline_counts.back());
  for (auto& [key, reporter] : m_reporters) {
    const auto& [version, node] = key;
    const bool rising = IsCanaryVersion(version);
    for (const auto& [route, latest] : reporter.latest) {
      OutcomeTally& judged = reporter.judged[route];
      OutcomeTally added = latest.Since(judged);
      judged = latest;
      if (added.total == 0) continue;
      if (rising) {
        m_waiting.push_back(
            {.route = {version, route}, .reporter = node, .tally = added});
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
  RouteBaseline& baseline = m_baselines[increment.route.second];
  baseline.AddCanary(increment.tally);
  // A route that nobody has used yet may fail on every version.
  if (baseline.Requests() < kMinComparedRequests) return;
  const auto& [version, path] = increment.route;
  for (const std::string& tested : {path, std::string(kAllRoutes)}) {
    RouteTests& tests = m_tests[{version, tested}];
    tests.added_at = now;
    if (tests.errors.Score() <= 0) {
      tests.baseline_at_start = m_baseline_counts.front()[tested];
    }
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
  const auto add = [&](double part, FailureTest* test) {
    const size_t bucket = std::min(
        baseline.SlowBucket(part) + latency_slack_buckets, kLatencyBuckets - 1);
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

// A target that fails alone is blamed, and gets no more requests of the move;
// if the next target fails as well, the version is at fault.
std::optional<CanaryDecision> CanaryAnalyzer::DecideOnRoute(
    const RouteKey& route, RouteTests* tests,
    const ReachableTargetCounts& targets, bool may_exclude,
    TimePoint now) const {
  const auto& [version, path] = route;
  const bool doubt =
      tests->errors.Score() >= kHoldScore * SequentialTest::kThreshold;
  if (doubt && IsCommonFault(path, *tests)) tests->errors = FailureTest();
  if (!tests->errors.Exceeded()) tests->exceeded_at.reset();
  if (tests->Score() < SequentialTest::kThreshold) return std::nullopt;
  // Latencies of a time in which the steady versions served are no measure of
  // what an overload does now.
  const bool unmeasured = m_options.uses_pilot && now - m_baseline_request_at >
                                                      kLatencyBaselineLifetime;
  if (unmeasured && !tests->errors.Exceeded()) {
    tests->slow = FailureTest();
    tests->tail = FailureTest();
    return std::nullopt;
  }
  std::string reason = path + ": slower than the version before";
  const FailureTest* test =
      tests->tail.Exceeded() ? &tests->tail : &tests->slow;
  if (tests->errors.Exceeded()) {
    if (!tests->exceeded_at) tests->exceeded_at = now;
    if (!BaselineHasReported(path, *tests, now)) return std::nullopt;
    test = &tests->errors;
    reason = fmt::format("{}: {} of {} requests failed", path, test->Failures(),
                         test->Requests());
  }
  std::string lone = test->OutlierTarget();
  if (may_exclude && !lone.empty() &&
      m_excluded.size() < MaxExcluded(targets)) {
    return ExcludeTarget{.version = version,
                         .member_id = std::move(lone),
                         .reason = std::move(reason)};
  }
  return RecallVersion{.version = version, .reason = std::move(reason)};
}

// Requests to the steady versions since the evidence began.
CanaryAnalyzer::RequestCount CanaryAnalyzer::BaselineRequestsSince(
    const std::string& path, const RouteTests& tests) const {
  const auto found = m_baseline_counts.back().find(path);
  if (found == m_baseline_counts.back().end()) return {};
  return {.total = found->second.total - tests.baseline_at_start.total,
          .errors = found->second.errors - tests.baseline_at_start.errors};
}

// A fault that has just struck every version is not the rising one's. That the
// steady versions always fail as often says nothing: it is in the baseline.
bool CanaryAnalyzer::IsCommonFault(const std::string& path,
                                   const RouteTests& tests) const {
  const RequestCount steady = BaselineRequestsSince(path, tests);
  const auto total = static_cast<double>(steady.total);
  const auto errors = static_cast<double>(steady.errors);
  const auto requests = static_cast<double>(tests.errors.Requests());
  const auto failures = static_cast<double>(tests.errors.Failures());
  const auto total_before = static_cast<double>(tests.baseline_at_start.total);
  const auto errors_before =
      static_cast<double>(tests.baseline_at_start.errors);
  const bool alike =
      errors * requests >= kCommonFaultFraction * failures * total;
  const bool sudden =
      errors * total_before > kSuddenRiseFactor * errors_before * total;
  return errors > 0 && alike && (sudden || total_before <= 0);
}

// What the steady versions met at the same time may still be on its way.
bool CanaryAnalyzer::BaselineHasReported(const std::string& path,
                                         const RouteTests& tests,
                                         TimePoint now) const {
  const TimePoint since = *tests.exceeded_at;
  const bool waited = now - since >= kMaxComparisonWait;
  const bool none_served = now - m_baseline_request_at >= kBaselineIdleTime;
  if (waited || none_served) return true;
  return now - since >= kMinComparisonWait &&
         BaselineRequestsSince(path, tests).total >= kMinComparedRequests;
}

// Judges of several zones may each have blamed the only target they see, and of
// the targets that were not blamed none may be left.
std::optional<CanaryDecision> CanaryAnalyzer::DecideOnExcluded(
    const ReachableTargetCounts& targets) const {
  const uint32_t most = std::max(1U, MaxExcluded(targets));
  const bool none_left =
      targets.canary_targets > 0 && targets.canary_slots == 0;
  std::map<std::string, uint32_t> excluded;
  for (const auto& [key, reporter] : m_reporters) {
    const auto& [version, node] = key;
    if (!IsCanaryVersion(version) || m_excluded.count(node) == 0) continue;
    if (++excluded[version] <= most && !none_left) continue;
    std::string reason =
        none_left ? "every target that is left fails"
                  : fmt::format("{} targets fail", excluded[version]);
    return RecallVersion{.version = version, .reason = std::move(reason)};
  }
  return std::nullopt;
}

// Targets that may be blamed before their version is. A version with a single
// target is at fault whenever that target is.
uint32_t CanaryAnalyzer::MaxExcluded(const ReachableTargetCounts& targets) {
  if (targets.canary_targets <= 1) return 0;
  return std::max(1U, targets.canary_targets / kTargetsPerExclusion);
}

double CanaryAnalyzer::RegressionScore(TimePoint now) const {
  double worst = 0;
  for (const auto& [route, tests] : m_tests) {
    // A target that gets no more requests must not hold the move for ever.
    if (now - tests.added_at > kScoreLifetime) continue;
    worst = std::max(worst, tests.Score());
  }
  return worst / SequentialTest::kThreshold;
}

void CanaryAnalyzer::DecideOnStage(ClockReading time,
                                   const MoveProgress& progress,
                                   const ReachableTargetCounts& targets,
                                   std::vector<CanaryDecision>* rulings) {
  const uint32_t stage = progress.StageOf(m_options.zone);
  if (stage != m_stage) {
    m_stage = stage;
    m_stage_since = time.now;
    m_calls_at_stage = 0;
    m_errors_at_stage = 0;
  }
  const auto at_stage = time.now - m_stage_since;
  m_stage_hold_reason.clear();
  if (RegressionScore(time.now) >= kHoldScore) {
    m_stage_hold_reason = "the evidence is not clear yet";
  } else if (stage >= kFullStage) {
    const bool follows =
        HasPilot(targets) && m_options.zone != targets.pilot_zone;
    if (!m_settled &&
        at_stage >= (follows ? kFollowerSettle : m_options.settle)) {
      m_settled = true;
      rulings->emplace_back(SettleZone{});
    }
  } else if (ExceedsMaxErrorRate()) {
    m_stage_hold_reason = "too many requests fail to raise the share";
    if (at_stage >= Dwell(time)) {
      m_stage_since = time.now;
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
    rulings->emplace_back(
        RaiseStage{.stage_permille = NextStage(stage), .reason = "first"});
  } else if (NextStageOfZone(targets) > NextStage(stage)) {
    rulings->emplace_back(
        RaiseStage{.stage_permille = NextStageOfZone(targets),
                   .reason = targets.pilot_zone + " has settled"});
  } else {
    const milliseconds dwell = Dwell(time);
    const bool enough_calls = m_calls_at_stage >= m_options.min_calls;
    if (at_stage >= 2 * dwell || (at_stage >= dwell && enough_calls)) {
      rulings->emplace_back(RaiseStage{
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

// What the stages between would show, the pilot zone has shown.
uint32_t CanaryAnalyzer::NextStageOfZone(
    const ReachableTargetCounts& targets) const {
  const bool follows =
      HasPilot(targets) && m_options.zone != targets.pilot_zone;
  if (follows && m_stage >= kFollowerMaxStage) return kFullStage;
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
  // The move should also be settled by its deadline, after the pilot zone.
  const int64_t settles = m_options.uses_pilot ? 2 : 1;
  const auto left = static_cast<double>(
      std::max<int64_t>(0, left_ms - settles * m_options.settle.count()));
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
