#include "kumquatmoor/protocol/verdict.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

TEST_CASE("A verdict survives its name") {
  for (auto verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    CHECK(ParseVerdict(VerdictName(verdict)) == verdict);
  }
  CHECK_FALSE(ParseVerdict("notrun"));
  CHECK_FALSE(ParseVerdict(""));
}

TEST_CASE("Only what cannot run twice is retried") {
  struct Case {
    Verdict verdict;
    bool idempotent;
    bool retried;
  };
  const Case cases[] = {
      {Verdict::kNotRun, true, true},     {Verdict::kNotRun, false, true},
      {Verdict::kMayHaveRun, true, true}, {Verdict::kMayHaveRun, false, false},
      {Verdict::kRan, true, false},       {Verdict::kRan, false, false},
  };
  for (const auto& c : cases) {
    INFO(VerdictName(c.verdict) << " idempotent=" << c.idempotent);
    CHECK(MayRetry(c.verdict, c.idempotent) == c.retried);
  }
}

TEST_CASE("Methods are idempotent as RFC 9110 says") {
  for (const char* method : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"}) {
    CHECK(IsIdempotent(method));
  }
  for (const char* method : {"POST", "PATCH", "CONNECT", "get", ""}) {
    CHECK_FALSE(IsIdempotent(method));
  }
}

}  // namespace
}  // namespace kumquatmoor
