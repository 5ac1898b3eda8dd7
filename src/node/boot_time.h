#ifndef KUMQUATMOOR_SRC_NODE_BOOT_TIME_H_
#define KUMQUATMOOR_SRC_NODE_BOOT_TIME_H_

// The time of BootClock for decisions that take a TimePoint. Not comparable
// with Clock::now().

#include "kumquatmoor/state/boot_clock.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

inline TimePoint BootTimePoint() {
  return TimePoint(BootClock::now().time_since_epoch());
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_BOOT_TIME_H_
