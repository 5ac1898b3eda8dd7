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

}  // namespace
}  // namespace kumquatmoor
