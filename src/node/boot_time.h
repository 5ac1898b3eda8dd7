#ifndef KUMQUATMOOR_SRC_NODE_BOOT_TIME_H_
#define KUMQUATMOOR_SRC_NODE_BOOT_TIME_H_

// The time since the host was started, with the time for which it was
// suspended. The steady clock stands still meanwhile. Not comparable with
// Clock::now().

#include <chrono>
#include <ctime>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

inline TimePoint BootTime() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_BOOT_TIME_H_
