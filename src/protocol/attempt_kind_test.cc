#include "kumquatmoor/protocol/attempt_kind.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

TEST_CASE("ParseAttemptKind reverses AttemptKindName and rejects other names") {
  for (auto kind :
       {AttemptKind::kFirst, AttemptKind::kRetry, AttemptKind::kCallOfRetry}) {
    CHECK(ParseAttemptKind(AttemptKindName(kind)) == kind);
  }
  CHECK_FALSE(ParseAttemptKind("Retry"));
  CHECK_FALSE(ParseAttemptKind(""));
}

}  // namespace
}  // namespace kumquatmoor
