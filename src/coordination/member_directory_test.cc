#include "kumquatmoor/coordination/member_directory.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

MemberRecord Member(const std::string& id, const std::string& zone,
                    MemberStatus status = ALIVE) {
  MemberRecord member;
  member.set_id(id);
  member.set_zone(zone);
  member.set_control_address("127.0.0.1:1");
  member.set_data_address("127.0.0.1:2");
  member.set_incarnation(1);
  member.set_status(status);
  return member;
}

DirectoryEntry Entry(const std::string& id, const std::string& zone) {
  return {.key = DirectoryKey(id), .version = 7, .member = Member(id, zone)};
}

TEST_CASE("A zone keeps three entries and removes those of dead members") {
  struct Case {
    const char* name;
    std::vector<DirectoryEntry> entries;
    bool removes_stale;
    bool write_self;
    size_t removed;
  };
  const Case cases[] = {
      {"empty", {}, false, true, 0},
      {"three entries of unknown members",
       {Entry("x", "a"), Entry("y", "a"), Entry("z", "a")},
       true,
       false,
       0},
      {"entries of another zone do not count",
       {Entry("x", "b"), Entry("y", "b"), Entry("z", "b")},
       true,
       true,
       0},
      {"entries of dead members do not count",
       {Entry("dead", "a"), Entry("y", "a"), Entry("z", "a")},
       true,
       true,
       1},
      {"only one node of a zone removes entries",
       {Entry("dead", "a"), Entry("y", "a"), Entry("z", "a")},
       false,
       true,
       0},
      {"own entry is present", {Entry("self", "a")}, true, false, 0},
  };
  MemberList members;
  members.Join(Member("dead", "a"), {});
  members.Join(Member("dead", "a", DEAD), {});
  for (const auto& c : cases) {
    INFO(c.name);
    const auto plan =
        PlanDirectory(c.entries, members, Member("self", "a"), c.removes_stale);
    CHECK(plan.write_self == c.write_self);
    CHECK(plan.remove.size() == c.removed);
  }
}

TEST_CASE("An own entry with another address is overwritten") {
  DirectoryEntry old = Entry("self", "a");
  old.member.set_control_address("127.0.0.9:9");
  const auto plan = PlanDirectory(std::vector<DirectoryEntry>{old}, {},
                                  Member("self", "a"), false);
  CHECK(plan.write_self);
  CHECK(plan.self_version == 7);
}

}  // namespace
}  // namespace kumquatmoor
