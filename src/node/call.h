#ifndef KUMQUATMOOR_SRC_NODE_CALL_H_
#define KUMQUATMOOR_SRC_NODE_CALL_H_

// What a node knows of one request from its head and its route.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include "kumquatmoor/node/admission.h"

namespace kumquatmoor {

struct Call {
  std::string service;
  std::string version;  // Of the target that was chosen.
  std::string request_id;
  std::string route;  // Name in the configuration, or method and path.
  bool idempotent = true;
  uint32_t priority = 0;
  int64_t max_attempts = 1;  // Targets that it may be sent to.
  TimePoint started;
  std::chrono::milliseconds asked{0};  // Time that the caller allows.
  TimePoint objective = TimePoint::max();
  TimePoint deadline;

  AdmissionRequest ForAdmission() const {
    return {.service = service,
            .version = version,
            .request_id = request_id,
            .route = route,
            .idempotent = idempotent,
            .priority = priority,
            .objective = objective,
            .deadline = deadline};
  }
  // A request with side effects uses only connections that just worked, since
  // it cannot be repeated when one has gone silent.
  std::chrono::milliseconds MaxIdleAge() const {
    constexpr std::chrono::milliseconds kNonIdempotentMaxIdleAge{500};
    constexpr std::chrono::milliseconds kIdempotentMaxIdleAge{5'000};
    return idempotent ? kIdempotentMaxIdleAge : kNonIdempotentMaxIdleAge;
  }
  // Milliseconds left, at least 1.
  int64_t RemainingMs(TimePoint now) const {
    return std::max<int64_t>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now)
               .count());
  }
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_CALL_H_
