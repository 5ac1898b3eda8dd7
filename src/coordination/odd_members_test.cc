// Member records that another writer left in the member directory: none of them
// may replace the record of a node that is alive.

#include <catch2/catch.hpp>

#include "kumquatmoor/coordination/member_directory.h"
#include "kumquatmoor/coordination/replica.h"

namespace kumquatmoor {
namespace {

constexpr TimePoint kNow = TimePoint() + std::chrono::hours(1);
constexpr int64_t kStartedMs = 1'700'000'000'000;

MemberRecord MakeMember(const std::string& id, const std::string& address,
                        int64_t incarnation) {
  MemberRecord member;
  member.set_id(id);
  member.set_zone("z");
  member.set_control_address(address);
  member.set_data_address(address);
  member.set_incarnation(incarnation);
  return member;
}

Replica MakeReplica(const std::string& id, const std::string& address) {
  return {{.id = id,
           .zone = "z",
           .control_address = address,
           .data_address = address,
           .started_ms = kStartedMs},
          kNow};
}

// Guards against a process that crashes during its shutdown: with no other
// member known, there is nobody to probe after the node has left.
TEST_CASE("A node without other members can leave", "[odd]") {
  Replica node = MakeReplica("a", "127.0.0.1:1");
  TimePoint now = kNow;
  node.Leave(now);
  for (int tick = 0; tick < 100; ++tick) {
    now += std::chrono::milliseconds(50);
    node.Tick(now);
  }
  CHECK(node.Members().Alive().empty());
}

// Guards against an entry with a number that is too large, which hides the
// live node of that id from all others until the entry's tombstone expires.
TEST_CASE("A directory entry never outranks the record of a live node",
          "[odd]") {
  for (const int64_t incarnation :
       {int64_t{0}, kStartedMs - 1, kStartedMs, kStartedMs + 1,
        kHighestIncarnation - 1, kHighestIncarnation}) {
    INFO("incarnation " << incarnation);
    Replica reader = MakeReplica("a", "127.0.0.1:1");
    Replica node = MakeReplica("b", "127.0.0.1:2");
    reader.AddDirectoryMember(MakeMember("b", "127.0.0.9:9", incarnation),
                              kNow);
    // Each learns what the other holds of the node.
    Datagram claim;
    claim.set_kind(Datagram::PUSH);
    claim.set_from("a");
    *claim.add_rumours()->mutable_member() = *reader.Members().Find("b");
    node.OnDatagram(claim, kNow);
    Datagram answer;
    answer.set_kind(Datagram::PUSH);
    answer.set_from("b");
    *answer.add_rumours()->mutable_member() = node.Self();
    reader.OnDatagram(answer, kNow);
    REQUIRE(reader.Members().Find("b") != nullptr);
    CHECK(reader.Members().Find("b")->control_address() == "127.0.0.1:2");
    CHECK(reader.Members().Find("b")->status() == ALIVE);
  }
}

}  // namespace
}  // namespace kumquatmoor
