#include "kumquatmoor/state/routes.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

MemberRecord MakeMember(const std::string& id, const std::string& service,
                        const std::string& version) {
  MemberRecord member;
  member.set_id(id);
  member.set_zone("a");
  member.set_data_address("127.0.0.1:1");
  auto* endpoint = member.add_endpoints();
  endpoint->set_service(service);
  endpoint->set_version(version);
  endpoint->set_slots(10);
  return member;
}

TEST_CASE("Shares follow the stage, and write shares lag by one stage") {
  const Batch first =
      BuildBatch({}, std::vector<TableRow>{{"s", "v1", 100}}, {}, {});
  const Batch batch = BuildBatch(
      first, std::vector<TableRow>{{"s", "v1", 0}, {"s", "v2", 100}}, {}, {});
  const std::vector<MemberRecord> members = {MakeMember("n1", "s", "v1"),
                                             MakeMember("n2", "s", "v2")};
  struct Case {
    uint32_t stage;
    bool recalled;
    double read;
    double write;
  };
  const Case cases[] = {{0, false, 0, 0},        {10, false, 0.01, 0},
                        {50, false, 0.05, 0.01}, {500, false, 0.5, 0.2},
                        {1000, false, 1, 1},     {1000, true, 0, 0},
                        {50, true, 0, 0}};
  for (const auto& c : cases) {
    INFO(c.stage << " recalled=" << c.recalled);
    MarkSet marks;
    MoveMark mark;
    mark.set_service("s");
    mark.set_move_revision(2);
    (*mark.mutable_stage_permille())["a"] = c.stage;
    if (c.recalled) mark.add_recalls()->set_version("v2");
    marks.Join(mark);
    const auto table = BuildRoutes(batch, marks, members, "a");
    const auto* version = table->Find("s")->Find("v2");
    CHECK((version == nullptr ? 0 : version->read_share) ==
          Approx(c.read).margin(1e-9));
    CHECK((version == nullptr ? 0 : version->write_share) ==
          Approx(c.write).margin(1e-9));
    CHECK(table->recalled.count({"s", "v2"}) == (c.recalled ? 1 : 0));
    // Zone b has not begun the move.
    const auto other = BuildRoutes(batch, marks, members, "b");
    CHECK(other->Find("s")->Find("v2") == nullptr);
  }
}

TEST_CASE("An excluded target gets no requests until its zone has settled") {
  const Batch first =
      BuildBatch({}, std::vector<TableRow>{{"s", "v1", 100}}, {}, {});
  const Batch batch = BuildBatch(
      first, std::vector<TableRow>{{"s", "v1", 0}, {"s", "v2", 100}}, {}, {});
  const std::vector<MemberRecord> members = {
      MakeMember("n1", "s", "v1"), MakeMember("n2", "s", "v2"),
      MakeMember("n3", "s", "v2"), MakeMember("n4", "s", "v2")};
  struct Case {
    std::vector<std::string> excluded;
    bool settled;
    std::vector<std::string> targets;  // Of v2.
  };
  const Case cases[] = {{{}, false, {"n2", "n3", "n4"}},
                        {{"n3"}, false, {"n2", "n4"}},
                        {{"n1", "n3"}, false, {"n2", "n4"}},
                        {{"n3"}, true, {"n2", "n3", "n4"}},
                        // If all are excluded, the version is at fault.
                        {{"n2", "n3", "n4"}, false, {"n2", "n3", "n4"}}};
  for (const auto& c : cases) {
    MoveMark mark;
    mark.set_service("s");
    mark.set_move_revision(2);
    (*mark.mutable_stage_permille())["a"] = 500;
    if (c.settled) (*mark.mutable_settled())["a"] = true;
    for (const auto& id : c.excluded) mark.add_blamed(id);
    MarkSet marks;
    marks.Join(mark);
    const auto table = BuildRoutes(batch, marks, members, "a");
    std::vector<std::string> targets;
    for (const auto& target : table->Find("s")->Find("v2")->targets) {
      targets.push_back(target.member_id);
    }
    CHECK(targets == c.targets);
    // Targets of the outgoing version are never left out.
    CHECK(table->Find("s")->Find("v1")->targets.size() == 1);
  }
}

