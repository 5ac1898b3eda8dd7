#include "kumquatmoor/coordination/canary_analyzer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServiceConfig MakeConfig(int64_t move_by_ms) {
  const Batch first =
      BuildBatch({}, std::vector<TableRow>{{"s", "v1", 100}}, {}, {});
  const Batch second = BuildBatch(
      first,
      std::vector<TableRow>{{"s", "v1", 0}, {"s", "v2", 100, 0, 0, move_by_ms}},
      {}, {});
  return second.services(0);
}

// How requests to one version's target on one node end.
struct Behaviour {
  double error_rate = 0;
  double latency_ms = 10;
  double slow_fraction = 0;  // Fraction of requests slower by `slow_factor`.
  double slow_factor = 1;
};

// A move in one zone: drives an analyzer with synthetic traffic on a virtual
// clock and applies its decisions.
class SimulatedMove {
 public:
  SimulatedMove(int64_t move_by_ms, uint64_t seed)
      : SimulatedMove(move_by_ms, seed, {.zone = "z"}) {}
  SimulatedMove(int64_t move_by_ms, uint64_t seed,
                CanaryAnalyzerOptions options)
      : m_rng(seed),
        m_analyzer(MakeConfig(move_by_ms), std::move(options), Time()) {}
  // A move that has to end within `seconds_left`, with the options that
  // MoveController uses.
  static SimulatedMove ShortMove(int seconds_left, uint64_t seed) {
    return SimulatedMove(
        0, seed,
        ShortMoveOptions("z", TimePoint() + seconds(1'000 + seconds_left)));
  }

  std::map<std::string, Behaviour> baseline_nodes = {{"o1", {}}, {"o2", {}}};
  std::map<std::string, Behaviour> canary_nodes = {{"n1", {}}, {"n2", {}}};
  double calls_per_tick = 20;
  uint64_t routes = 1;
  ReachableTargetCounts targets{
      .canary_slots = 20, .all_slots = 40, .canary_targets = 2};

  MoveProgress progress;
  std::string recalled;  // Reason of the recall, or "".
  std::vector<std::string> excluded;
  uint64_t canary_calls = 0;
  uint64_t canary_errors = 0;
  double seconds_passed = 0;

  void Run(double time_s) {
    const double end = seconds_passed + time_s;
    while (seconds_passed < end && recalled.empty()) {
      seconds_passed += 0.25;
      const double share = progress.StageOf("z") / 1000.0;
      SendRequests("v1", baseline_nodes, calls_per_tick * (1 - share));
      SendRequests("v2", canary_nodes, calls_per_tick * share);
      for (const auto& decision : m_analyzer.Tick(Time(), progress, targets)) {
        Apply(decision);
      }
    }
  }

  // The analyzer's process is paused. Requests go on, but no counts arrive.
  void Pause(double time_s) { seconds_passed += time_s; }

  // Gives the canary version four targets instead of two.
  void UseFourTargets() {
    canary_nodes = {{"n1", {}}, {"n2", {}}, {"n3", {}}, {"n4", {}}};
    targets.canary_targets = 4;
  }

  const CanaryAnalyzer& Analyzer() const { return m_analyzer; }

 private:
  ClockReading Time() const {
    const auto passed =
        milliseconds(static_cast<int64_t>(seconds_passed * 1'000));
    return {.now = TimePoint() + seconds(1'000) + passed,
            .unix_ms = passed.count()};
  }

  void SendRequests(const std::string& version,
                    const std::map<std::string, Behaviour>& nodes,
                    double calls) {
    const auto included =
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& item) {
          return progress.excluded.count(item.first) == 0;
        });
    std::poisson_distribution<int> draw(
        calls / static_cast<double>(std::max<int64_t>(1, included)));
    for (const auto& [node, behaviour] : nodes) {
      OutcomeCounters& counters = m_counters[node];
      const bool idle = calls <= 0 || progress.excluded.count(node) > 0;
      const int count = idle ? 0 : draw(m_rng);
      std::bernoulli_distribution error(behaviour.error_rate);
      std::lognormal_distribution<double> latency_factor(0, 0.3);
      // Draws no random number if no request is slow, so that the traffic of
      // the other tests' seeds does not change.
      std::bernoulli_distribution slow(behaviour.slow_fraction);
      const double slow_fraction = behaviour.slow_fraction;
      const auto is_slow = [&] { return slow_fraction > 0 && slow(m_rng); };
      for (int i = 0; i < count; ++i) {
        const bool failed = error(m_rng);
        counters.Add(
            {.service = "s",
             .version = version,
             .route = "GET /" + std::to_string(m_rng() % routes),
             .error = failed,
             .latency_ms = behaviour.latency_ms * latency_factor(m_rng) *
                           (is_slow() ? behaviour.slow_factor : 1)});
        if (version != "v2") continue;
        ++canary_calls;
        if (failed) ++canary_errors;
      }
      Evidence counts = counters.Report("s", version);
      counts.set_slots(10);
      m_analyzer.OnOutcomeCounts(node, 1, counts);
      // Repeated and reordered reports must change nothing.
      if (m_rng() % 4 == 0) m_analyzer.OnOutcomeCounts(node, 1, counts);
      if (m_rng() % 4 == 0) m_analyzer.OnOutcomeCounts(node, 1, m_last[node]);
      m_last[node] = counts;
    }
  }

  void Apply(const CanaryDecision& decision) {
    if (const auto* raise = std::get_if<RaiseStage>(&decision)) {
      CHECK(raise->stage_permille == NextStage(progress.StageOf("z")));
      progress.stage_permille["z"] = raise->stage_permille;
    } else if (const auto* recall = std::get_if<RecallVersion>(&decision)) {
      recalled = recall->reason;
    } else if (const auto* exclusion = std::get_if<ExcludeTarget>(&decision)) {
      excluded.push_back(exclusion->member_id);
      progress.excluded.insert(exclusion->member_id);
    } else {
      progress.settled["z"] = true;
    }
  }

  std::mt19937_64 m_rng;
  CanaryAnalyzer m_analyzer;
  std::map<std::string, OutcomeCounters> m_counters;
  std::map<std::string, Evidence> m_last;  // Last report of each node.
};

TEST_CASE("A good version carries its full share by the deadline") {
  for (int64_t deadline_s : {10, 30, 120}) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      INFO("deadline " << deadline_s << " seed " << seed);
      SimulatedMove move(deadline_s * 1'000, seed);
      move.baseline_nodes["o1"].error_rate = 0.002;
      move.canary_nodes["n1"].error_rate = 0.002;
      move.Run(static_cast<double>(deadline_s));
      CHECK(move.recalled.empty());
      CHECK(move.progress.StageOf("z") == kFullStage);
      // A deadline of 10 s leaves no time to settle at full stage.
      if (deadline_s > 10) CHECK(move.progress.settled.count("z") == 1);
    }
  }
}

TEST_CASE("A version with little traffic still moves by its deadline") {
  SimulatedMove move(60'000, 1);
  move.calls_per_tick = 0.25;
  move.Run(60);
  CHECK(move.progress.StageOf("z") == kFullStage);
}

TEST_CASE("A bad version is recalled after few requests") {
  struct Case {
    const char* name;
    Behaviour behaviour;
    uint64_t max_calls;
  };
  const Case cases[] = {
      {"always fails", {.error_rate = 1}, 20},
      {"fails half the time", {.error_rate = 0.5}, 60},
      {"fails one in ten", {.error_rate = 0.1}, 600},
      {"ten times slower", {.latency_ms = 100}, 100},
      {"twice as slow", {.latency_ms = 20}, 1'500},
  };
  for (const auto& c : cases) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      INFO(c.name << ", seed " << seed);
      SimulatedMove move(60'000, seed);
      move.canary_nodes = {{"n1", c.behaviour}, {"n2", c.behaviour}};
      move.Run(60);
      CHECK_FALSE(move.recalled.empty());
      CHECK(move.canary_calls <= c.max_calls);
    }
  }
}

TEST_CASE(
    "At little traffic a fault spread over many routes recalls the version") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move(60'000, seed);
    move.routes = 12;
    move.calls_per_tick = 1;
    move.UseFourTargets();
    for (auto& [id, node] : move.canary_nodes) node.error_rate = 0.3;
    move.Run(100);
    CHECK_FALSE(move.recalled.empty());
  }
}

TEST_CASE("A fault that begins at full stage recalls the version") {
  SimulatedMove move(10'000, 3);
  move.Run(15);
  REQUIRE(move.progress.StageOf("z") == kFullStage);
  for (auto& [id, node] : move.canary_nodes) node.error_rate = 0.3;
  move.Run(5);
  CHECK_FALSE(move.recalled.empty());
}

// Guards against a version that gets all traffic, or whose old targets are
// stopped, since its analyzer was paused: it has seen no request meanwhile.
TEST_CASE("A pause of the analyzer is no time without a finding") {
  constexpr double kPauseS = 10;
  for (uint32_t stage : kStages) {
    if (stage == 0) continue;  // Rises without a wait.
    INFO("stage " << stage);
    SimulatedMove move = SimulatedMove::ShortMove(25, 4);
    while (move.progress.StageOf("z") < stage) move.Run(0.25);
    move.Run(0.25);  // The analyzer has seen its stage.
    REQUIRE(move.progress.StageOf("z") == stage);
    move.Pause(kPauseS);
    // The first counts after the pause arrive after the first tick.
    move.calls_per_tick = 0;
    move.Run(0.25);
    CHECK(move.progress.StageOf("z") == stage);
    CHECK(move.progress.settled.empty());
    // The version fails, as it did during the pause.
    for (auto& [id, node] : move.canary_nodes) node.error_rate = 0.5;
    move.calls_per_tick = 200;
    move.Run(2);
    CHECK_FALSE(move.recalled.empty());
    CHECK(move.progress.settled.empty());
  }
}

TEST_CASE("A fault common to all versions does not recall the canary") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move(60'000, seed);
    move.Run(25);
    for (auto* nodes : {&move.baseline_nodes, &move.canary_nodes}) {
      for (auto& [id, node] : *nodes) node.error_rate = 0.5;
    }
    move.Run(10);
    CHECK(move.recalled.empty());
  }
}

TEST_CASE("A version that fails twice as often as a bad baseline is recalled") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move(60'000, seed);
    for (auto& [id, node] : move.baseline_nodes) node.error_rate = 0.08;
    for (auto& [id, node] : move.canary_nodes) node.error_rate = 0.16;
    move.Run(100);
    CHECK_FALSE(move.recalled.empty());
  }
}

TEST_CASE("A single failing target is excluded and its version goes on") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move(60'000, seed);
    move.Run(15);
    move.canary_nodes["n2"].error_rate = 1;
    move.Run(10);
    CHECK(move.recalled.empty());
    CHECK(move.excluded == std::vector<std::string>{"n2"});
    CHECK(move.canary_errors <= 10);
  }
}

TEST_CASE("A single slow target is excluded and its version goes on") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move(60'000, seed);
    move.UseFourTargets();
    move.Run(15);
    move.canary_nodes["n2"].latency_ms = 100;
    move.Run(20);
    CHECK(move.recalled.empty());
    CHECK(move.excluded == std::vector<std::string>{"n2"});
  }
}

