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

// How the requests of one version on one node end.
struct Behaviour {
  double error_rate = 0;
  double latency_ms = 10;
  double slow_part = 0;  // Of the requests; they take `slow_factor` as long.
  double slow_factor = 1;
};

// Drives a judge with synthetic traffic on a virtual clock.
class Bench {
 public:
  Bench(int64_t move_by_ms, uint64_t seed)
      : Bench(move_by_ms, seed, {.zone = "z"}) {}
  Bench(int64_t move_by_ms, uint64_t seed, CanaryAnalyzerOptions options)
      : m_rng(seed),
        m_judge(MakeConfig(move_by_ms), std::move(options), Time()) {}
  // A move that has to end within so many seconds, as Mover sets it up.
  static Bench ShortMove(int seconds_left, uint64_t seed) {
    return Bench(
        0, seed,
        ShortMoveOptions("z", TimePoint() + seconds(1'000 + seconds_left)));
  }

  std::map<std::string, Behaviour> old_nodes = {{"o1", {}}, {"o2", {}}};
  std::map<std::string, Behaviour> new_nodes = {{"n1", {}}, {"n2", {}}};
  double calls_per_tick = 20;
  uint64_t routes = 1;
  ReachableTargetCounts targets{
      .canary_slots = 20, .all_slots = 40, .canary_targets = 2};

  MoveProgress progress;
  std::string recalled;  // Reason.
  std::vector<std::string> excluded;
  uint64_t new_calls = 0;
  uint64_t new_errors = 0;
  double seconds_passed = 0;

  void Run(double time_s) {
    const double end = seconds_passed + time_s;
    while (seconds_passed < end && recalled.empty()) {
      seconds_passed += 0.25;
      const double share = progress.StageOf("z") / 1000.0;
      Traffic("v1", old_nodes, calls_per_tick * (1 - share));
      Traffic("v2", new_nodes, calls_per_tick * share);
      for (const auto& ruling : m_judge.Tick(Time(), progress, targets)) {
        Take(ruling);
      }
    }
  }

  // Of the new version.
  void UseFourTargets() {
    new_nodes = {{"n1", {}}, {"n2", {}}, {"n3", {}}, {"n4", {}}};
    targets.canary_targets = 4;
  }

  const CanaryAnalyzer& Judge() const { return m_judge; }

 private:
  ClockReading Time() const {
    const auto passed =
        milliseconds(static_cast<int64_t>(seconds_passed * 1'000));
    return {.now = TimePoint() + seconds(1'000) + passed,
            .unix_ms = passed.count()};
  }

  void Traffic(const std::string& version,
               const std::map<std::string, Behaviour>& nodes, double calls) {
    const auto taking_part =
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& item) {
          return progress.excluded.count(item.first) == 0;
        });
    std::poisson_distribution<int> draw(
        calls / static_cast<double>(std::max<int64_t>(1, taking_part)));
    for (const auto& [node, behaviour] : nodes) {
      OutcomeCounters& ledger = m_counters[node];
      const bool idle = calls <= 0 || progress.excluded.count(node) > 0;
      const int count = idle ? 0 : draw(m_rng);
      std::bernoulli_distribution error(behaviour.error_rate);
      std::lognormal_distribution<double> spread(0, 0.3);
      // Draws nothing where no request is slow: the seeds of the other tests
      // keep their traffic.
      std::bernoulli_distribution slow(behaviour.slow_part);
      const double slow_part = behaviour.slow_part;
      const auto is_slow = [&] { return slow_part > 0 && slow(m_rng); };
      for (int i = 0; i < count; ++i) {
        const bool failed = error(m_rng);
        ledger.Add({.service = "s",
                    .version = version,
                    .route = "GET /" + std::to_string(m_rng() % routes),
                    .error = failed,
                    .latency_ms = behaviour.latency_ms * spread(m_rng) *
                                  (is_slow() ? behaviour.slow_factor : 1)});
        if (version != "v2") continue;
        ++new_calls;
        if (failed) ++new_errors;
      }
      Evidence evidence = ledger.Report("s", version);
      evidence.set_slots(10);
      m_judge.OnOutcomeCounts(node, 1, evidence);
      // Repeated and crossed reports change nothing.
      if (m_rng() % 4 == 0) m_judge.OnOutcomeCounts(node, 1, evidence);
      if (m_rng() % 4 == 0) m_judge.OnOutcomeCounts(node, 1, m_earlier[node]);
      m_earlier[node] = evidence;
    }
  }

  void Take(const CanaryDecision& ruling) {
    if (const auto* raise = std::get_if<RaiseStage>(&ruling)) {
      CHECK(raise->stage_permille == NextStage(progress.StageOf("z")));
      progress.stage_permille["z"] = raise->stage_permille;
    } else if (const auto* recall = std::get_if<RecallVersion>(&ruling)) {
      recalled = recall->reason;
    } else if (const auto* blame = std::get_if<ExcludeTarget>(&ruling)) {
      excluded.push_back(blame->member_id);
      progress.excluded.insert(blame->member_id);
    } else {
      progress.settled["z"] = true;
    }
  }

  std::mt19937_64 m_rng;
  CanaryAnalyzer m_judge;
  std::map<std::string, OutcomeCounters> m_counters;
  std::map<std::string, Evidence> m_earlier;
};

TEST_CASE("A good version carries its full share by the deadline") {
  for (int64_t deadline_s : {10, 30, 120}) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      INFO("deadline " << deadline_s << " seed " << seed);
      Bench bench(deadline_s * 1'000, seed);
      bench.old_nodes["o1"].error_rate = 0.002;
      bench.new_nodes["n1"].error_rate = 0.002;
      bench.Run(static_cast<double>(deadline_s));
      CHECK(bench.recalled.empty());
      CHECK(bench.progress.StageOf("z") == kFullStage);
      // Within 10 s there is no time left to watch it at full stage.
      if (deadline_s > 10) CHECK(bench.progress.settled.count("z") == 1);
    }
  }
}

TEST_CASE("A version with little traffic still moves by its deadline") {
  Bench bench(60'000, 1);
  bench.calls_per_tick = 0.25;
  bench.Run(60);
  CHECK(bench.progress.StageOf("z") == kFullStage);
}

TEST_CASE("A bad version is taken back after few requests") {
  struct Case {
    const char* name;
    Behaviour behaviour;
    uint64_t most_calls;
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
      Bench bench(60'000, seed);
      bench.new_nodes = {{"n1", c.behaviour}, {"n2", c.behaviour}};
      bench.Run(60);
      CHECK_FALSE(bench.recalled.empty());
      CHECK(bench.new_calls <= c.most_calls);
    }
  }
}

TEST_CASE("A fault on every route shows in all routes together") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Bench bench(60'000, seed);
    bench.routes = 12;
    bench.calls_per_tick = 1;
    bench.UseFourTargets();
    for (auto& [id, node] : bench.new_nodes) node.error_rate = 0.3;
    bench.Run(100);
    CHECK_FALSE(bench.recalled.empty());
  }
}

TEST_CASE("A fault that begins after the move is done is still found") {
  Bench bench(10'000, 3);
  bench.Run(15);
  REQUIRE(bench.progress.StageOf("z") == kFullStage);
  for (auto& [id, node] : bench.new_nodes) node.error_rate = 0.3;
  bench.Run(5);
  CHECK_FALSE(bench.recalled.empty());
}

TEST_CASE("A fault of every version is not blamed on the new one") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Bench bench(60'000, seed);
    bench.Run(25);
    for (auto* nodes : {&bench.old_nodes, &bench.new_nodes}) {
      for (auto& [id, node] : *nodes) node.error_rate = 0.5;
    }
    bench.Run(10);
    CHECK(bench.recalled.empty());
  }
}

TEST_CASE(
    "A version that fails twice as often as a bad old one is taken back") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Bench bench(60'000, seed);
    for (auto& [id, node] : bench.old_nodes) node.error_rate = 0.08;
    for (auto& [id, node] : bench.new_nodes) node.error_rate = 0.16;
    bench.Run(100);
    CHECK_FALSE(bench.recalled.empty());
  }
}

TEST_CASE("One bad target is blamed, not its version") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Bench bench(60'000, seed);
    bench.Run(15);
    bench.new_nodes["n2"].error_rate = 1;
    bench.Run(10);
    CHECK(bench.recalled.empty());
    CHECK(bench.excluded == std::vector<std::string>{"n2"});
    CHECK(bench.new_errors <= 10);
  }
}

TEST_CASE("One slow target is blamed, not its version") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Bench bench(60'000, seed);
    bench.UseFourTargets();
    bench.Run(15);
    bench.new_nodes["n2"].latency_ms = 100;
    bench.Run(20);
    CHECK(bench.recalled.empty());
    CHECK(bench.excluded == std::vector<std::string>{"n2"});
  }
}

