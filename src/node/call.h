#ifndef KUMQUATMOOR_SRC_NODE_CALL_H_
#define KUMQUATMOOR_SRC_NODE_CALL_H_

// Call: one request as a node routes it, with the properties that follow from
// its head and its route.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/protocol/attempt_kind.h"

namespace kumquatmoor {

struct Call {
  std::string service;
  std::string version;  // Version of the selected target.
  std::string request_id;
  std::string route;  // Name of the configured route, or method and path.
  std::string key;    // Equal for repetitions of the request; see RequestKey().
  // Backend servers that crashed while they ran it, as far as another node
  // knows.
  uint32_t known_crashes = 0;
  bool idempotent = true;
  uint32_t priority = 0;
  AttemptKind attempt_kind = AttemptKind::kFirst;
  // Backend servers that the request may be sent to, one after another.
  int64_t max_attempts = 1;
  TimePoint started;
  std::chrono::milliseconds allowed_time{0};  // Until the caller's deadline.
  TimePoint objective = TimePoint::max();     // Latency objective.
  TimePoint deadline;
  bool via_link = false;               // The response goes to another host.
  std::string organisation;            // Of the caller, "" if none.
  uint32_t organisation_priority = 0;  // Goes before `priority`.
  std::string key_hash;                // Of the caller's key, "" if none.
  // A backend server makes the request while it runs another one.
  bool is_nested_call = false;
  std::string parent_route;  // Of that request, for a nested call on its host.
  // The node beside the target may refuse the request because another target is
  // probably faster.
  bool may_hand_back = false;

  // The organisation that the backend server is told. It is told none for a
  // nested call, whose organisation only counts for its share of the slots.
  std::string_view OrganisationForBackend() const {
    return is_nested_call ? std::string_view() : organisation;
  }
  AdmissionRequest ForAdmission() const {
    return {.service = service,
            .version = version,
            .request_id = request_id,
            .route = route,
            .idempotent = idempotent,
            .kind = attempt_kind,
            .priority = priority,
            .objective = objective,
            .deadline = deadline,
            .via_link = via_link,
            .organisation = organisation,
            .organisation_priority = organisation_priority,
            .is_nested_call = is_nested_call,
            .may_hand_back = may_hand_back};
  }
  // The longest time for which a pooled connection may have been idle to be
  // used for this request. A request with side effects uses only connections
  // that worked a moment ago, since it cannot be repeated if the connection
  // turns out to be dead.
  std::chrono::milliseconds MaxIdleAge() const {
    constexpr std::chrono::milliseconds kNonIdempotentMaxIdleAge{500};
    constexpr std::chrono::milliseconds kIdempotentMaxIdleAge{5'000};
    return idempotent ? kIdempotentMaxIdleAge : kNonIdempotentMaxIdleAge;
  }
  // Milliseconds until the deadline, at least 1.
  int64_t RemainingMs(TimePoint now) const {
    return std::max<int64_t>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now)
               .count());
  }
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_CALL_H_