TEST_CASE("Two failing targets of four recall their version") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move(60'000, seed);
    move.UseFourTargets();
    move.canary_nodes["n1"].error_rate = 1;
    move.canary_nodes["n3"].error_rate = 1;
    move.Run(60);
    CHECK_FALSE(move.recalled.empty());
    CHECK(move.canary_errors <= 20);
  }
}

TEST_CASE("Exclusions by analyzers of several zones add up to a recall") {
  SimulatedMove move(60'000, 1);
  move.targets.canary_targets = 4;
  move.Run(10);
  move.progress.excluded = {"n1"};
  move.Run(2);
  CHECK(move.recalled.empty());
  move.progress.excluded = {"n1", "n2"};
  move.Run(2);
  CHECK(move.recalled == "2 targets fail");
}

TEST_CASE(
    "An excluded target recalls its version only when no other is reachable") {
  SimulatedMove move(60'000, 1);
  move.targets.canary_targets = 4;
  move.Run(10);
  move.progress.excluded = {"n1"};
  move.Run(2);
  move.targets = {.canary_slots = 10, .all_slots = 30, .canary_targets = 1};
  move.Run(5);
  CHECK(move.recalled.empty());
  // Now only the excluded target can be reached.
  move.targets = {.canary_slots = 0, .all_slots = 30, .canary_targets = 1};
  move.Run(1);
  CHECK(move.recalled == "every target that is left fails");
}

TEST_CASE("A common fault at little traffic does not hold a move") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move(60'000, seed);
    move.calls_per_tick = 1;
    move.Run(20);
    for (auto* nodes : {&move.baseline_nodes, &move.canary_nodes}) {
      for (auto& [id, node] : *nodes) node.error_rate = 0.5;
    }
    move.Run(80);
    CHECK(move.recalled.empty());
    CHECK(move.progress.StageOf("z") == kFullStage);
  }
}

TEST_CASE(
    "Each time errors exceed the threshold the baseline is awaited anew") {
  CanaryAnalyzer analyzer(MakeConfig(0), {.zone = "z"}, {});
  std::map<std::string, OutcomeCounters> counters;
  ClockReading time{.now = TimePoint() + seconds(1'000)};
  // Runs a tick of 250 ms with the given number of requests to each node of the
  // baseline and of the canary version. Returns true if a target is excluded or
  // the version recalled.
  const auto tick = [&](int baseline_calls, int canary_calls,
                        bool canary_errors) {
    for (const char* node : {"o1", "n1", "n2"}) {
      const bool is_baseline = node[0] == 'o';
      const std::string version = is_baseline ? "v1" : "v2";
      for (int i = 0; i < (is_baseline ? baseline_calls : canary_calls); ++i) {
        counters[node].Add({.service = "s",
                            .version = version,
                            .route = "GET /x",
                            .error = !is_baseline && canary_errors,
                            .latency_ms = 5});
      }
      analyzer.OnOutcomeCounts(node, 1, counters[node].Report("s", version));
    }
    time.now += milliseconds(250);
    const ReachableTargetCounts targets{
        .canary_slots = 20, .all_slots = 30, .canary_targets = 2};
    for (const auto& decision : analyzer.Tick(time, {}, targets)) {
      if (std::holds_alternative<ExcludeTarget>(decision)) return true;
      if (std::holds_alternative<RecallVersion>(decision)) return true;
    }
    return false;
  };
  tick(100, 0, false);
  tick(1, 3, true);
  // The baseline version has too few requests to compare with.
  CHECK_FALSE(tick(0, 500, false));
  // The canary version recovers meanwhile.
  for (int i = 0; i < 40; ++i) CHECK_FALSE(tick(5, 5, false));
  CHECK_FALSE(tick(5, 3, true));
  // The analyzer waits for the baseline version's reports once more.
  CHECK_FALSE(tick(5, 0, false));
  CHECK_FALSE(tick(5, 0, false));
  bool decided = false;
  for (int i = 0; i < 8; ++i) decided = tick(5, 0, false) || decided;
  CHECK(decided);
}

TEST_CASE("Without a live target of the canary version the stage is held") {
  SimulatedMove move(60'000, 1);
  move.targets = {.all_slots = 20};
  move.Run(5);
  CHECK(move.progress.StageOf("z") == 0);
  CHECK(move.Analyzer().StageHoldReason() ==
        "no live target of the new version");
}

TEST_CASE("After a recall the stage does not rise") {
  SimulatedMove move(60'000, 1);
  move.Run(3);
  move.progress.recalls["v2"] = Recall();
  const uint32_t stage = move.progress.StageOf("z");
  move.Run(30);
  CHECK(move.progress.StageOf("z") == stage);
}

TEST_CASE("At the expected rate the sequential test raises no false alarm") {
  std::mt19937_64 rng(12);
  std::bernoulli_distribution failure(0.01);
  SequentialTest test;
  for (int i = 0; i < 20'000; ++i) {
    const uint64_t failures = failure(rng) ? 1 : 0;
    test.Add({.failures = failures, .total = 1, .expected_rate = 0.01});
    REQUIRE_FALSE(test.Exceeded());
  }
}

TEST_CASE("A short move gives small shares most of its time") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move = SimulatedMove::ShortMove(14, seed);
    double exposed = 0;
    double full_at = 0;
    while (move.seconds_passed < 14) {
      move.Run(0.25);
      const double share = move.progress.StageOf("z") / 1000.0;
      if (share < 1) exposed += 0.25 * share;
      if (share >= 1 && full_at == 0) full_at = move.seconds_passed;
    }
    // At most a tenth of the requests of the 14 s, with time left to settle.
    CHECK(exposed <= 1.4);
    CHECK(full_at > 0);
    CHECK(full_at <= 11);
  }
}

TEST_CASE("The share of a short move does not rise while requests fail") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move = SimulatedMove::ShortMove(14, seed);
    move.Run(3);
    const uint32_t stage = move.progress.StageOf("z");
    // All versions fail alike, so that there is no regression.
    for (auto& [id, node] : move.baseline_nodes) node.error_rate = 0.6;
    for (auto& [id, node] : move.canary_nodes) node.error_rate = 0.6;
    move.Run(9);
    CHECK(move.progress.StageOf("z") <= NextStage(stage));
  }
}

TEST_CASE("Targets of unequal speed do not stop a short move") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move = SimulatedMove::ShortMove(16, seed);
    move.baseline_nodes = {{"o1", {.latency_ms = 60}},
                           {"o2", {.latency_ms = 140}}};
    move.canary_nodes = {{"n1", {.latency_ms = 140}},
                         {"n2", {.latency_ms = 160}}};
    move.Run(16);
    CHECK(move.recalled.empty());
    CHECK(move.excluded.empty());
    CHECK(move.progress.StageOf("z") == kFullStage);
  }
}

