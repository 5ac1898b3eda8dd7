#ifndef KUMQUATMOOR_PROTOCOL_ATTEMPT_KIND_H_
#define KUMQUATMOOR_PROTOCOL_ATTEMPT_KIND_H_

// AttemptKind states whether a request adds to the load that the callers of a
// service cause by themselves.
//
// A node sends it along with each request to another node:
//
//   head.set(headers::kAttemptKind, AttemptKindName(AttemptKind::kRetry));
//
// All functions are pure and safe to call from any thread.

#include <optional>
#include <string_view>

namespace kumquatmoor {

enum class AttemptKind {
  kFirst,        // No earlier attempt can have reached a backend server.
  kRetry,        // An earlier attempt may have reached a backend server.
  kCallOfRetry,  // A call that a backend server makes while it runs a retry.
};

// Returns the name used in the header and in metrics.
std::string_view AttemptKindName(AttemptKind kind);

// Parses a name that AttemptKindName returns. The comparison is case-sensitive.
// Returns nullopt if there is no such kind.
std::optional<AttemptKind> ParseAttemptKind(std::string_view name);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_PROTOCOL_ATTEMPT_KIND_H_