TEST_CASE("A canary version is packed in the pilot zone until it has settled") {
  const Batch first =
      BuildBatch({}, std::vector<TableRow>{{"s", "v1", 100}}, {}, {});
  const Batch batch = BuildBatch(
      first, std::vector<TableRow>{{"s", "v1", 0}, {"s", "v2", 100}}, {}, {});
  const std::vector<MemberRecord> members = {MakeMember("n1", "s", "v1"),
                                             MakeMember("n2", "s", "v2")};
  struct Case {
    uint32_t own_stage;
    uint32_t other_stage;
    bool settled;
    bool packed;
  };
  const Case cases[] = {
      // A zone that is one stage ahead is not the pilot: zones reach a stage
      // at different times.
      {50, 50, false, false},    {200, 50, false, false},
      {500, 50, false, true},    {1000, 50, false, true},
      {1000, 50, true, false},   {50, 1000, false, false},
      {1000, 1000, false, false}};
  for (const auto& c : cases) {
    INFO(c.own_stage << " beside " << c.other_stage);
    MoveMark mark;
    mark.set_service("s");
    mark.set_move_revision(2);
    (*mark.mutable_stage_permille())["a"] = c.own_stage;
    (*mark.mutable_stage_permille())["b"] = c.other_stage;
    if (c.settled) (*mark.mutable_settled())["a"] = true;
    MarkSet marks;
    marks.Join(mark);
    const auto table = BuildRoutes(batch, marks, members, "a");
    CHECK(table->Find("s")->Find("v2")->packed == c.packed);
    const VersionRoutes* old_version = table->Find("s")->Find("v1");
    if (old_version != nullptr) CHECK_FALSE(old_version->packed);
  }
}

TEST_CASE("No route names a service or version without a live target") {
  std::mt19937_64 rng(4);
  for (int round = 0; round < 500; ++round) {
    std::vector<TableRow> rows;
    for (int s = 0; s < 3; ++s) {
      const auto weight = static_cast<uint32_t>(rng() % 101);
      const std::string service = "s" + std::to_string(s);
      rows.push_back({service, "v1", weight});
      rows.push_back({service, "v2", kFullWeight - weight});
    }
    const Batch batch = BuildBatch({}, rows, {}, {});
    std::vector<MemberRecord> members;
    std::set<std::string> live;
    for (int i = 0; i < 6; ++i) {
      const std::string service = "s" + std::to_string(rng() % 4);
      const std::string version = "v" + std::to_string(rng() % 4);
      MemberRecord member =
          MakeMember("n" + std::to_string(i), service, version);
      member.set_status(static_cast<MemberStatus>(rng() % 4));
      member.mutable_endpoints(0)->set_draining(rng() % 3 == 0);
      if (member.status() == ALIVE && !member.endpoints(0).draining()) {
        live.insert(service + version + member.id());
      }
      members.push_back(member);
    }
    const auto table = BuildRoutes(batch, {}, members, "a");
    for (const auto& [name, service] : table->services) {
      CHECK(FindService(batch, name) != nullptr);
      CHECK_FALSE(service->versions.empty());
      for (const auto& version : service->versions) {
        CHECK_FALSE(version.targets.empty());
        for (const auto& target : version.targets) {
          CHECK(live.count(name + version.version + target.member_id) == 1);
        }
      }
    }
  }
}

TEST_CASE("The next and the previous stage stay within the list") {
  CHECK(NextStage(0) == 10);
  CHECK(NextStage(10) == 50);
  CHECK(NextStage(kFullStage) == kFullStage);
  CHECK(PreviousStage(10) == 0);
  CHECK(PreviousStage(500) == 200);
  CHECK(PreviousStage(0) == 0);
}

}  // namespace
}  // namespace kumquatmoor
