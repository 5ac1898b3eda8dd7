#include "kumquatmoor/protocol/verdict.h"

#include <algorithm>
#include <array>

namespace kumquatmoor {

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "NotRun";
    case Verdict::kMayHaveRun:
      return "MayHaveRun";
    case Verdict::kRan:
      return "Ran";
  }
  return "MayHaveRun";
}

std::optional<Verdict> ParseVerdict(std::string_view name) {
  for (auto verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    if (name == VerdictName(verdict)) return verdict;
  }
  return std::nullopt;
}

bool IsIdempotent(std::string_view method) {
  static constexpr std::array<std::string_view, 6> kIdempotent = {
      "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
  return std::find(kIdempotent.begin(), kIdempotent.end(), method) !=
         kIdempotent.end();
}

bool MayRetry(Verdict verdict, bool idempotent) {
  if (verdict == Verdict::kNotRun) return true;
  return verdict == Verdict::kMayHaveRun && idempotent;
}

}  // namespace kumquatmoor
