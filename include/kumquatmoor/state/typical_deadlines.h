#ifndef KUMQUATMOOR_STATE_TYPICAL_DEADLINES_H_
#define KUMQUATMOOR_STATE_TYPICAL_DEADLINES_H_

// TypicalDeadlines: how long ago a caller that comes back asked first.
//
//   TypicalDeadlines deadlines;
//   auto age = deadlines.Note("pay", 3'000ms);  // 0
//   age = deadlines.Note("pay", 2'200ms);       // 800 ms
//
// A caller that was refused comes back with what is left of its deadline. Its
// latency objective began with its first attempt, and a queue that takes it for
// a new request serves it late in place of one that could still be in time.
// First attempts of a route have about the same deadline, repeated ones are
// spread below it: the usual deadline is the range that most requests fall in,
// found by the frequent-items sketch of Misra and Gries in constant memory a
// route. A request that has much less time than usual is taken for a repeated
// one. Callers with odd deadlines change nothing while they are few; where a
// route has two kinds of callers, the more impatient minority counts as
// repeated, which matters only while the backend servers are overloaded.
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
  // Routes beyond this number have no usual deadline.
  static constexpr size_t kMaxRoutes = 1'024;
  // Deadlines within this factor are counted together.
  static constexpr double kRangeFactor = 1.2;
  // Part of the usual deadline below which a request is a repeated one; above
  // it callers' own spread and a short Retry-After look alike.
  static constexpr double kMaxRetryFraction = 0.85;
  // A range is usual if its counter has reached this.
  static constexpr uint32_t kMinCount = 8;
  // Counters are halved when one reaches this, so that old habits fade.
  static constexpr uint32_t kMaxCount = 256;

  // Notes the deadline of a request and returns its age, 0 if it is not known.
  std::chrono::milliseconds RecordDeadline(const std::string& route,
                                           std::chrono::milliseconds deadline);

 private:
  struct Counter {
    int range = 0;
    uint32_t noted = 0;
    double mean_ms = 0;  // Moving average of the deadlines.
  };
  // Finds each range that more than one in nine requests falls in.
  using Sketch = std::array<Counter, 8>;

  static void Count(double deadline_ms, Sketch* sketch);

  std::map<std::string, Sketch> m_routes;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_TYPICAL_DEADLINES_H_