TEST_CASE(
    "A short move is recalled when a third of requests are 8 times slower") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedMove move = SimulatedMove::ShortMove(14, seed);
    const Behaviour slow{
        .latency_ms = 100, .slow_fraction = 0.31, .slow_factor = 8};
    move.baseline_nodes = {{"o1", {.latency_ms = 60}},
                           {"o2", {.latency_ms = 140}}};
    move.canary_nodes = {{"n1", slow}, {"n2", slow}};
    move.Run(14);
    CHECK_FALSE(move.recalled.empty());
    // Required bound: a tenth of the requests of the move, plus 50.
    const double calls = 14 * 4 * move.calls_per_tick;
    CHECK(static_cast<double>(move.canary_calls) <= 0.1 * calls + 50);
  }
}

// A short move in four zones, with an analyzer for each and one for the whole
// mesh. Every zone has one target of each version, which serves the zone's
// callers.
class ZonedMove {
 public:
  ZonedMove(uint64_t seed, CanaryAnalyzerOptions options) : m_rng(seed) {
    for (const char* zone : {"a", "b", "c", "d", "mesh"}) {
      options.zone = zone;
      m_analyzers.emplace(zone, CanaryAnalyzer(MakeConfig(0), options, Time()));
    }
  }

  double calls_per_tick = 20;    // In each zone.
  double error_rate_of_all = 0;  // Of every target of both versions.
  // Of a canary target that has at least half of its zone's traffic.
  double error_rate_under_load = 0;
  double canary_error_rate = 0;  // Of every canary target, if it is not 0.
  // Requests per tick and zone to a route on which every request fails.
  double failing_route_calls = 0;
  // The zone whose canary target always has the error rate `failing_rate`.
  std::string failing_zone;
  double failing_rate = 0;

