#ifndef KUMQUATMOOR_PROTOCOL_VERDICT_H_
#define KUMQUATMOOR_PROTOCOL_VERDICT_H_

// Verdict: may a request have run on a backend server?
//
// Each answer that a node gives carries a verdict. It decides whether the
// request can be tried again:
//
//   if (MayRetry(verdict, IsIdempotent(method))) { ... }
//
// The order matters: a later value is weaker knowledge that it did not run.
// All functions are pure and safe from any thread.

#include <optional>
#include <string_view>

namespace kumquatmoor {

enum class Verdict {
  kNotRun,      // Proved: the request was refused before it was handed over.
  kMayHaveRun,  // Handed over, and no whole answer came back.
  kRan,         // The backend server answered.
};

// The name used in the response header and in logs.
std::string_view VerdictName(Verdict verdict);

// The verdict with this name, or nothing.
std::optional<Verdict> ParseVerdict(std::string_view name);

// True for the HTTP methods that RFC 9110 defines as idempotent.
bool IsIdempotent(std::string_view method);

// True if a request that got `verdict` may be sent again.
bool MayRetry(Verdict verdict, bool idempotent);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_PROTOCOL_VERDICT_H_
