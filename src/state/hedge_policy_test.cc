#include "kumquatmoor/state/hedge_policy.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow = TimePoint() + seconds(1'000);

HedgeRequest Request() {
  return {.idempotent = true, .max_attempts = 2, .route = "r"};
}

// A policy whose route has latencies of 1 to 100 ms.
HedgePolicy PolicyWithSamples(double percent) {
  HedgePolicy policy({.percent = percent});
  for (int ms = 1; ms <= 100; ++ms) {
    policy.OnResponse("r", milliseconds(ms), kNow);
  }
  return policy;
}

// Guards against hedged requests at times that few samples suggest, or old
// ones.
TEST_CASE("The delay is the 95th percentile of the last minute") {
  HedgePolicy policy = PolicyWithSamples(5);
  const auto delay = policy.DelayOf("r", kNow);
  REQUIRE(delay);
  CHECK(*delay >= milliseconds(95));
  CHECK(*delay <= milliseconds(119));
  CHECK_FALSE(policy.DelayOf("other", kNow));
  CHECK(policy.DelayOf("r", kNow + seconds(45)));
  CHECK_FALSE(policy.DelayOf("r", kNow + seconds(65)));
  for (uint32_t i = 1; i < HedgePolicy::kMinSamples; ++i) {
    policy.OnResponse("few", milliseconds(10), kNow);
  }
  CHECK_FALSE(policy.DelayOf("few", kNow));
  policy.OnResponse("few", milliseconds(3'600'000), kNow);
  CHECK(*policy.DelayOf("few", kNow) < milliseconds(13));
}

// Guards against a second load on targets when all of them are slow, where
// every request exceeds the delay.
TEST_CASE("Hedged requests stay below their part of the first attempts") {
  HedgePolicy policy = PolicyWithSamples(5);
  int sent = 0;
  for (int i = 0; i < 10'000; ++i) {
    policy.OnFirstAttempt();
    if (policy.Decide(Request(), kNow) == HedgeVerdict::kSend) ++sent;
  }
  CHECK(sent >= 495);
  CHECK(sent <= 500);
  CHECK(policy.Decide(Request(), kNow) == HedgeVerdict::kBudget);
  policy.Return();
  CHECK(policy.Decide(Request(), kNow) == HedgeVerdict::kSend);
  // What a quiet time saves is bounded.
  for (int i = 0; i < 10'000; ++i) policy.OnFirstAttempt();
  sent = 0;
  while (policy.Decide(Request(), kNow) == HedgeVerdict::kSend) ++sent;
  CHECK(sent == static_cast<int>(HedgePolicy::kMaxSaved));
  HedgePolicy off = PolicyWithSamples(0);
  off.OnFirstAttempt();
  CHECK_FALSE(off.DelayOf("r", kNow));
}

// Guards against a second run of what must run once, and against one that could
// not help.
TEST_CASE("Only requests that may be repeated in time are hedged") {
  HedgePolicy policy = PolicyWithSamples(100);
  for (int i = 0; i < 10; ++i) policy.OnFirstAttempt();
  const auto decide = [&](const auto& change) {
    HedgeRequest request = Request();
    change(request);
    return policy.Decide(request, kNow);
  };
  using enum HedgeVerdict;
  CHECK(decide([](auto& r) { r.idempotent = false; }) == kNotRepeatable);
  CHECK(decide([](auto& r) { r.is_streamed = true; }) == kNotRepeatable);
  CHECK(decide([](auto& r) { r.is_suspected = true; }) == kNotRepeatable);
  CHECK(decide([](auto& r) { r.max_attempts = 1; }) == kAttempts);
  CHECK(decide([](auto& r) { r.offers = 1; }) == kAttempts);
  CHECK(decide([](auto& r) { r.deadline = kNow + milliseconds(50); }) ==
        kNoTime);
  CHECK(decide([](auto& r) { r.route = "other"; }) == kNoTime);
  CHECK(decide([](auto& r) { r.target_load = 0.9; }) == kTargetLoad);
  CHECK(decide([](auto& r) { r.target_load = 0.8; }) == kSend);
}

}  // namespace
}  // namespace kumquatmoor
