#include "kumquatmoor/state/outcome_counters.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

TEST_CASE("Routes are the method and the first segment") {
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

TEST_CASE("Counts add up, restart with a move and stay bounded") {
  OutcomeCounters ledger;
  for (size_t i = 0; i < 100; ++i) {
    ledger.Add({.service = "s",
                .version = "v",
                .route = "GET /" + std::to_string(i),
                .error = i % 2 == 0,
                .idempotent = i % 4 == 0,
                .latency_ms = 5});
  }
  const Evidence evidence = ledger.Report("s", "v");
  CHECK(evidence.routes_size() == static_cast<int>(kMaxRoutes) + 1);
  uint64_t total = 0;
  uint64_t errors = 0;
  uint64_t warm = 0;
  for (const auto& route : evidence.routes()) {
    total += route.total();
    errors += route.errors();
    warm += route.warm_total();
  }
  CHECK(total == 100);
  CHECK(errors == 50);
  CHECK(warm == 50);
  ledger.Restart("s");
  const Evidence after = ledger.Report("s", "v");
  CHECK(after.routes_size() == 0);
  CHECK(after.sequence() == evidence.sequence());
}

// Ticks of 250 ms; each row adds requests to the ledger and says if a report
// is due then.
TEST_CASE("Reports are paced, news goes at once") {
  struct Tick {
    int calls;
    bool error;
    double latency_ms;
    bool due;
  };
  const Tick ticks[] = {
      {0, false, 0, true},     // The first, of a new move.
      {5, false, 5, false},    // Nothing new for the judge:
      {5, false, 5, false},    //
      {5, false, 5, false},    //
      {5, false, 5, true},     // after a second it is told,
      {0, false, 0, false},    //
      {0, false, 0, false},    //
      {0, false, 0, false},    //
      {0, false, 0, true},     // and once more, as that may be lost.
      {0, false, 0, false},    //
      {0, false, 0, false},    //
      {0, false, 0, false},    //
      {0, false, 0, false},    // Then no more.
      {1, true, 5, true},      // A failure,
      {1, true, 5, true},      // and the next.
      {2, false, 100, false},  // Two slow requests may be chance,
      {1, false, 100, true},   // three are news.
      {9, false, 5, false},    //
  };
  OutcomeCounters ledger;
  ReportPacer pacer(std::chrono::milliseconds(1'000));
  TimePoint now = TimePoint() + std::chrono::hours(1);
  int number = 0;
  for (const auto& tick : ticks) {
    INFO("tick " << number++);
    for (int i = 0; i < tick.calls; ++i) {
      ledger.Add({.service = "s",
                  .version = "v",
                  .route = "GET /x",
                  .error = tick.error,
                  .latency_ms = tick.latency_ms});
    }
    Evidence evidence = ledger.Report("s", "v");
    evidence.set_move_revision(1);
    CHECK(pacer.Take(evidence, now) == tick.due);
    now += std::chrono::milliseconds(250);
  }
  // Another move starts anew.
  Evidence evidence = ledger.Report("s", "v");
  evidence.set_move_revision(2);
  CHECK(pacer.Take(evidence, now));
}

}  // namespace
}  // namespace kumquatmoor
