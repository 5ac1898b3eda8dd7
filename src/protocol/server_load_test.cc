#include "kumquatmoor/protocol/server_load.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

// Guards against a malformed header that is taken for a fast or a stopped host.
TEST_CASE("ParseServerLoad accepts three or four figures") {
  const auto load = ParseServerLoad("3, 1,8,250");
  REQUIRE(load);
  CHECK(load->running == 3);
  CHECK(load->waiting == 1);
  CHECK(load->slots == 8);
  CHECK(load->run_time_percent == 250);
  REQUIRE(ParseServerLoad("3,1,8"));
  CHECK_FALSE(ParseServerLoad("3,1,8")->run_time_percent);
  for (const char* text :
       {"", "3", "3,1", "3,1,8,", "3,1,8,0", "3,1,8,-5", "3,1,8,nan",
        "3,1,8,1e9", "3,1,8,100,1", "-3,1,8,100", "3/8", "3,1,x,100",
        "99999999999,1,8"}) {
    INFO(text);
    CHECK_FALSE(ParseServerLoad(text));
  }
}

}  // namespace
}  // namespace kumquatmoor
