#include "kumquatmoor/coordination/failure_test.h"

#include <catch2/catch.hpp>
#include <vector>

namespace kumquatmoor {
namespace {

struct Report {
  const char* target;
  TrialCounts counts;
};

TEST_CASE("The target with nearly all excess failures is the outlier") {
  struct Case {
    const char* name;
    std::vector<Report> reports;
    const char* outlier;
  };
  const Case cases[] = {
      {"one of two fails", {{"a", {5, 5, 0.01}}, {"b", {0, 5, 0.01}}}, "a"},
      {"both fail", {{"a", {5, 5, 0.01}}, {"b", {5, 5, 0.01}}}, ""},
      {"the other had no request", {{"a", {5, 5, 0.01}}}, "a"},
      {"both fail at a high expected rate, one exceeds it",
       {{"a", {60, 60, 0.3}}, {"b", {18, 60, 0.3}}},
       "a"},
      {"both exceed a high expected rate",
       {{"a", {20, 20, 0.3}}, {"b", {20, 20, 0.3}}},
       ""},
  };
  for (const auto& c : cases) {
    INFO(c.name);
    FailureTest test;
    for (const auto& report : c.reports) test.Add(report.target, report.counts);
    CHECK(test.Exceeded());
    CHECK(test.OutlierTarget() == c.outlier);
  }
}

TEST_CASE("Counts by target start again when the score falls to 0") {
  FailureTest test;
  test.Add("a", {.failures = 1, .total = 1, .expected_rate = 0.01});
  REQUIRE(test.Score() > 0);
  test.Add("b", {.failures = 0, .total = 1'000, .expected_rate = 0.01});
  REQUIRE(test.Score() <= 0);
  test.Add("c", {.failures = 5, .total = 5, .expected_rate = 0.01});
  CHECK(test.Requests() == 5);
  CHECK(test.Failures() == 5);
  CHECK_FALSE(test.HasTarget("a"));
  CHECK(test.OutlierTarget() == "c");
}

}  // namespace
}  // namespace kumquatmoor
