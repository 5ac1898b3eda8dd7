#include "kumquatmoor/state/marks.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace kumquatmoor {
namespace {

MoveMark RandomMark(std::mt19937_64& rng) {
  MoveMark mark;
  mark.set_service("s" + std::to_string(rng() % 2));
  mark.set_move_revision(1 + rng() % 2);
  const std::string zone = "z" + std::to_string(rng() % 2);
  switch (rng() % 4) {
    case 0:
      (*mark.mutable_stage_permille())[zone] =
          static_cast<uint32_t>(rng() % 1001);
      break;
    case 1:
      (*mark.mutable_settled())[zone] = true;
      break;
    case 2:
      mark.add_blamed("n" + std::to_string(rng() % 3));
      break;
    default:
      Recall* recall = mark.add_recalls();
      recall->set_version("v" + std::to_string(rng() % 2));
      recall->set_decided_ms(static_cast<int64_t>(rng() % 3));
      recall->set_decided_by("n" + std::to_string(rng() % 3));
  }
  return mark;
}

TEST_CASE("Marks converge to the same set in any order, late or repeated") {
  std::mt19937_64 rng(2);
  for (int round = 0; round < 300; ++round) {
    std::vector<MoveMark> marks;
    for (int i = 0; i < 8; ++i) marks.push_back(RandomMark(rng));
    MarkSet forward;
    for (const auto& mark : marks) forward.Join(mark);
    std::vector<MoveMark> repeated = marks;
    repeated.insert(repeated.end(), marks.begin(), marks.begin() + 3);
    std::shuffle(repeated.begin(), repeated.end(), rng);
    MarkSet shuffled;
    for (const auto& mark : repeated) shuffled.Join(mark);
    CHECK(forward.Hash() == shuffled.Hash());
    // Joining the marks of one set into the other gives the same set.
    MarkSet merged;
    for (const auto& mark : shuffled.All()) CHECK(merged.Join(mark));
    for (const auto& mark : forward.All()) CHECK_FALSE(merged.Join(mark));
  }
}

TEST_CASE("No join reverts what an earlier mark reported") {
  std::mt19937_64 rng(3);
  MarkSet marks;
  MoveProgress before;
  for (int i = 0; i < 500; ++i) {
    marks.Join(RandomMark(rng));
    const MoveProgress& after = marks.Progress("s0", 1);
    for (const auto& [zone, stage] : before.stage_permille) {
      CHECK(after.StageOf(zone) >= stage);
    }
    for (const auto& [version, recall] : before.recalls) {
      CHECK(after.recalls.count(version) == 1);
    }
    for (const auto& [zone, settled] : before.settled) {
      CHECK(after.settled.count(zone) == 1);
    }
    before = after;
  }
}

TEST_CASE("Pruning removes the marks of replaced moves and keeps the others") {
  MarkSet marks;
  MoveMark mark;
  mark.set_service("a");
  for (uint64_t revision : {2, 5, 9}) {
    mark.set_move_revision(revision);
    mark.clear_recalls();
    mark.add_recalls()->set_version("v");
    marks.Join(mark);
  }
  Batch batch;
  batch.set_revision(7);
  auto* service = batch.add_services();
  service->set_service("a");
  service->set_move_revision(5);
  marks.Prune(batch);
  CHECK_FALSE(marks.IsRecalled("a", 2));
  CHECK(marks.IsRecalled("a", 5));
  CHECK(marks.IsRecalled("a", 9));
  // The hash no longer contains the removed marks. Otherwise sets with equal
  // contents would have different hashes.
  batch.mutable_services(0)->set_move_revision(10);
  marks.Prune(batch);
  CHECK(marks.All().empty());
  CHECK(marks.Hash() == MarkSet().Hash());
}

}  // namespace
}  // namespace kumquatmoor
