#include "kumquatmoor/state/batch.h"

#include <catch2/catch.hpp>
#include <random>

namespace kumquatmoor {
namespace {

std::vector<TableRow> RandomRows(std::mt19937_64& rng) {
  std::vector<TableRow> rows;
  for (int s = 0; s < 4; ++s) {
    if (rng() % 4 == 0) continue;
    const auto weight = static_cast<uint32_t>(rng() % 101);
    const std::string service = "s" + std::to_string(s);
    rows.push_back({service, "v" + std::to_string(rng() % 2), weight});
    rows.push_back(
        {service, "v" + std::to_string(2 + rng() % 2), kFullWeight - weight});
  }
  return rows;
}

MoveMark MakeMark(const std::string& service, uint64_t revision,
                  uint32_t stage) {
  MoveMark mark;
  mark.set_service(service);
  mark.set_move_revision(revision);
  (*mark.mutable_stage_permille())["a"] = stage;
  return mark;
}

TEST_CASE(
    "A delta gives the next batch when applied to its base, and to no other") {
  std::mt19937_64 rng(1);
  Batch current;
  for (int i = 0; i < 300; ++i) {
    const Batch next = BuildBatch(current, RandomRows(rng), {},
                                  {.write_id = std::to_string(i), .now_ms = i});
    REQUIRE(CheckBatch(next).empty());
    const BatchDelta delta = MakeDelta(current, next);
    const auto applied = ApplyDelta(current, delta);
    REQUIRE(applied);
    CHECK(applied->SerializeAsString() == next.SerializeAsString());
    CHECK_FALSE(ApplyDelta(next, delta));
    // The digest does not match for another batch of the same revision.
    Batch fork = current;
    fork.set_author("somebody else");
    *fork.add_services() = ServiceConfig();
    CHECK_FALSE(ApplyDelta(fork, delta));
    current = next;
  }
}

// Guards against a node that keeps an organisation, a zone's evacuation or the
// need for keys since a delta does not carry its end.
TEST_CASE("A delta carries organisations and evacuated zones, and their end") {
  Batch plain;
  plain.set_revision(1);
  Batch full = plain;
  full.set_revision(2);
  for (const char* name : {"a", "b"}) {
    Organisation* organisation = full.add_organisations();
    organisation->set_name(name);
    organisation->add_key_hashes(name);
  }
  full.set_requires_keys(true);
  full.set_has_http_routes(true);
  full.add_evacuated_zones("z");
  Batch fewer = full;
  fewer.set_revision(3);
  fewer.mutable_organisations(1)->clear_key_hashes();
  fewer.mutable_organisations()->DeleteSubrange(0, 1);
  fewer.clear_evacuated_zones();
  for (const auto& [from, to] :
       {std::pair(plain, full), std::pair(full, fewer)}) {
    const auto applied = ApplyDelta(from, MakeDelta(from, to));
    REQUIRE(applied);
    CHECK(applied->SerializeAsString() == to.SerializeAsString());
    CHECK(DecisionDigest(from) != DecisionDigest(to));
  }
}

TEST_CASE("Only a service whose rows changed starts a new move") {
  const Batch first = BuildBatch(
      {}, std::vector<TableRow>{{"a", "v1", 100}, {"b", "v1", 100}}, {}, {});
  const Batch second = BuildBatch(
      first,
      std::vector<TableRow>{{"a", "v1", 100}, {"b", "v1", 0}, {"b", "v2", 100}},
      {}, {});
  CHECK(FindService(second, "a")->move_revision() == 1);
  CHECK(FindService(second, "b")->move_revision() == 2);
  CHECK_FALSE(HasMove(*FindService(second, "a")));
  CHECK(HasMove(*FindService(second, "b")));
}

// The weight before the move of `version` of service "a".
uint32_t FromWeight(const Batch& batch, const std::string& version) {
  for (const auto& row : FindService(batch, "a")->rows()) {
    if (row.version() == version) return row.from_weight();
  }
  return 0;
}

TEST_CASE("A move starts from the weights in force") {
  const Batch first =
      BuildBatch({}, std::vector<TableRow>{{"a", "v1", 100}}, {}, {});
  const Batch second = BuildBatch(
      first, std::vector<TableRow>{{"a", "v1", 0}, {"a", "v2", 100}}, {}, {});
  const std::vector<TableRow> third = {{"a", "v2", 0}, {"a", "v3", 100}};

  SECTION("the goal of the previous move, if it is complete") {
    MarkSet marks;
    marks.Join(MakeMark("a", 2, kFullStage));
    const Batch batch = BuildBatch(second, third, marks, {});
    CHECK(FromWeight(batch, "v1") == 0);
    CHECK(FromWeight(batch, "v2") == 100);
  }
  SECTION("the weights before the previous move, if it is not complete") {
    MarkSet marks;
    marks.Join(MakeMark("a", 2, 500));
    const Batch batch = BuildBatch(second, third, marks, {});
    CHECK(FromWeight(batch, "v1") == 100);
    CHECK(FromWeight(batch, "v2") == 0);
  }
  SECTION(
      "the weights before the previous move, if it was recalled at full "
      "stage") {
    MarkSet marks;
    MoveMark mark = MakeMark("a", 2, kFullStage);
    mark.add_recalls()->set_version("v2");
    marks.Join(mark);
    const Batch batch = BuildBatch(second, third, marks, {});
    CHECK(FromWeight(batch, "v1") == 100);
    CHECK(FromWeight(batch, "v2") == 0);
    // v1 was removed from the table, but a recall of v3 would restore it.
    CHECK(CheckBatch(batch).empty());
    CHECK(RowsOf(batch).size() == 2);
    CHECK(FindService(batch, "a")->rows_size() == 3);
  }
}

TEST_CASE("Each kind of damage to a batch is reported as a problem") {
  const Batch good =
      BuildBatch({}, std::vector<TableRow>{{"a", "v1", 100}}, {}, {});
  REQUIRE(CheckBatch(good).empty());
  const auto problems = [&](auto damage) {
    Batch bad = good;
    damage(&bad);
    return CheckBatch(bad).size();
  };
  CHECK(problems([](Batch* b) { b->set_revision(0); }) > 0);
  CHECK(problems([](Batch* b) {
          b->mutable_services(0)->mutable_rows(0)->set_weight(99);
        }) > 0);
  CHECK(problems([](Batch* b) {
          b->mutable_services(0)->mutable_rows(0)->set_from_weight(1);
        }) > 0);
  CHECK(problems([](Batch* b) { b->mutable_services(0)->clear_rows(); }) > 0);
  CHECK(problems([](Batch* b) { *b->add_services() = b->services(0); }) > 0);
  CHECK(problems([](Batch* b) {
          b->mutable_services(0)->set_move_revision(9);
        }) > 0);
}

}  // namespace
}  // namespace kumquatmoor
