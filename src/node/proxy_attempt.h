#ifndef KUMQUATMOOR_SRC_NODE_PROXY_ATTEMPT_H_
#define KUMQUATMOOR_SRC_NODE_PROXY_ATTEMPT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "kumquatmoor/node/proxy.h"
#include "node/call.h"
#include "node/local_runner.h"

namespace kumquatmoor {

// Bounds of the Retry-After of a refused request. The lower bound covers the
// age of load reports, the upper bound a restart.
inline constexpr std::chrono::milliseconds kMinRetryAfter{50};
inline constexpr std::chrono::milliseconds kMaxRetryAfter{1'000};

// The attempts to serve one request: totals, and the result of the last one.
struct Proxy::Attempt {
  Call call;  // With the version of the current target.
  ForwardResult result;
  std::optional<LocalRun> local;
  // Of a hedged request's attempt; null for others.
  std::shared_ptr<ForwardCancellation> cancellation;
  TimePoint started;          // Start of the current attempt.
  bool leaving = false;       // As in AdmissionResult.
  bool limited = false;       // As in AdmissionResult.
  bool retry_denied = false;  // As in AdmissionResult.
  bool link_full = false;     // As in AdmissionResult.
  bool shed = false;          // As in AdmissionResult.
  // As in AdmissionResult.
  std::optional<std::chrono::milliseconds> handed_back;
  bool blocked = false;  // As in AdmissionResult.
  bool crashed = false;  // The backend server of this attempt crashed.
  uint32_t crashes = 0;  // Backend servers that crashed, in all attempts.
  int64_t offers = 0;    // Attempts that may have arrived.
  int refusals = 0;      // Nodes that refused the request.
  int unreachable = 0;   // Nodes that could not be connected to.
  std::chrono::milliseconds retry_after{0};

  // True if this attempt may have reached a backend server.
  bool MayHaveArrived() const {
    const bool outcome_unknown =
        !result.answered && result.verdict == Verdict::kMayHaveRun;
    return result.offered || outcome_unknown;
  }
  // The next attempt, with the totals of this one.
  Attempt Next() const {
    return {.call = call,
            .crashes = crashes,
            .offers = offers,
            .refusals = refusals,
            .unreachable = unreachable};
  }
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_PROXY_ATTEMPT_H_
