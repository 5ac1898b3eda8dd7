#include "kumquatmoor/state/delta_history.h"

#include <spdlog/fmt/fmt.h>

#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

// A batch with a random part of 20 services and 60 routes.
Batch RandomBatch(uint64_t revision, std::mt19937_64& rng) {
  Batch batch;
  batch.set_revision(revision);
  batch.set_author(fmt::format("author {}", revision));
  for (int i = 10; i < 30; ++i) {
    if (rng() % 4 == 0) continue;
    ServiceConfig* config = batch.add_services();
    config->set_service(fmt::format("s{}", i));
    config->set_max_connections(static_cast<uint32_t>(rng() % 3));
  }
  for (int i = 10; i < 70; ++i) {
    if (rng() % 4 == 0) continue;
    HttpRoute* route = batch.add_routes();
    route->set_name(fmt::format("r{}", i));
    route->set_timeout_ms(static_cast<int64_t>(rng() % 3));
  }
  return batch;
}

TEST_CASE("A merged delta turns each remembered batch into the latest one") {
  std::mt19937_64 rng(1);
  for (int round = 0; round < 50; ++round) {
    DeltaHistory history;
    std::vector<Batch> batches = {RandomBatch(1, rng)};
    for (uint64_t revision = 3; revision < 15; revision += 2) {
      batches.push_back(RandomBatch(revision, rng));
      const Batch& from = batches[batches.size() - 2];
      history.Add(MakeDelta(from, batches.back()), 1'000'000);
    }
    for (size_t i = 0; i + 1 < batches.size(); ++i) {
      const auto delta = history.Since(batches[i].revision());
      REQUIRE(delta);
      const auto latest = ApplyDelta(batches[i], *delta);
      REQUIRE(latest);
      CHECK(latest->SerializeAsString() == batches.back().SerializeAsString());
    }
    CHECK_FALSE(history.Since(2));
    CHECK_FALSE(history.Since(batches.back().revision()));
  }
}

TEST_CASE("The history of deltas is bounded in number and bytes") {
  std::mt19937_64 rng(1);
  DeltaHistory history;
  Batch batch = RandomBatch(1, rng);
  for (uint64_t revision = 2; revision < 100; ++revision) {
    Batch next = batch;
    next.set_revision(revision);
    history.Add(MakeDelta(batch, next), 1'000'000);
    batch = std::move(next);
  }
  CHECK(history.Since(99 - DeltaHistory::kMaxDeltas));
  CHECK_FALSE(history.Since(99 - DeltaHistory::kMaxDeltas - 1));
  Batch other = RandomBatch(100, rng);
  const BatchDelta large = MakeDelta(batch, other);
  history.Add(large, large.ByteSizeLong());
  CHECK(history.Since(99));
  CHECK_FALSE(history.Since(98));
  history.Add(MakeDelta(other, RandomBatch(101, rng)), 10);
  CHECK_FALSE(history.Since(100));
}

}  // namespace
}  // namespace kumquatmoor
