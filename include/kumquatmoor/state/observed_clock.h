#ifndef KUMQUATMOOR_STATE_OBSERVED_CLOCK_H_
#define KUMQUATMOOR_STATE_OBSERVED_CLOCK_H_

// ObservedClock: a clock that stands still while its process is paused. Use it
// to measure for how long something has been watched: time in which a process
// did not run is no time without a finding.
//
//   ObservedClock clock(now);
//   // On each tick:
//   TimePoint observed = clock.Advance(now);
//
// A time between two ticks that is longer than kMaxTickInterval counts as a
// pause. What happened in it is known at the earliest at the tick after it. Not
// thread-safe.

#include <chrono>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

class ObservedClock {
 public:
  static constexpr std::chrono::milliseconds kMaxTickInterval{1'000};

  explicit ObservedClock(TimePoint now) : m_observed(now), m_last_tick(now) {}

  // Returns the observed time at `now`, which is not after `now`.
  TimePoint Advance(TimePoint now) {
    const auto elapsed = now - m_last_tick;
    m_last_tick = now;
    if (elapsed <= kMaxTickInterval) m_observed += elapsed;
    return m_observed;
  }

 private:
  TimePoint m_observed;
  TimePoint m_last_tick;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_OBSERVED_CLOCK_H_
