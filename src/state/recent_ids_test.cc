#include "kumquatmoor/state/recent_ids.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

TEST_CASE("RecentIds drops the oldest id first") {
  RecentIds ids(2);
  ids.Insert("a");
  ids.Insert("b");
  ids.Insert("b");
  CHECK(ids.Contains("a"));
  ids.Insert("c");
  CHECK_FALSE(ids.Contains("a"));
  CHECK(ids.Contains("b"));
  ids.Erase("b");
  CHECK_FALSE(ids.Contains("b"));
  CHECK(ids.Contains("c"));
}

}  // namespace
}  // namespace kumquatmoor
