#include "kumquatmoor/protocol/attempt_kind.h"

namespace kumquatmoor {

std::string_view AttemptKindName(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::kFirst:
      return "first";
    case AttemptKind::kRetry:
      return "retry";
    case AttemptKind::kCallOfRetry:
      return "call_of_retry";
  }
  return "";
}

std::optional<AttemptKind> ParseAttemptKind(std::string_view name) {
  for (auto kind :
       {AttemptKind::kFirst, AttemptKind::kRetry, AttemptKind::kCallOfRetry}) {
    if (name == AttemptKindName(kind)) return kind;
  }
  return std::nullopt;
}

}  // namespace kumquatmoor