  MoveProgress progress;
  uint64_t calls = 0;
  uint64_t canary_calls = 0;
  double settled_at = 0;                // Seconds until every zone had settled.
  double recalled_at = 0;               // Seconds.
  double fiftieth_canary_error_at = 0;  // Seconds.

  void Run(double time_s) {
    for (double end = m_seconds + time_s; m_seconds < end;) {
      m_seconds += 0.25;
      for (const char* zone : kZones) Serve(zone);
      for (auto& [zone, analyzer] : m_analyzers) {
        for (const auto& decision :
             analyzer.Tick(Time(), progress, Targets())) {
          Apply(zone, decision);
        }
      }
      if (progress.settled.size() == std::size(kZones) && settled_at == 0) {
        settled_at = m_seconds;
      }
    }
  }

  // Runs until every zone is at full stage.
  void RunUntilFullStage() {
    for (const char* zone : kZones) {
      while (progress.StageOf(zone) < kFullStage && m_seconds < 14) Run(0.25);
    }
  }

 private:
  static constexpr const char* kZones[] = {"a", "b", "c", "d"};

  ReachableTargetCounts Targets() const {
    return {.canary_slots = 40,
            .all_slots = 80,
            .canary_targets = 4,
            .pilot_zone = "b"};
  }

  ClockReading Time() const {
    const auto passed = milliseconds(static_cast<int64_t>(m_seconds * 1'000));
    return {.now = TimePoint() + seconds(1'000) + passed,
            .unix_ms = passed.count()};
  }

  void Serve(const std::string& zone) {
    const uint32_t stage = progress.IsRecalled() ? 0 : progress.StageOf(zone);
    std::poisson_distribution<int> draw(calls_per_tick);
    std::bernoulli_distribution draws_canary(stage / 1000.0);
    double error_rate = stage >= 500 ? error_rate_under_load : 0;
    if (zone == failing_zone) error_rate = failing_rate;
    if (canary_error_rate > 0) error_rate = canary_error_rate;
    std::bernoulli_distribution fails(error_rate);
    std::bernoulli_distribution every_target_fails(error_rate_of_all);
    for (int count = draw(m_rng); count > 0; --count) {
      ++calls;
      const bool is_canary = draws_canary(m_rng);
      if (is_canary) ++canary_calls;
      const std::string version = is_canary ? "v2" : "v1";
      const bool error =
          (is_canary && fails(m_rng)) || every_target_fails(m_rng);
      if (is_canary && error) CountCanaryError();
      m_counters[version + zone].Add({.service = "s",
                                      .version = version,
                                      .route = "GET /",
                                      .error = error,
                                      .latency_ms = 100});
    }
    std::poisson_distribution<int> failing_count_distribution(
        failing_route_calls);
    const int failing =
        failing_route_calls > 0 ? failing_count_distribution(m_rng) : 0;
    for (int i = 0; i < failing; ++i) {
      const std::string version = draws_canary(m_rng) ? "v2" : "v1";
      m_counters[version + zone].Add({.service = "s",
                                      .version = version,
                                      .route = "GET /fails",
                                      .error = true,
                                      .latency_ms = 1'000});
    }
    for (const std::string version : {"v1", "v2"}) {
      const std::string node = version + zone;
      Evidence counts = m_counters[node].Report("s", version);
      counts.set_slots(10);
      m_analyzers.at(zone).OnOutcomeCounts(node, 1, counts);
      m_analyzers.at("mesh").OnOutcomeCounts(node, 1, counts);
    }
  }

  void CountCanaryError() {
    if (++m_canary_errors == 50) fiftieth_canary_error_at = m_seconds;
  }

  void Apply(const std::string& zone, const CanaryDecision& decision) {
    if (const auto* recall = std::get_if<RecallVersion>(&decision)) {
      if (recalled_at == 0) recalled_at = m_seconds;
      progress.recalls[recall->version].set_reason(recall->reason);
    } else if (const auto* exclusion = std::get_if<ExcludeTarget>(&decision)) {
      progress.excluded.insert(exclusion->member_id);
    } else if (const auto* raise = std::get_if<RaiseStage>(&decision)) {
      if (zone != "mesh") progress.stage_permille[zone] = raise->stage_permille;
    } else if (zone != "mesh") {
      progress.settled[zone] = true;
    }
  }

  std::mt19937_64 m_rng;
  double m_seconds = 0;
  uint64_t m_canary_errors = 0;
  std::map<std::string, CanaryAnalyzer> m_analyzers;
  std::map<std::string, OutcomeCounters> m_counters;
};

CanaryAnalyzerOptions FourteenSecondMove() {
  return ShortMoveOptions("", TimePoint() + seconds(1'014));
}

TEST_CASE("A fault that needs load stays within the pilot zone") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ZonedMove move(seed, FourteenSecondMove());
    move.error_rate_under_load = 0.08;
    move.Run(14);
    CHECK(move.progress.IsRecalled());
    CHECK(move.progress.StageOf("a") <= kFollowerMaxStage);
    // Required bound: a tenth of the requests of the move, plus 50.
    CHECK(static_cast<double>(move.canary_calls) <=
          0.1 * static_cast<double>(move.calls) + 50);
  }
}

// Guards against a good version that is recalled for a fault of a service that
// all versions call. The pilot zone is at full stage by then, so its analyzer
// has no requests to a baseline version to compare with; those of the other
// zones, which fail alike, still have nine tenths of their requests for a
// second or two. A test of its own in ctest.
TEST_CASE("A common fault while the last zones move recalls nothing", "[.]") {
  for (const double start : {6.0, 7.0}) {
    int recalled = 0;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      ZonedMove move(seed, FourteenSecondMove());
      move.Run(start);
      move.error_rate_of_all = 0.25;
      move.Run(4);
      move.error_rate_of_all = 0;
      move.Run(14 - start);
      if (move.progress.IsRecalled()) ++recalled;
    }
    INFO("fault from " << start << " s");
    CHECK(recalled == 0);
  }
}

// Guards against a good version that is recalled for a fault of a service that
// all versions call, which begins when no baseline version has requests.
TEST_CASE("A common fault after the last zones have moved recalls nothing") {
  for (const double delay : {0.0, 0.5, 1.0}) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      INFO("fault " << delay << " s after the last zones, seed " << seed);
      ZonedMove move(seed, FourteenSecondMove());
      move.RunUntilFullStage();
      move.Run(delay);
      move.error_rate_of_all = 0.25;
      move.Run(3.5);
      move.error_rate_of_all = 0;
      move.Run(6);
      CHECK_FALSE(move.progress.IsRecalled());
      CHECK(move.settled_at > 0);
    }
  }
}

// Guards against a bad version that is not recalled in time because its fault,
// which begins when no baseline version has requests, may be common to all.
TEST_CASE("A version that turns bad after the last zones have moved is found") {
  constexpr double kRollbackSeconds = 5;
  for (const double delay : {0.0, 0.5, 1.0, 4.0}) {
    for (const double rate : {0.08, 0.25, 1.0}) {
      for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO(rate << " fail " << delay << " s after the last zones, seed "
                  << seed);
        ZonedMove move(seed, FourteenSecondMove());
        move.RunUntilFullStage();
        move.Run(delay);
        move.canary_error_rate = rate;
        move.Run(12);
        REQUIRE(move.progress.IsRecalled());
        // Fewer than 50 errors until then are always in time.
        if (move.fiftieth_canary_error_at == 0) continue;
        CHECK(move.recalled_at <=
              move.fiftieth_canary_error_at + kRollbackSeconds);
      }
    }
  }
}

TEST_CASE("A common fault that has ended does not hide a bad version") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ZonedMove move(seed, FourteenSecondMove());
    move.error_rate_under_load = 0.2;
    move.error_rate_of_all = 0.25;
    move.Run(2);
    move.error_rate_of_all = 0;
    move.Run(12);
    CHECK(move.progress.IsRecalled());
    CHECK(static_cast<double>(move.canary_calls) <=
          0.1 * static_cast<double>(move.calls) + 50);
  }
}

