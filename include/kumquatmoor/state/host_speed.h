#ifndef KUMQUATMOOR_STATE_HOST_SPEED_H_
#define KUMQUATMOOR_STATE_HOST_SPEED_H_

// HostSpeed: how long work takes on a host at the moment, by what its backend
// server says in responses.
//
//   HostSpeed speed;
//   speed.OnReport(250, now);
//   auto run_time = usual_run_time * speed.Percent(now) / 100;
//   if (speed.IsSlow(now)) ...
//
// A host is slow for well under a second at a time. A report counts for a short
// time only, as there is no further one while the host gets no requests. Time
// is an argument. Not thread-safe.

#include <chrono>
#include <cstdint>
#include <optional>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

class HostSpeed {
 public:
  static constexpr uint32_t kUsualPercent = 100;
  // Run time above which a host counts as slow.
  static constexpr uint32_t kSlowPercent = 150;
  // Age up to which a report counts for expected run times.
  static constexpr std::chrono::milliseconds kMaxAge{1'000};
  // Age up to which a report counts for IsSlow(). Shorter, as a host that is
  // slow may get no request whose response would say that it no longer is.
  static constexpr std::chrono::milliseconds kMaxSlowAge{250};

  // A response of the backend server names this run time, or none.
  void OnReport(std::optional<uint32_t> percent, TimePoint now) {
    m_is_reported = percent.has_value();
    m_percent = percent.value_or(kUsualPercent);
    m_at = now;
  }
  // True if the last response named a run time.
  bool IsReported() const { return m_is_reported; }
  uint32_t Percent(TimePoint now) const {
    return now - m_at <= kMaxAge ? m_percent : kUsualPercent;
  }
  bool IsSlow(TimePoint now) const {
    return m_is_reported && m_percent > kSlowPercent &&
           now - m_at <= kMaxSlowAge;
  }

 private:
  bool m_is_reported = false;
  uint32_t m_percent = kUsualPercent;
  TimePoint m_at;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_HOST_SPEED_H_
