// Each tick takes what the targets counted since the last one. Counts of the
// steady versions go into the baseline of their route at once. Counts of
// rising versions wait one tick, so that a fault which strikes all versions at
// the same moment is in the baseline before they are compared with it. Each
// (version, route) has three sequential tests: errors, requests slower than
// three quarters of the baseline, and requests slower than nearly all of it.
// Three more take the requests of all routes, each against the baseline of its
// own route: with little traffic a fault on every route shows there first.

#include "kumquatmoor/coordination/judge.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>

#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Parts of the baseline's requests that may be slower than the two limits.
constexpr double kSlowPart = 0.25;
constexpr double kTailPart = 0.01;
// Suspicion above which the stage does not rise.
constexpr double kHoldSuspicion = 0.5;
// Time without evidence on a route after which its suspicion holds nothing.
constexpr std::chrono::seconds kSuspicionLifetime{8};
// Requests of the other targets that clear their version.
constexpr uint64_t kClearingCalls = 5;
// Evidence, as a multiple of what recalls a version, up to which the judge
// waits for requests to other targets while all errors are of one target.
constexpr double kLoneWait = 2;
// The route of the tests that take every request of a version.
constexpr char kAllRoutes[] = "all routes";
// Part of the rising versions' slots that a stage may fill.
constexpr double kSlotsToFill = 0.9;

uint32_t StepsLeft(uint32_t stage) {
  const auto* next =
      std::upper_bound(std::begin(kStages), std::end(kStages), stage);
  return static_cast<uint32_t>(std::distance(next, std::end(kStages)));
}

}  // namespace

MoveJudge::MoveJudge(ServiceConfig config, JudgeOptions options, JudgeTime time)
    : m_config(std::move(config)),
      m_options(std::move(options)),
      m_stage_since(time.now) {}

double MoveJudge::RouteTests::Score() const {
  return std::max({errors.Score(), slow.Score(), tail.Score()});
}

bool MoveJudge::IsRisingVersion(const std::string& version) const {
  return std::any_of(m_config.rows().begin(), m_config.rows().end(),
                     [&](const Row& row) {
                       return row.version() == version && IsRising(row);
                     });
}

