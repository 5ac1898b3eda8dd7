// Misra-Gries sketch: a range that has a counter increments it. Another range
// takes over a counter that is 0; if there is none, all counters are
// decremented.

#include "kumquatmoor/state/typical_deadlines.h"

#include <algorithm>
#include <cmath>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Weight of the latest deadline in the mean of its range, which thus follows
// about the last 20 deadlines.
constexpr double kEwmaWeight = 0.05;

int RangeOf(double deadline_ms) {
  return static_cast<int>(std::log(std::max(1.0, deadline_ms)) /
                          std::log(TypicalDeadlines::kRangeFactor));
}

}  // namespace

void TypicalDeadlines::Count(double deadline_ms, Sketch* sketch) {
  const int range = RangeOf(deadline_ms);
  auto counter = std::find_if(
      sketch->begin(), sketch->end(), [&](const Counter& candidate) {
        return candidate.count > 0 && candidate.range == range;
      });
  if (counter == sketch->end()) {
    counter = std::find_if(
        sketch->begin(), sketch->end(),
        [](const Counter& candidate) { return candidate.count == 0; });
    if (counter == sketch->end()) {
      for (Counter& other : *sketch) --other.count;
      return;
    }
    *counter = {.range = range, .mean_ms = deadline_ms};
  }
  counter->mean_ms += kEwmaWeight * (deadline_ms - counter->mean_ms);
  if (++counter->count < kMaxCount) return;
  for (Counter& other : *sketch) other.count /= 2;
}

milliseconds TypicalDeadlines::RecordDeadline(const std::string& route,
                                              milliseconds deadline) {
  if (m_routes.size() >= kMaxRoutes && m_routes.count(route) == 0) {
    return milliseconds(0);
  }
  const auto deadline_ms = static_cast<double>(deadline.count());
  Sketch& sketch = m_routes[route];
  Count(deadline_ms, &sketch);
  const auto typical = std::max_element(
      sketch.begin(), sketch.end(),
      [](const Counter& a, const Counter& b) { return a.count < b.count; });
  const bool known = typical->count >= kMinCount;
  if (!known || deadline_ms >= kMaxRetryFraction * typical->mean_ms) {
    return milliseconds(0);
  }
  return milliseconds(static_cast<int64_t>(typical->mean_ms - deadline_ms));
}

}  // namespace kumquatmoor