TEST_CASE("A route that fails on every version recalls and excludes nothing") {
  for (double calls : {0.5, 0.05}) {
    for (uint64_t seed = 1; seed <= 40; ++seed) {
      INFO("seed " << seed << ", " << calls << " calls a tick");
      ZonedMove move(seed, FourteenSecondMove());
      move.failing_route_calls = calls;
      move.Run(14);
      CHECK_FALSE(move.progress.IsRecalled());
      CHECK(move.progress.excluded.empty());
      CHECK(move.settled_at > 0);
    }
  }
}

TEST_CASE("A good version settles in every zone before a short deadline") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ZonedMove move(seed, FourteenSecondMove());
    move.Run(14);
    CHECK_FALSE(move.progress.IsRecalled());
    CHECK(move.settled_at > 0);
    // Leaves time for the outgoing version's last requests to end.
    CHECK(move.settled_at <= 12.5);
  }
}

TEST_CASE("A target that fails at a small share of a short move is excluded") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ZonedMove move(seed, FourteenSecondMove());
    move.failing_zone = "c";
    move.failing_rate = 1;
    move.calls_per_tick = 120;
    move.Run(3);
    CHECK_FALSE(move.progress.IsRecalled());
    CHECK(move.progress.excluded.count("v2c") == 1);
  }
}

}  // namespace
}  // namespace kumquatmoor