TEST_CASE("Two bad targets of four are a bad version") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Bench bench(60'000, seed);
    bench.UseFourTargets();
    bench.new_nodes["n1"].error_rate = 1;
    bench.new_nodes["n3"].error_rate = 1;
    bench.Run(60);
    CHECK_FALSE(bench.recalled.empty());
    CHECK(bench.new_errors <= 20);
  }
}

TEST_CASE("Blame of several zones' judges adds up to a recall") {
  Bench bench(60'000, 1);
  bench.targets.canary_targets = 4;
  bench.Run(10);
  bench.progress.excluded = {"n1"};
  bench.Run(2);
  CHECK(bench.recalled.empty());
  bench.progress.excluded = {"n1", "n2"};
  bench.Run(2);
  CHECK(bench.recalled == "2 targets fail");
}

TEST_CASE("A blamed target is no reason for a recall when others are lost") {
  Bench bench(60'000, 1);
  bench.targets.canary_targets = 4;
  bench.Run(10);
  bench.progress.excluded = {"n1"};
  bench.Run(2);
  bench.targets = {.canary_slots = 10, .all_slots = 30, .canary_targets = 1};
  bench.Run(5);
  CHECK(bench.recalled.empty());
  // Now only the one that is to blame can be reached.
  bench.targets = {.canary_slots = 0, .all_slots = 30, .canary_targets = 1};
  bench.Run(1);
  CHECK(bench.recalled == "every target that is left fails");
}

TEST_CASE("A fault of every version at little traffic does not hold a move") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Bench bench(60'000, seed);
    bench.calls_per_tick = 1;
    bench.Run(20);
    for (auto* nodes : {&bench.old_nodes, &bench.new_nodes}) {
      for (auto& [id, node] : *nodes) node.error_rate = 0.5;
    }
    bench.Run(80);
    CHECK(bench.recalled.empty());
    CHECK(bench.progress.StageOf("z") == kFullStage);
  }
}

TEST_CASE("Errors are compared anew each time they are too many") {
  CanaryAnalyzer judge(MakeConfig(0), {.zone = "z"}, {});
  std::map<std::string, OutcomeCounters> ledgers;
  ClockReading time{.now = TimePoint() + seconds(1'000)};
  // Requests in a tick of 250 ms; true if the version is blamed or recalled.
  const auto tick = [&](int old_calls, int new_calls, bool new_errors) {
    for (const char* node : {"o1", "n1", "n2"}) {
      const bool is_old = node[0] == 'o';
      const std::string version = is_old ? "v1" : "v2";
      for (int i = 0; i < (is_old ? old_calls : new_calls); ++i) {
        ledgers[node].Add({.service = "s",
                           .version = version,
                           .route = "GET /x",
                           .error = !is_old && new_errors,
                           .latency_ms = 5});
      }
      judge.OnOutcomeCounts(node, 1, ledgers[node].Report("s", version));
    }
    time.now += milliseconds(250);
    const ReachableTargetCounts targets{
        .canary_slots = 20, .all_slots = 30, .canary_targets = 2};
    for (const auto& ruling : judge.Tick(time, {}, targets)) {
      if (std::holds_alternative<ExcludeTarget>(ruling)) return true;
      if (std::holds_alternative<RecallVersion>(ruling)) return true;
    }
    return false;
  };
  tick(100, 0, false);
  tick(1, 3, true);
  // The old version has served too little to compare with, ...
  CHECK_FALSE(tick(0, 500, false));
  // ... and the new one recovers meanwhile.
  for (int i = 0; i < 40; ++i) CHECK_FALSE(tick(5, 5, false));
  CHECK_FALSE(tick(5, 3, true));
  // The reports of the old version get their time again.
  CHECK_FALSE(tick(5, 0, false));
  CHECK_FALSE(tick(5, 0, false));
  bool ruled = false;
  for (int i = 0; i < 8; ++i) ruled = tick(5, 0, false) || ruled;
  CHECK(ruled);
}

TEST_CASE("The stage waits for slots and says so") {
  Bench bench(60'000, 1);
  bench.targets = {.all_slots = 20};
  bench.Run(5);
  CHECK(bench.progress.StageOf("z") == 0);
  CHECK(bench.Judge().StageHoldReason() == "no live target of the new version");
}

TEST_CASE("A recalled move is over") {
  Bench bench(60'000, 1);
  bench.Run(3);
  bench.progress.recalls["v2"] = Recall();
  const uint32_t stage = bench.progress.StageOf("z");
  bench.Run(30);
  CHECK(bench.progress.StageOf("z") == stage);
}

TEST_CASE("The sequential test keeps its false alarm rate") {
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
    Bench bench = Bench::ShortMove(14, seed);
    double exposed = 0;
    double full_at = 0;
    while (bench.seconds_passed < 14) {
      bench.Run(0.25);
      const double share = bench.progress.StageOf("z") / 1000.0;
      if (share < 1) exposed += 0.25 * share;
      if (share >= 1 && full_at == 0) full_at = bench.seconds_passed;
    }
    // A tenth of the requests of the 14 s, and time to settle afterwards.
    CHECK(exposed <= 1.4);
    CHECK(full_at > 0);
    CHECK(full_at <= 11);
  }
}

TEST_CASE("The share of a short move does not rise while requests fail") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Bench bench = Bench::ShortMove(14, seed);
    bench.Run(3);
    const uint32_t stage = bench.progress.StageOf("z");
    // Every version fails alike, so that nothing speaks against the new one.
    for (auto& [id, node] : bench.old_nodes) node.error_rate = 0.6;
    for (auto& [id, node] : bench.new_nodes) node.error_rate = 0.6;
    bench.Run(9);
    CHECK(bench.progress.StageOf("z") <= NextStage(stage));
  }
}

TEST_CASE("Targets of unequal speed are no fault of a short move") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Bench bench = Bench::ShortMove(16, seed);
    bench.old_nodes = {{"o1", {.latency_ms = 60}}, {"o2", {.latency_ms = 140}}};
    bench.new_nodes = {{"n1", {.latency_ms = 140}},
                       {"n2", {.latency_ms = 160}}};
    bench.Run(16);
    CHECK(bench.recalled.empty());
    CHECK(bench.excluded.empty());
    CHECK(bench.progress.StageOf("z") == kFullStage);
  }
}

