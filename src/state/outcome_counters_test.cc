#include "kumquatmoor/state/outcome_counters.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

TEST_CASE("A route is the method and the first path segment") {
  CHECK(RouteOf("GET", "/search/x?y=1") == "GET /search");
  CHECK(RouteOf("GET", "/search?y=/1") == "GET /search");
  CHECK(RouteOf("POST", "/") == "POST /");
  CHECK(RouteOf("GET", "") == "GET ");
  CHECK(RouteOf("GET", "/" + std::string(500, 'x')).size() == 52);
}

TEST_CASE("Latency buckets grow by the square root of 2") {
  CHECK(LatencyBucket(0) == 0);
  CHECK(LatencyBucket(0.6) == 0);
  CHECK(LatencyBucket(1e9) == kLatencyBuckets - 1);
  for (double ms : {1.0, 7.3, 120.0}) {
    CHECK(LatencyBucket(2 * ms) == LatencyBucket(ms) + 2);
  }
}

TEST_CASE("Counts add up, restart with a move and are bounded by route") {
  OutcomeCounters counters;
  for (size_t i = 0; i < 100; ++i) {
    counters.Add({.service = "s",
                  .version = "v",
                  .route = "GET /" + std::to_string(i),
                  .error = i % 2 == 0,
                  .idempotent = i % 4 == 0,
                  .latency_ms = 5});
  }
  const Evidence report = counters.Report("s", "v");
  CHECK(report.routes_size() == static_cast<int>(kMaxCountedRoutes) + 1);
  uint64_t total = 0;
  uint64_t errors = 0;
  uint64_t warm = 0;
  for (const auto& route : report.routes()) {
    total += route.total();
    errors += route.errors();
    warm += route.warm_total();
  }
  CHECK(total == 100);
  CHECK(errors == 50);
  CHECK(warm == 50);
  counters.Restart("s");
  const Evidence after = counters.Report("s", "v");
  CHECK(after.routes_size() == 0);
  CHECK(after.sequence() == report.sequence());
}

// Each row is a tick of 250 ms: it adds requests to the counters and then
// expects a report to be due or not.
TEST_CASE("Urgent counts are due at once, others at the interval") {
  struct Tick {
    int calls;
    bool error;
    double latency_ms;
    bool due;
  };
  const Tick ticks[] = {
      {0, false, 0, true},     // The first report of a move.
      {5, false, 5, false},    // Changes that are not urgent
      {5, false, 5, false},    //
      {5, false, 5, false},    //
      {5, false, 5, true},     // are due after the interval of a second,
      {0, false, 0, false},    //
      {0, false, 0, false},    //
      {0, false, 0, false},    //
      {0, false, 0, true},     // and once more, as a report may be lost.
      {0, false, 0, false},    //
      {0, false, 0, false},    //
      {0, false, 0, false},    //
      {0, false, 0, false},    // No third report of the same counts.
      {1, true, 5, true},      // A failure is urgent,
      {1, true, 5, true},      // and so is the next one.
      {2, false, 100, false},  // Two slow requests may be chance,
      {1, false, 100, true},   // but three are urgent.
      {9, false, 5, false},    //
  };
  OutcomeCounters counters;
  ReportPacer pacer(std::chrono::milliseconds(1'000));
  TimePoint now = TimePoint() + std::chrono::hours(1);
  int number = 0;
  for (const auto& tick : ticks) {
    INFO("tick " << number++);
    for (int i = 0; i < tick.calls; ++i) {
      counters.Add({.service = "s",
                    .version = "v",
                    .route = "GET /x",
                    .error = tick.error,
                    .latency_ms = tick.latency_ms});
    }
    Evidence report = counters.Report("s", "v");
    report.set_move_revision(1);
    CHECK(pacer.Take(report, now) == tick.due);
    now += std::chrono::milliseconds(250);
  }
  // The first report of another move is due at once.
  Evidence report = counters.Report("s", "v");
  report.set_move_revision(2);
  CHECK(pacer.Take(report, now));
}

// Guards against a path with bytes that are not text: other nodes discard a
// datagram with the name of such a route.
TEST_CASE("A route has visible characters only", "[odd]") {
  for (const std::string path :
       {"/\xff\xfe/x", "/a\xc3", "/caf\xc3\xa9", "/a\x01\x7f"}) {
    Evidence counts;
    counts.add_routes()->set_route(RouteOf("GET", path));
    CHECK(Evidence().ParseFromString(counts.SerializeAsString()));
    for (const char c : counts.routes(0).route()) {
      CHECK((c >= ' ' && c <= '~'));
    }
  }
  const std::string long_path = "/" + std::string(46, 'a') + "\xc3\xa9";
  Evidence counts;
  counts.add_routes()->set_route(RouteOf("GET", long_path));
  CHECK(Evidence().ParseFromString(counts.SerializeAsString()));
  CHECK(RouteOf("GET", "/search/7?q=1") == "GET /search");
}

}  // namespace
}  // namespace kumquatmoor
