#include "kumquatmoor/protocol/verdict.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

TEST_CASE("ParseVerdict reverses VerdictName and rejects other names") {
  for (auto verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    CHECK(ParseVerdict(VerdictName(verdict)) == verdict);
  }
  CHECK_FALSE(ParseVerdict("notrun"));
  CHECK_FALSE(ParseVerdict(""));
}

TEST_CASE(
    "MayRetry allows only retries that cannot execute a non-idempotent request "
    "twice") {
  struct Case {
    Verdict verdict;
    bool idempotent;
    bool may_retry;
  };
  const Case cases[] = {
      {Verdict::kNotRun, true, true},     {Verdict::kNotRun, false, true},
      {Verdict::kMayHaveRun, true, true}, {Verdict::kMayHaveRun, false, false},
      {Verdict::kRan, true, false},       {Verdict::kRan, false, false},
  };
  for (const auto& c : cases) {
    INFO(VerdictName(c.verdict) << " idempotent=" << c.idempotent);
    CHECK(MayRetry(c.verdict, c.idempotent) == c.may_retry);
  }
}

TEST_CASE(
    "IsIdempotent accepts the methods that RFC 9110 defines as idempotent") {
  for (const char* method : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"}) {
    CHECK(IsIdempotent(method));
  }
  for (const char* method : {"POST", "PATCH", "CONNECT", "get", ""}) {
    CHECK_FALSE(IsIdempotent(method));
  }
}

}  // namespace
}  // namespace kumquatmoor