TEST_CASE("A third of requests eight times slower ends a short move") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Bench bench = Bench::ShortMove(14, seed);
    const Behaviour slow{
        .latency_ms = 100, .slow_part = 0.31, .slow_factor = 8};
    bench.old_nodes = {{"o1", {.latency_ms = 60}}, {"o2", {.latency_ms = 140}}};
    bench.new_nodes = {{"n1", slow}, {"n2", slow}};
    bench.Run(14);
    CHECK_FALSE(bench.recalled.empty());
    // The users' bound: a tenth of the requests of the move and 50.
    const double calls = 14 * 4 * bench.calls_per_tick;
    CHECK(static_cast<double>(bench.new_calls) <= 0.1 * calls + 50);
  }
}

// A short move in four zones, each with a judge, and one of the whole mesh.
// Every zone has one target of each version, and callers of a zone use its own.
class ZonedMove {
 public:
  ZonedMove(uint64_t seed, CanaryAnalyzerOptions options) : m_rng(seed) {
    for (const char* zone : {"a", "b", "c", "d", "mesh"}) {
      options.zone = zone;
      m_analyzers.emplace(zone, CanaryAnalyzer(MakeConfig(0), options, Time()));
    }
  }

  double calls_per_tick = 20;        // Of each zone.
  double error_rate_of_all = 0;      // Of every target of both versions.
  double error_rate_under_load = 0;  // Of new targets with half the zone's.
  double failing_route_calls = 0;    // A tick and zone; none of them succeeds.
  std::string failing_zone;          // Whose new target always fails so often.
  double failing_rate = 0;

