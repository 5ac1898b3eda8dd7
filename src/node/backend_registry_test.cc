#include "kumquatmoor/node/backend_registry.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

Announcement AnnouncementOf(int64_t started_ms, uint64_t sequence) {
  return {.instance = "i-1",
          .started_ms = started_ms,
          .sequence = sequence,
          .service = "s",
          .version = "v1",
          .address = "127.0.0.1:9000"};
}

// Guards against a late announcement that makes a backend server available
// again, which deregistered with a node that had restarted and did not know it.
TEST_CASE("A deregistration of an unknown backend server is remembered",
          "[deregister]") {
  BackendRegistry registry;
  registry.Deregister({.instance = "i-1", .started_ms = 1'000});
  registry.Announce(AnnouncementOf(1'000, 23), TimePoint());
  REQUIRE(registry.Backends().size() == 1);
  CHECK(registry.Backends().front().draining);
  // A later process of the same instance is available.
  registry.Announce(AnnouncementOf(2'000, 1), TimePoint());
  REQUIRE(registry.Backends().size() == 1);
  CHECK_FALSE(registry.Backends().front().draining);
}

// A start time that is missing could be that of any process of the instance.
TEST_CASE("A deregistration without a start time concerns no later process",
          "[deregister]") {
  BackendRegistry registry;
  registry.Deregister({.instance = "i-1"});
  registry.Announce(AnnouncementOf(2'000, 1), TimePoint());
  REQUIRE(registry.Backends().size() == 1);
  CHECK_FALSE(registry.Backends().front().draining);
}

}  // namespace
}  // namespace kumquatmoor
