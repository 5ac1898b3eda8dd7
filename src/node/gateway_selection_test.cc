#include "kumquatmoor/node/gateway_selection.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace kumquatmoor {
namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

MemberRecord Member(const std::string& id, const std::string& zone,
                    bool without_platform) {
  MemberRecord member;
  member.set_id(id);
  member.set_zone(zone);
  member.set_incarnation(1);
  member.set_version(without_platform ? 2 : 1);
  member.set_status(ALIVE);
  member.set_without_platform(without_platform);
  return member;
}

TEST_CASE(
    "A member that cannot reach the platform is no gateway while others can") {
  MemberList members;
  for (const char* id : {"a1", "a2", "a3"}) {
    members.Join(Member(id, "a", false), kNow);
  }
  members.Join(Member("b1", "b", false), kNow);
  std::set<std::string> selected;
  // Each gateway loses the platform in turn.
  while (selected.size() < 3) {
    const auto gateways = SelectGateways(members, "a", 1);
    REQUIRE(gateways.size() == 1);
    CHECK(selected.insert(gateways.front()).second);
    members.Join(Member(gateways.front(), "a", true), kNow);
  }
  CHECK(selected == std::set<std::string>{"a1", "a2", "a3"});
  // No member reaches the platform: one is selected to continue calling it.
  CHECK(SelectGateways(members, "a", 1).size() == 1);
  CHECK(SelectGateways(members, "b", 2) == std::vector<std::string>{"b1"});
  CHECK(SelectGateways(members, "c", 1).empty());
}

}  // namespace
}  // namespace kumquatmoor
