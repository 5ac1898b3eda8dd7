#include "kumquatmoor/protocol/backend_notice.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

TEST_CASE("ParseRate accepts decimal numbers that can be a rate") {
  CHECK(ParseRate("5.9") == 5.9);
  CHECK(ParseRate("0") == 0);
  CHECK(ParseRate("120") == 120);
  for (const char* text : {"", "-1", "nan", "inf", "5.9 ", "5,9", "x"}) {
    INFO(text);
    CHECK_FALSE(ParseRate(text));
  }
}

// Guards against a number whose conversion is undefined or negative, after
// which a full target gets requests before the time that it asked for.
TEST_CASE("ParseRetryAfter bounds every text", "[odd]") {
  using std::chrono::milliseconds;
  CHECK(ParseRetryAfter("0.25") == milliseconds(250));
  CHECK(ParseRetryAfter("2") == milliseconds(2'000));
  for (const char* text : {"", "-1", "-1e18", "nan", "inf", "-inf", "1e400",
                           "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    INFO(text);
    CHECK(ParseRetryAfter(text) == milliseconds(0));
  }
  for (const char* text : {"3600", "1e18", "1e300", "99999999999999999999"}) {
    INFO(text);
    CHECK(ParseRetryAfter(text) == kMaxParsedRetryAfter);
  }
}

}  // namespace
}  // namespace kumquatmoor
