#ifndef KUMQUATMOOR_STATE_TYPICAL_DEADLINES_H_
#define KUMQUATMOOR_STATE_TYPICAL_DEADLINES_H_

// TypicalDeadlines: estimates how long ago the first attempt of a request was,
// from the time that is left until its deadline.
//
//   TypicalDeadlines deadlines;
//   auto age = deadlines.RecordDeadline("pay", 3'000ms);  // 0
//   // After some more requests with about the same deadline:
//   age = deadlines.RecordDeadline("pay", 2'200ms);  // 800 ms
//
// A caller that was refused retries with the rest of its deadline. Its latency
// objective began with its first attempt. A queue that takes the retry for a
// new request would serve it late, in place of a request that could still be in
// time.
//
// First attempts of a route have about the same deadline, and retries are
// spread below it. The typical deadline of a route is the range of deadlines
// with the most requests, found by the Misra-Gries frequent-items sketch in
// constant memory per route. A request with much less time than that is taken
// for a retry. A few callers with unusual deadlines do not change the result.
// If a route has two kinds of callers, the minority with the shorter deadline
// is taken for retries, which matters only while the backend servers are
// overloaded.
//
// Not thread-safe; owned by the proxy thread.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace kumquatmoor {

class TypicalDeadlines {
 public:
  // Maximum number of routes with a typical deadline.
  static constexpr size_t kMaxRoutes = 1'024;
  // Deadlines within this factor are counted together.
  static constexpr double kRangeFactor = 1.2;
  // A request with less than this fraction of the typical deadline is a retry.
  // Above it, a retry after a short Retry-After cannot be told from the normal
  // spread of callers' deadlines.
  static constexpr double kMaxRetryFraction = 0.85;
  // A range is typical once its counter has reached this.
  static constexpr uint32_t kMinCount = 8;
  // All counters are halved when one reaches this, so that the sketch follows
  // changes of callers' deadlines.
  static constexpr uint32_t kMaxCount = 256;

  // Records the time left until the deadline of a request. Returns the age of
  // the request: the time since its first attempt, 0 if it is a first attempt
  // or if the typical deadline of the route is not known yet.
  std::chrono::milliseconds RecordDeadline(const std::string& route,
                                           std::chrono::milliseconds deadline);

 private:
  struct Counter {
    int range = 0;       // Logarithm of the deadline to base kRangeFactor.
    uint32_t count = 0;  // 0: the counter is free.
    double mean_ms = 0;  // Moving average of the deadlines.
  };
  // k counters find each range with more than 1 / (k + 1) of the requests: one
  // in nine.
  using Sketch = std::array<Counter, 8>;

  static void Count(double deadline_ms, Sketch* sketch);

  std::map<std::string, Sketch> m_routes;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_TYPICAL_DEADLINES_H_
