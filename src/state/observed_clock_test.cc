#include "kumquatmoor/state/observed_clock.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint() + std::chrono::seconds(100);

TEST_CASE("An observed clock follows the time from tick to tick") {
  ObservedClock clock(kStart);
  for (int tick = 1; tick <= 20; ++tick) {
    const TimePoint now = kStart + tick * milliseconds(250);
    CHECK(clock.Advance(now) == now);
  }
}

TEST_CASE("An observed clock does not count a pause") {
  ObservedClock clock(kStart);
  const milliseconds before(500);
  CHECK(clock.Advance(kStart + before) == kStart + before);
  const milliseconds pause(6'000);
  CHECK(clock.Advance(kStart + before + pause) == kStart + before);
  // It goes on from there.
  CHECK(clock.Advance(kStart + before + pause + milliseconds(250)) ==
        kStart + before + milliseconds(250));
}

}  // namespace
}  // namespace kumquatmoor
