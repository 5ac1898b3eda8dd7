#ifndef KUMQUATMOOR_SRC_NODE_UNIX_TIME_H_
#define KUMQUATMOOR_SRC_NODE_UNIX_TIME_H_

#include <chrono>
#include <cstdint>

namespace kumquatmoor {

// The time of day in Unix milliseconds. It may jump; see ObservedClock.
inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_UNIX_TIME_H_
