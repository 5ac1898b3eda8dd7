#ifndef KUMQUATMOOR_STATE_COLD_BACKEND_H_
#define KUMQUATMOOR_STATE_COLD_BACKEND_H_

// Cold backend servers: when a backend server is cold, and how many requests it
// gets meanwhile.
//
//   ColdPhase phase;                       // Of one backend server.
//   phase.OnProcess(now, milliseconds(0));  // Its first announcement.
//   phase.OnReport(now, cold_left);         // Each announcement.
//   phase.OnUnknown(now);                   // It crashed.
//   const ColdStatus status = phase.Status({.rate = 20, .start = 30s});
//
//   ColdLimit limit;  // Where requests are admitted.
//   limit.OnStatus(status, now);
//   if (!limit.Take(now)) return Refuse(limit.WaitTime(now));
//
// A backend server is cold for as long as it reports, for a fixed time from the
// first announcement of its process, and while its state is unknown: from a
// failed connection, a crash or the end of an evacuation until a later report.
//
// Time is an argument. Not thread-safe.

#include <chrono>
#include <optional>
#include <string>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

// The operators' settings of a service.
struct ColdSettings {
  double rate = 0;  // Requests per second of a cold backend server, 0: any.
  std::chrono::milliseconds start{0};  // Duration of a process's cold start.
  std::string health_path;  // Of the health check, "" if there is none.
  bool operator==(const ColdSettings&) const = default;
};

// What is known of one backend server.
struct ColdStatus {
  double rate = 0;        // Requests per second while it is cold, 0: any.
  TimePoint until;        // End of its cold phase; TimePoint::max() if unknown.
  TimePoint reported_at;  // Its last report.

  bool IsCold(TimePoint now) const { return rate > 0 && now < until; }
  bool operator==(const ColdStatus&) const = default;
};

// The cold phase of a backend server, by its announcements.
class ColdPhase {
 public:
  // The first announcement of a process that started `age` before.
  void OnProcess(TimePoint now, std::chrono::milliseconds age);
  // The backend server reports how much longer it is cold.
  void OnReport(TimePoint now, std::chrono::milliseconds cold_left);
  // Its state is unknown since `at`, unless it has reported since.
  void OnUnknown(TimePoint at);

  ColdStatus Status(const ColdSettings& settings) const;

 private:
  TimePoint m_started;
  TimePoint m_reported_until;
  TimePoint m_reported_at;
  bool m_unknown = false;
};

// Limits the requests that one backend server gets while it is cold. In any
// second it gets at most 1.5 times its rate, plus those that waited.
class ColdLimit {
 public:
  // Burst of the token bucket: the requests that the rate allows in this time.
  static constexpr double kBurstSeconds = 0.5;
  // Requests with a token that may wait for a slot of a cold backend server. A
  // longer queue could send more than the rate allows once slots become free.
  static constexpr size_t kMaxWaiting = 4;

  // Returns true if a cold phase has begun. The bucket is empty then, as the
  // requests of the last moment are not counted.
  bool OnStatus(const ColdStatus& status, TimePoint now);
  // The state is unknown from `at` until a status with a later report. Returns
  // true if it was known before.
  bool OnUnknown(TimePoint at);

  bool IsCold(TimePoint now) const;
  // Takes a token. Returns false if the backend server is cold and there is
  // none.
  bool Take(TimePoint now);
  // Puts back the token of a request that was not sent.
  void Return();
  // The time until a token is available.
  std::chrono::milliseconds WaitTime(TimePoint now);

 private:
  void Empty(TimePoint now);

  ColdStatus m_status;
  std::optional<TimePoint> m_unknown_since;
  TokenBucket m_bucket{{}};
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_COLD_BACKEND_H_
