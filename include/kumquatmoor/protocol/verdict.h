#ifndef KUMQUATMOOR_PROTOCOL_VERDICT_H_
#define KUMQUATMOOR_PROTOCOL_VERDICT_H_

// Verdict states whether a backend server executed a request.
//
// Each response that a node sends carries a verdict in a header. The verdict
// and the idempotence of the request decide whether a retry is safe:
//
//   if (MayRetry(verdict, IsIdempotent(method))) { ... }
//
// All functions are pure and safe to call from any thread.

#include <optional>
#include <string_view>

namespace kumquatmoor {

// The values are ordered by decreasing certainty that the request was not
// executed.
enum class Verdict {
  kNotRun,      // Proven: the request was refused, or never delivered.
  kMayHaveRun,  // Sent, but no complete response was received.
  kRan,         // The backend server responded.
};

// Returns the name used in the response header and in logs.
std::string_view VerdictName(Verdict verdict);

// Parses a name that VerdictName returns. The comparison is case-sensitive.
// Returns nullopt if there is no such verdict.
std::optional<Verdict> ParseVerdict(std::string_view name);

// Returns true for the HTTP methods that RFC 9110 defines as idempotent.
bool IsIdempotent(std::string_view method);

// Returns true if a request whose attempt ended with `verdict` may be sent
// again: always after kNotRun, only if it is idempotent after kMayHaveRun, and
// never after kRan.
bool MayRetry(Verdict verdict, bool idempotent);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_PROTOCOL_VERDICT_H_
