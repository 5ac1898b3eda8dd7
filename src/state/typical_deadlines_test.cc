#include "kumquatmoor/state/typical_deadlines.h"

#include <catch2/catch.hpp>
#include <random>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTypical{3'000};

TEST_CASE("The age of a request is its deficit against the typical deadline") {
  TypicalDeadlines deadlines;
  CHECK(deadlines.RecordDeadline("r", milliseconds(2'400)) == milliseconds(0));
  for (int i = 0; i < 20; ++i) deadlines.RecordDeadline("r", kTypical);
  CHECK(deadlines.RecordDeadline("r", kTypical) == milliseconds(0));
  CHECK(deadlines.RecordDeadline("r", milliseconds(2'200)) ==
        milliseconds(800));
  // Within the spread of callers' deadlines.
  CHECK(deadlines.RecordDeadline("r", milliseconds(2'600)) == milliseconds(0));
  // A longer deadline than typical, and a route without a typical deadline.
  CHECK(deadlines.RecordDeadline("r", milliseconds(9'000)) == milliseconds(0));
  CHECK(deadlines.RecordDeadline("other", milliseconds(2'400)) ==
        milliseconds(0));
}

TEST_CASE("A storm of retries does not hide the typical deadline") {
  TypicalDeadlines deadlines;
  std::mt19937_64 rng(3);
  // Deadlines left at first attempts and at retries, as callers on the users'
  // machines had them; two in three requests are retries.
  std::uniform_int_distribution<int> first_deadline_ms(2'600, 3'000);
  std::uniform_int_distribution<int> retry_deadline_ms(50, 2'300);
  for (int i = 0; i < 5'000; ++i) {
    const bool first = rng() % 3 == 0;
    const milliseconds deadline(first ? first_deadline_ms(rng)
                                      : retry_deadline_ms(rng));
    const milliseconds age = deadlines.RecordDeadline("r", deadline);
    if (i < 200) continue;
    if (first) {
      CHECK(age == milliseconds(0));
    } else if (deadline < milliseconds(2'200)) {
      CHECK(age >= milliseconds(2'600) - deadline);
      CHECK(age <= milliseconds(3'000) - deadline);
    }
  }
}

TEST_CASE("A new typical deadline replaces the old one") {
  TypicalDeadlines deadlines;
  for (int i = 0; i < 10'000; ++i) deadlines.RecordDeadline("r", kTypical);
  for (int i = 0; i < 1'000; ++i)
    deadlines.RecordDeadline("r", milliseconds(1'000));
  CHECK(deadlines.RecordDeadline("r", milliseconds(700)) == milliseconds(300));
}

TEST_CASE("Routes beyond the limit have no typical deadline") {
  TypicalDeadlines deadlines;
  for (size_t i = 0; i <= TypicalDeadlines::kMaxRoutes; ++i) {
    for (int n = 0; n < 20; ++n)
      deadlines.RecordDeadline(std::to_string(i), kTypical);
  }
  CHECK(deadlines.RecordDeadline("0", milliseconds(2'000)) ==
        milliseconds(1'000));
  CHECK(deadlines.RecordDeadline(std::to_string(TypicalDeadlines::kMaxRoutes),
                                 milliseconds(2'000)) == milliseconds(0));
}

}  // namespace
}  // namespace kumquatmoor
