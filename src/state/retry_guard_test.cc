#include "kumquatmoor/state/retry_guard.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr AttemptKind kFirst = AttemptKind::kFirst;
constexpr AttemptKind kRetry = AttemptKind::kRetry;
constexpr AttemptKind kCall = AttemptKind::kCallOfRetry;

const TimePoint kStart = TimePoint() + seconds(100);

TEST_CASE("The retry budget limits retries to its ratio of first attempts") {
  RetryGuard guard({.ratio = 0.2});  // 0.1 for retries.
  int retries = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 10'000; ++i, now += milliseconds(1)) {
    guard.Take(kFirst, now);
    while (guard.Take(kRetry, now)) ++retries;
  }
  CHECK(retries <= 10'000 * 0.1 + 10);
  CHECK(retries >= 10'000 * 0.1 - 10);
}

TEST_CASE("Retries and calls of retries use up half of the ratio each") {
  RetryGuard guard({.ratio = 0.2});
  int retries = 0;
  int calls = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 10'000; ++i, now += milliseconds(1)) {
    guard.Take(kFirst, now);
    while (guard.Take(kRetry, now)) ++retries;
    while (guard.Take(kCall, now)) ++calls;
  }
  CHECK(retries <= 10'000 * 0.1);
  CHECK(retries >= 10'000 * 0.1 - 10);
  CHECK(calls == retries);
}

// Guards against a budget that is full again after a restart: a node that
// restarts does not know what it has spent.
TEST_CASE("A new guard allows no retry before the first attempts earn one") {
  RetryGuard guard({.ratio = 0.2});
  CHECK_FALSE(guard.Take(kRetry, kStart));
  CHECK_FALSE(guard.Take(kRetry, kStart + seconds(20)));
  for (int i = 0; i < 11; ++i) guard.Take(kFirst, kStart + seconds(20));
  CHECK(guard.Take(kRetry, kStart + seconds(20)));
  CHECK_FALSE(guard.Take(kRetry, kStart + seconds(20)));
}

// Guards against a budget of many seconds that a fault uses up at once.
TEST_CASE("What is saved up is earned in the last second, or the minimum") {
  RetryGuard guard({.ratio = 0.2, .min_saved = 2});
  TimePoint now = kStart;
  for (int i = 0; i < 5'000; ++i, now += milliseconds(1)) {
    guard.Take(kFirst, now);
  }
  int retries = 0;
  while (guard.Take(kRetry, now)) ++retries;
  CHECK(retries <= 100);
  CHECK(retries >= 90);
  // At 5 first attempts a second.
  for (int i = 0; i < 100; ++i, now += milliseconds(200)) {
    guard.Take(kFirst, now);
  }
  retries = 0;
  while (guard.Take(kRetry, now)) ++retries;
  CHECK(retries == 2);
}

TEST_CASE("The bound holds in every window, also after a pause and a burst") {
  constexpr milliseconds kWindow{10'000};
  constexpr double kRatio = 0.2;
  constexpr double kMinSaved = 2;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 rng(seed);
    RetryGuard guard({.ratio = kRatio, .min_saved = kMinSaved});
    std::vector<TimePoint> first_attempts;
    std::vector<TimePoint> retries;
    std::exponential_distribution<double> gap_ms(0.02);
    std::bernoulli_distribution pause(0.002);
    std::bernoulli_distribution burst(0.01);
    TimePoint now = kStart;
    int left_of_burst = 0;
    for (int i = 0; i < 4'000; ++i) {
      if (left_of_burst > 0) {
        --left_of_burst;
      } else {
        now += milliseconds(static_cast<int64_t>(gap_ms(rng)));
      }
      if (burst(rng)) left_of_burst = 20;
      if (pause(rng)) now += seconds(15);
      guard.Take(kFirst, now);
      first_attempts.push_back(now);
      for (const AttemptKind kind : {kRetry, kCall, kRetry}) {
        if (guard.Take(kind, now)) retries.push_back(now);
      }
    }
    const auto count = [&](const std::vector<TimePoint>& times, TimePoint begin,
                           milliseconds length) {
      return static_cast<double>(
          std::count_if(times.begin(), times.end(), [&](TimePoint time) {
            return time >= begin && time < begin + length;
          }));
    };
    for (const TimePoint begin : retries) {
      // What was saved before the window comes from the second before it.
      const double saved = std::max(
          kRatio * count(first_attempts, begin - seconds(1), seconds(1)),
          2 * kMinSaved);
      const double allowed =
          kRatio * count(first_attempts, begin, kWindow) + saved;
      REQUIRE(count(retries, begin, kWindow) <= allowed);
    }
    CHECK(static_cast<double>(retries.size()) >=
          0.8 * kRatio * static_cast<double>(first_attempts.size()));
  }
}

TEST_CASE("A request that was not sent can be returned") {
  RetryGuard guard({.ratio = 0.2});
  for (int i = 0; i < 11; ++i) guard.Take(kFirst, kStart);
  CHECK(guard.Take(kRetry, kStart));
  CHECK_FALSE(guard.Take(kRetry, kStart));
  guard.Return(kRetry);
  CHECK(guard.Take(kRetry, kStart));
  // A first attempt that was not sent earns nothing.
  for (int i = 0; i < 10; ++i) {
    guard.Take(kFirst, kStart);
    guard.Return(kFirst);
  }
  CHECK_FALSE(guard.Take(kRetry, kStart));
}

}  // namespace
}  // namespace kumquatmoor