  MoveProgress progress;
  uint64_t calls = 0;
  uint64_t new_calls = 0;
  double settled_at = 0;  // In every zone.

  void Run(double time_s) {
    for (double end = m_seconds + time_s; m_seconds < end;) {
      m_seconds += 0.25;
      for (const char* zone : kZones) Serve(zone);
      for (auto& [zone, judge] : m_analyzers) {
        for (const auto& ruling : judge.Tick(Time(), progress, Targets())) {
          Take(zone, ruling);
        }
      }
      if (progress.settled.size() == std::size(kZones) && settled_at == 0) {
        settled_at = m_seconds;
      }
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
    std::bernoulli_distribution is_new(stage / 1000.0);
    double error_rate = stage >= 500 ? error_rate_under_load : 0;
    if (zone == failing_zone) error_rate = failing_rate;
    std::bernoulli_distribution fails(error_rate);
    std::bernoulli_distribution every_target_fails(error_rate_of_all);
    for (int count = draw(m_rng); count > 0; --count) {
      ++calls;
      const bool rising = is_new(m_rng);
      if (rising) ++new_calls;
      const std::string version = rising ? "v2" : "v1";
      m_counters[version + zone].Add(
          {.service = "s",
           .version = version,
           .route = "GET /",
           .error = (rising && fails(m_rng)) || every_target_fails(m_rng),
           .latency_ms = 100});
    }
    std::poisson_distribution<int> draw_failing(failing_route_calls);
    const int failing = failing_route_calls > 0 ? draw_failing(m_rng) : 0;
    for (int i = 0; i < failing; ++i) {
      const std::string version = is_new(m_rng) ? "v2" : "v1";
      m_counters[version + zone].Add({.service = "s",
                                      .version = version,
                                      .route = "GET /fails",
                                      .error = true,
                                      .latency_ms = 1'000});
    }
    for (const std::string version : {"v1", "v2"}) {
      const std::string node = version + zone;
      Evidence evidence = m_counters[node].Report("s", version);
      evidence.set_slots(10);
      m_analyzers.at(zone).OnOutcomeCounts(node, 1, evidence);
      m_analyzers.at("mesh").OnOutcomeCounts(node, 1, evidence);
    }
  }

  void Take(const std::string& zone, const CanaryDecision& ruling) {
    if (const auto* recall = std::get_if<RecallVersion>(&ruling)) {
      progress.recalls[recall->version].set_reason(recall->reason);
    } else if (const auto* blame = std::get_if<ExcludeTarget>(&ruling)) {
      progress.excluded.insert(blame->member_id);
    } else if (const auto* raise = std::get_if<RaiseStage>(&ruling)) {
      if (zone != "mesh") progress.stage_permille[zone] = raise->stage_permille;
    } else if (zone != "mesh") {
      progress.settled[zone] = true;
    }
  }

  std::mt19937_64 m_rng;
  double m_seconds = 0;
  std::map<std::string, CanaryAnalyzer> m_analyzers;
  std::map<std::string, OutcomeCounters> m_counters;
};

CanaryAnalyzerOptions FourteenSeconds() {
  return ShortMoveOptions("", TimePoint() + seconds(1'014));
}

TEST_CASE("A fault under load meets the callers of the pilot zone only") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ZonedMove move(seed, FourteenSeconds());
    move.error_rate_under_load = 0.08;
    move.Run(14);
    CHECK(move.progress.IsRecalled());
    CHECK(move.progress.StageOf("a") <= kFollowerMaxStage);
    // The users' bound: a tenth of the requests of the move and 50.
    CHECK(static_cast<double>(move.new_calls) <=
          0.1 * static_cast<double>(move.calls) + 50);
  }
}

TEST_CASE("A fault of all that has ended excuses no version") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ZonedMove move(seed, FourteenSeconds());
    move.error_rate_under_load = 0.2;
    move.error_rate_of_all = 0.25;
    move.Run(2);
    move.error_rate_of_all = 0;
    move.Run(12);
    CHECK(move.progress.IsRecalled());
    CHECK(static_cast<double>(move.new_calls) <=
          0.1 * static_cast<double>(move.calls) + 50);
  }
}

TEST_CASE("A route that always fails is no fault of the new version") {
  for (double calls : {0.5, 0.05}) {
    for (uint64_t seed = 1; seed <= 40; ++seed) {
      INFO("seed " << seed << ", " << calls << " calls a tick");
      ZonedMove move(seed, FourteenSeconds());
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
    ZonedMove move(seed, FourteenSeconds());
    move.Run(14);
    CHECK_FALSE(move.progress.IsRecalled());
    CHECK(move.settled_at > 0);
    // Time for the old version's last requests to end.
    CHECK(move.settled_at <= 12.5);
  }
}

TEST_CASE("A single target that fails at a small share is still blamed") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ZonedMove move(seed, FourteenSeconds());
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
