#include "kumquatmoor/state/evidence.h"

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
  OutcomeLedger ledger;
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

}  // namespace
}  // namespace kumquatmoor
