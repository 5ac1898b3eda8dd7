#ifndef KUMQUATMOOR_STATE_BOOT_CLOCK_H_
#define KUMQUATMOOR_STATE_BOOT_CLOCK_H_

// BootClock: a clock that goes on while the host is suspended, which the steady
// clock does not, and that nobody sets, unlike the wall clock. Use it for the
// age of what must not be used beyond a time.
//
//   const BootTime began = BootClock::now();
//   const bool is_old = BootClock::now() - began > std::chrono::seconds(5);

#include <chrono>
#include <ctime>

namespace kumquatmoor {

struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The names below are those of the standard's clocks.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

using BootTime = BootClock::time_point;

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_BOOT_CLOCK_H_