void MoveJudge::OnEvidence(const std::string& reporter, int64_t incarnation,
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

std::vector<Ruling> MoveJudge::Tick(JudgeTime time,
                                    const MoveProgress& progress,
                                    MeshTargets targets) {
  std::vector<Ruling> rulings;
  if (progress.IsRecalled()) return rulings;
  TakeBlame(progress);
  std::vector<Increment> due;
  due.swap(m_waiting);
  CollectIncrements(time.now);
  for (const auto& increment : due) TestIncrement(increment, time.now);
  for (auto& [route, tests] : m_tests) {
    if (auto ruling = RuleOnRoute(route, &tests, targets)) {
      rulings.push_back(std::move(*ruling));
    }
  }
  const bool recalled =
      std::any_of(rulings.begin(), rulings.end(), [](const Ruling& ruling) {
        return std::holds_alternative<RecallVersion>(ruling);
      });
  if (!recalled) RuleOnStage(time, progress, targets, &rulings);
  return rulings;
}

// Another judge may see what this one cannot: that only one target fails.
void MoveJudge::TakeBlame(const MoveProgress& progress) {
  for (const auto& member_id : progress.blamed) {
    if (m_blamed.insert(member_id).second) ForgetTestsWith(member_id);
  }
}

void MoveJudge::ForgetTestsWith(const std::string& member_id) {
  for (auto& [route, tests] : m_tests) {
    if (tests.by_target.count(member_id) > 0) tests = RouteTests();
  }
}

void MoveJudge::CollectIncrements(TimePoint now) {
  for (auto& [key, reporter] : m_reporters) {
    const auto& [version, node] = key;
    const bool rising = IsRisingVersion(version);
    for (const auto& [route, latest] : reporter.latest) {
      OutcomeTally& judged = reporter.judged[route];
      OutcomeTally added = latest.Since(judged);
      judged = latest;
      if (added.total == 0) continue;
      if (rising) {
        m_waiting.push_back(
            {.route = {version, route}, .reporter = node, .tally = added});
      } else {
        m_baselines[route].Add(added, now);
      }
    }
  }
}

void MoveJudge::TestIncrement(const Increment& increment, TimePoint now) {
  m_calls_at_stage += increment.tally.total;
  if (m_blamed.count(increment.reporter) > 0) return;
  RouteBaseline& baseline = m_baselines[increment.route.second];
  baseline.NoteOthers(increment.tally);
  const auto& [version, path] = increment.route;
  for (const std::string& tested : {path, std::string(kAllRoutes)}) {
    RouteTests& tests = m_tests[{version, tested}];
    tests.added_at = now;
    tests.by_target[increment.reporter].Add(increment.tally);
    tests.Add(increment.tally, baseline);
  }
}

void MoveJudge::RouteTests::Add(const OutcomeTally& tally,
                                const RouteBaseline& baseline) {
  errors.Add({.failures = tally.errors,
              .total = tally.total,
              .expected_rate = baseline.AcceptableErrorRate()});
  if (!baseline.KnowsLatency()) return;
  const size_t slow_bucket = baseline.SlowBucket(kSlowPart);
  slow.Add({.failures = tally.SlowerThan(slow_bucket),
            .total = tally.warm_total,
            .expected_rate = baseline.AcceptableSlowRate(slow_bucket)});
  const size_t tail_bucket = baseline.SlowBucket(kTailPart);
  tail.Add({.failures = tally.SlowerThan(tail_bucket),
            .total = tally.warm_total,
            .expected_rate = baseline.AcceptableSlowRate(tail_bucket)});
}

std::optional<Ruling> MoveJudge::RuleOnRoute(const RouteKey& route,
                                             RouteTests* tests,
                                             MeshTargets targets) {
  if (tests->Score() < SequentialTest::kThreshold) return std::nullopt;
  const auto& [version, path] = route;
  const bool errors = tests->errors.Exceeded();
  OutcomeTally sum;
  for (const auto& [target, tally] : tests->by_target) sum.Add(tally);
  const std::string reason =
      errors ? fmt::format("{}: {} of {} requests failed", path, sum.errors,
                           sum.total)
             : fmt::format("{}: slower than the version before", path);
  if (errors) {
    const LoneTarget lone = FindLoneTarget(route, *tests);
    if (lone.cleared) {
      m_blamed.insert(lone.member_id);
      ForgetTestsWith(lone.member_id);
      return BlameTarget{
          .version = version, .member_id = lone.member_id, .reason = reason};
    }
    const bool wait = tests->Score() < kLoneWait * SequentialTest::kThreshold;
    const bool sees_all = lone.targets_seen >= targets.rising_targets;
    const bool alone = targets.rising_targets <= 1;
    if (!lone.member_id.empty() && !alone && (wait || !sees_all)) {
      return std::nullopt;
    }
  }
  return RecallVersion{.version = version, .reason = reason};
}

// The target that has all the errors, if there is one. It is cleared by
// requests to other targets on the routes that it fails.
MoveJudge::LoneTarget MoveJudge::FindLoneTarget(const RouteKey& route,
                                                const RouteTests& tests) const {
  LoneTarget lone;
  for (const auto& [key, reporter] : m_reporters) {
    if (key.first == route.first) ++lone.targets_seen;
  }
  OutcomeTally sum;
  for (const auto& [target, tally] : tests.by_target) sum.Add(tally);
  for (const auto& [target, tally] : tests.by_target) {
    if (tally.errors == sum.errors) lone.member_id = target;
  }
  if (!lone.member_id.empty()) {
    lone.cleared = ClearingCalls(route, lone.member_id) >= kClearingCalls;
  }
  return lone;
}

uint64_t MoveJudge::ClearingCalls(const RouteKey& route,
                                  const std::string& member_id) const {
  uint64_t calls = 0;
  for (const auto& [key, tests] : m_tests) {
    const auto& [version, path] = key;
    if (version != route.first || path == kAllRoutes) continue;
    if (route.second != kAllRoutes && path != route.second) continue;
    auto own = tests.by_target.find(member_id);
    if (own == tests.by_target.end() || own->second.errors == 0) continue;
    for (const auto& [target, tally] : tests.by_target) {
      if (target != member_id) calls += tally.total;
    }
  }
  return calls;
}

double MoveJudge::Suspicion(TimePoint now) const {
  double worst = 0;
  for (const auto& [route, tests] : m_tests) {
    // A target that gets no more requests must not hold the move for ever.
    if (now - tests.added_at > kSuspicionLifetime) continue;
    worst = std::max(worst, tests.Score());
  }
  return worst / SequentialTest::kThreshold;
}

void MoveJudge::RuleOnStage(JudgeTime time, const MoveProgress& progress,
                            MeshTargets targets, std::vector<Ruling>* rulings) {
  const uint32_t stage = progress.StageOf(m_options.zone);
  if (stage != m_stage) {
    m_stage = stage;
    m_stage_since = time.now;
    m_calls_at_stage = 0;
  }
  const auto at_stage = time.now - m_stage_since;
  m_held_because.clear();
  if (Suspicion(time.now) >= kHoldSuspicion) {
    m_held_because = "the evidence is not clear yet";
  } else if (stage >= kFullStage) {
    if (!m_settled && at_stage >= m_options.settle) {
      m_settled = true;
      rulings->emplace_back(SettleZone{});
    }
  } else if (targets.rising_slots == 0) {
    m_held_because = "no live target of the new version";
  } else if (!FitsSlots(NextStage(stage), targets)) {
    m_held_because = "the new version has too few slots for its next share";
  } else if (stage == 0) {
    rulings->emplace_back(
        RaiseStage{.stage_permille = NextStage(stage), .reason = "first"});
  } else {
    const milliseconds dwell = Dwell(time);
    const bool enough_calls = m_calls_at_stage >= m_options.fewest_calls;
    if (at_stage >= 2 * dwell || (at_stage >= dwell && enough_calls)) {
      rulings->emplace_back(RaiseStage{
          .stage_permille = NextStage(stage),
          .reason =
              fmt::format("{} requests without a finding", m_calls_at_stage)});
    }
  }
}

milliseconds MoveJudge::Dwell(JudgeTime time) const {
  const int64_t deadline = MoveDeadline(m_config);
  if (deadline == 0) return m_options.default_dwell;
  // The move should also be settled by its deadline.
  const auto left = static_cast<double>(
      std::max<int64_t>(0, deadline - time.unix_ms - m_options.settle.count()));
  const milliseconds planned(static_cast<int64_t>(
      left * m_options.planned_part / std::max(1U, StepsLeft(m_stage))));
  return std::clamp(planned, m_options.shortest_dwell, m_options.longest_dwell);
}

bool MoveJudge::FitsSlots(uint32_t stage, MeshTargets targets) const {
  double in_flight = 0;
  double zone_slots = 0;
  for (const auto& [key, reporter] : m_reporters) {
    in_flight += reporter.in_flight;
    zone_slots += reporter.slots;
  }
  if (zone_slots <= 0) return true;
  double share = 0;
  for (const auto& row : m_config.rows()) {
    if (IsRising(row)) share += ShareAt(row, stage, false);
  }
  const double demand = in_flight / zone_slots * targets.all_slots;
  return share * demand <= kSlotsToFill * targets.rising_slots;
}

}  // namespace kumquatmoor
