#include "kumquatmoor/transport/link_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <random>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using TimePoint = LinkScheduler::TimePoint;

constexpr double kRate = 1'250'000;  // 10 Mbit/s.
constexpr size_t kPartBytes = 16'384;
const TimePoint kStart = TimePoint(std::chrono::hours(1));

// The FIFO queue of a link, which sends kRate bytes per second.
class LinkQueue {
 public:
  void Add(size_t bytes, TimePoint now) {
    m_bytes = Bytes(now) + static_cast<double>(bytes);
    m_updated = now;
  }
  // Time that a packet which is added now waits.
  double WaitMs(TimePoint now) const { return 1'000 * Bytes(now) / kRate; }

 private:
  double Bytes(TimePoint now) const {
    const std::chrono::duration<double> elapsed = now - m_updated;
    return std::max(0.0, m_bytes - elapsed.count() * kRate);
  }
  double m_bytes = 0;
  TimePoint m_updated = kStart;
};

TEST_CASE("An unused link sends a part at once") {
  LinkScheduler scheduler({.rate = kRate});
  CHECK(scheduler.TakeNow(kPartBytes, kStart));
  CHECK_FALSE(scheduler.NextGrant(kStart));
}

// Guards against control traffic that waits behind messages in the host's link.
TEST_CASE("Messages above the link's rate leave its queue short") {
  const uint64_t seed = GENERATE(range(1, 21));
  // How late the timer of a grant may fire.
  const milliseconds timer_delay(GENERATE(0, 2, 15));
  std::mt19937_64 rng(seed);
  LinkScheduler scheduler({.rate = kRate});
  LinkQueue queue;
  std::map<uint64_t, size_t> waiting;
  double longest_wait_ms = 0;
  size_t sent = 0;
  const auto send = [&](size_t bytes, TimePoint now) {
    queue.Add(bytes, now);
    sent += bytes;
    longest_wait_ms = std::max(longest_wait_ms, queue.WaitMs(now));
  };
  TimePoint due = TimePoint::max();
  constexpr milliseconds kDuration{5'000};
  for (TimePoint now = kStart; now < kStart + kDuration;
       now += milliseconds(1)) {
    // Messages of 1 to 180 KB: on average twice the rate of the link.
    if (rng() % 36 == 0) {
      const size_t message = 1'000 + rng() % 180'000;
      for (size_t left = message; left > 0;
           left -= std::min(left, kPartBytes)) {
        const size_t bytes = std::min(left, kPartBytes);
        if (scheduler.TakeNow(bytes, now)) {
          send(bytes, now);
        } else {
          waiting[scheduler.Enqueue({.bytes = bytes, .message_left = left})] =
              bytes;
        }
      }
    }
    if (const auto next = scheduler.NextGrant(now)) {
      due = std::min(due, *next + timer_delay);
    }
    if (now < due) continue;
    due = TimePoint::max();
    for (const LinkGrant& grant : scheduler.Grant(now)) {
      send(waiting.at(grant.ticket), now);
    }
  }
  CHECK(longest_wait_ms <= 50);
  // Nine tenths of the link are used.
  const std::chrono::duration<double> duration = kDuration;
  CHECK(static_cast<double>(sent) >= 0.85 * kRate * duration.count());
}

// Guards against short calls that fail because they wait behind downloads on
// the same link.
TEST_CASE("A short message goes before the rest of a long one") {
  LinkScheduler scheduler({.rate = kRate});
  while (scheduler.TakeNow(kPartBytes, kStart)) {
  }
  scheduler.Enqueue({.bytes = kPartBytes, .message_left = 500'000});
  const uint64_t short_message =
      scheduler.Enqueue({.bytes = 400, .message_left = 400});
  const auto due = scheduler.NextGrant(kStart);
  REQUIRE(due);
  CHECK(*due - kStart <= milliseconds(20));
  const auto grants = scheduler.Grant(*due);
  REQUIRE_FALSE(grants.empty());
  CHECK(grants.front().ticket == short_message);
}

TEST_CASE("A part whose deadline has passed does not use the link") {
  LinkScheduler scheduler({.rate = kRate});
  while (scheduler.TakeNow(kPartBytes, kStart)) {
  }
  const uint64_t late =
      scheduler.Enqueue({.bytes = kPartBytes,
                         .message_left = kPartBytes,
                         .deadline = kStart + milliseconds(5)});
  const uint64_t in_time =
      scheduler.Enqueue({.bytes = kPartBytes, .message_left = 2 * kPartBytes});
  const auto grants = scheduler.Grant(kStart + milliseconds(10));
  REQUIRE(grants.size() == 2);
  CHECK(grants[0].ticket == late);
  CHECK(grants[0].expired);
  CHECK(grants[1].ticket == in_time);
  CHECK_FALSE(grants[1].expired);
}

TEST_CASE("Bytes that are charged delay the parts that wait") {
  LinkScheduler scheduler({.rate = kRate, .reserved_fraction = 0});
  while (scheduler.TakeNow(kPartBytes, kStart)) {
  }
  scheduler.Enqueue({.bytes = kPartBytes, .message_left = kPartBytes});
  const auto before = *scheduler.NextGrant(kStart);
  scheduler.Charge(12'500, kStart);
  const auto after = *scheduler.NextGrant(kStart);
  CHECK(after - before >= milliseconds(9));
  CHECK(after - before <= milliseconds(11));
}

}  // namespace
}  // namespace kumquatmoor
