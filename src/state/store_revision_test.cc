#include "kumquatmoor/state/store_revision.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace kumquatmoor {
namespace {

TEST_CASE("A revision holds the generation and the store's revision") {
  CHECK(MakeRevision(0, 7) == 7);
  const uint64_t revision = MakeRevision(3, 1'234'567);
  CHECK(GenerationOf(revision) == 3);
  CHECK(StoreRevisionOf(revision) == 1'234'567);
  CHECK(revision > MakeRevision(2, kMaxStoreRevision));
  CHECK(MakeRevision(kMaxGeneration + 5, kMaxStoreRevision + 5) == UINT64_MAX);
  CHECK(FormatRevision(7) == "7");
  CHECK(FormatRevision(MakeRevision(1, 7)) == "1/7");
}

TEST_CASE("The stamps of a batch and of the messages that describe it agree") {
  const BatchStamp stamp{
      .revision = MakeRevision(1, 7), .config_version = 5, .carried_weight = 2};
  const auto fill = [&](auto* message) {
    message->set_revision(stamp.revision);
    message->set_config_version(stamp.config_version);
    message->set_carried_weight(stamp.carried_weight);
  };
  Batch batch;
  fill(&batch);
  CHECK(StampOf(batch) == stamp);
  BatchDelta delta;
  fill(&delta);
  CHECK(StampOf(delta) == stamp);
  Digest digest;
  fill(&digest);
  CHECK(StampOf(digest) == stamp);
  SyncRequest request;
  request.set_have_revision(stamp.revision);
  request.set_config_version(stamp.config_version);
  request.set_carried_weight(stamp.carried_weight);
  CHECK(StampOf(request) == stamp);
}

TEST_CASE("Batches of one generation are ordered by their revision alone") {
  CHECK(IsNewer({.revision = 8, .config_version = 1},
                {.revision = 7, .config_version = 9}));
  CHECK_FALSE(IsNewer({.revision = 7}, {.revision = 7}));
  CHECK(IsNewer({.revision = 7, .carried_weight = 1}, {.revision = 7}));
  CHECK_FALSE(IsHeldBack({.revision = 7}, {.revision = 8}));
}

// Guards against a configuration that is replaced by that of an older copy of
// the store, and against one that stays in force after the operators have
// written theirs again.
TEST_CASE("Batches of two generations are ordered by the operators' versions") {
  const BatchStamp in_force{.revision = 100, .config_version = 7};
  const BatchStamp copied{.revision = MakeRevision(1, 90), .config_version = 5};
  const BatchStamp rewritten{.revision = MakeRevision(1, 95),
                             .config_version = 7};
  CHECK_FALSE(IsNewer(copied, in_force));
  CHECK(IsNewer(in_force, copied));
  CHECK(IsHeldBack(copied, in_force));
  CHECK(IsNewer(rewritten, in_force));
  CHECK(IsNewer(rewritten, copied));
  CHECK_FALSE(IsHeldBack(rewritten, in_force));
  // A version that is not known does not decide.
  CHECK(IsNewer({.revision = MakeRevision(1, 1)}, in_force));
}

// Guards against nodes that replace batches in a circle and never agree.
TEST_CASE("The order of batches is total while the operators' versions rise") {
  std::vector<BatchStamp> stamps;
  for (uint64_t generation = 0; generation < 3; ++generation) {
    for (uint64_t version = 1; version < 5; ++version) {
      for (uint32_t carried = 0; carried < 2; ++carried) {
        stamps.push_back({.revision = MakeRevision(
                              generation, 10 * version + 7 - 3 * generation),
                          .config_version = version,
                          .carried_weight = carried});
      }
    }
  }
  for (const auto& a : stamps) {
    CHECK_FALSE(IsNewer(a, a));
    for (const auto& b : stamps) {
      if (!(a == b)) CHECK(IsNewer(a, b) != IsNewer(b, a));
      for (const auto& c : stamps) {
        if (IsNewer(a, b) && IsNewer(b, c)) CHECK(IsNewer(a, c));
      }
    }
  }
}

}  // namespace
}  // namespace kumquatmoor
