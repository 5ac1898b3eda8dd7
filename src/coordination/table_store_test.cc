// FakePlatform is an in-memory platform that fails calls before or after they
// take effect. The expected table is that of the accepted writes in their
// order.

#include "kumquatmoor/coordination/table_store.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <functional>
#include <map>
#include <random>

#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

class FakePlatform : public Platform {
 public:
  // Called before each write takes effect, so that a test can interleave
  // another one.
  std::function<void(const std::string& key)> before_swap;
  double lose_before = 0;  // Probability that a call does not arrive.
  double lose_after = 0;   // Probability that the response to a call is lost.
  // The response to the next write of this key is lost.
  std::string lose_next_swap_of;
  std::mt19937_64 rng{1};
  std::map<std::string, PlatformEntry> values;

  Result<PlatformEntry> Get(const std::string& key) override {
    if (Chance(lose_before + lose_after)) {
      return Fail(FailureCode::kUnknown, "lost");
    }
    return values[key];
  }
  Result<uint64_t> CompareAndSwap(const std::string& key, uint64_t expected,
                                  const std::string& value) override {
    if (before_swap) before_swap(key);
    if (Chance(lose_before)) return Fail(FailureCode::kUnknown, "lost");
    PlatformEntry& entry = values[key];
    const bool matches = entry.version == expected;
    if (matches) entry = {.value = value, .version = ++m_version};
    const bool lose = Chance(lose_after) || key == lose_next_swap_of;
    if (key == lose_next_swap_of) lose_next_swap_of.clear();
    if (lose) return Fail(FailureCode::kUnknown, "lost");
    if (!matches) return Fail(FailureCode::kConflict, "another version");
    return entry.version;
  }
  Result<PlatformItems> List(const std::string& prefix) override {
    PlatformItems items{.revision = m_version};
    for (const auto& [key, entry] : values) {
      if (key.starts_with(prefix)) items.items.push_back({key, entry});
    }
    return items;
  }
  Result<PlatformItems> Watch(const std::string& prefix, uint64_t,
                              std::chrono::milliseconds) override {
    return List(prefix);
  }
  Result<bool> Delete(const std::string& key) override {
    return values.erase(key) > 0;
  }

 private:
  bool Chance(double part) {
    return std::uniform_real_distribution<double>(0, 1)(rng) < part;
  }
  uint64_t m_version = 0;
};

// A mock for tests that expect or forbid particular calls.
class MockPlatform : public Platform {
 public:
  MAKE_MOCK1(Get, Result<PlatformEntry>(const std::string&), override);
  MAKE_MOCK3(CompareAndSwap,
             Result<uint64_t>(const std::string&, uint64_t, const std::string&),
             override);
  MAKE_MOCK1(List, Result<PlatformItems>(const std::string&), override);
  MAKE_MOCK3(Watch,
             Result<PlatformItems>(const std::string&, uint64_t,
                                   std::chrono::milliseconds),
             override);
  MAKE_MOCK1(Delete, Result<bool>(const std::string&), override);
};

ApplyRequest MakeRequest(std::vector<TableRow> rows, std::string write_id) {
  ApplyRequest request;
  request.rows = std::move(rows);
  request.write_id = std::move(write_id);
  request.now_ms = 1'000;
  return request;
}

std::vector<TableRow> Rows(uint32_t rate_a, uint32_t rate_b) {
  return {{"a", "v1", 100, 0, rate_a}, {"b", "v1", 100, 0, rate_b}};
}

Batch ReadCurrentBatch(FakePlatform& platform) {
  TableStore store(&platform, std::chrono::milliseconds(0));
  return std::get<Batch>(Attempt([&] { return store.ReadCurrent(); }));
}

TEST_CASE("Two concurrent writes of different rows are both accepted") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  REQUIRE(std::holds_alternative<Accepted>(
      store.Apply(MakeRequest(Rows(1, 1), "w1"))));
  ApplyRequest mine = MakeRequest(Rows(2, 1), "w2");
  ApplyRequest theirs = MakeRequest(Rows(1, 3), "w3");
  mine.copied_from = 1;
  theirs.copied_from = 1;
  CHECK(std::holds_alternative<Accepted>(store.Apply(mine)));
  CHECK(std::holds_alternative<Accepted>(store.Apply(theirs)));
  const auto rows = RowsOf(ReadCurrentBatch(platform));
  CHECK(rows[0].max_rate == 2);
  CHECK(rows[1].max_rate == 3);
}

TEST_CASE("The second of two concurrent writes of one row is refused") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  store.Apply(MakeRequest(Rows(1, 1), "w1"));
  ApplyRequest mine = MakeRequest(Rows(2, 1), "w2");
  ApplyRequest theirs = MakeRequest(Rows(3, 1), "w3");
  mine.copied_from = 1;
  theirs.copied_from = 1;
  // The other write happens between the read and the swap of `theirs`.
  bool raced = false;
  platform.before_swap = [&](const std::string& key) {
    if (key != "head" || raced) return;
    raced = true;
    TableStore other(&platform, std::chrono::milliseconds(0));
    CHECK(std::holds_alternative<Accepted>(other.Apply(mine)));
  };
  const auto outcome = store.Apply(theirs);
  REQUIRE(std::holds_alternative<Refused>(outcome));
  CHECK(std::get<Refused>(outcome).problems[0].message ==
        "a/v1 was changed by somebody else: a/v1 weight=100 "
        "max_concurrent=0 max_rate=2 move_by=");
  CHECK(RowsOf(ReadCurrentBatch(platform))[0].max_rate == 2);
}

TEST_CASE("The outcome is unknown when all responses are lost") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  bool lose = true;
  platform.before_swap = [&](const std::string& key) {
    platform.lose_after = key == "head" && lose ? 1 : 0;
    if (key == "head") lose = false;
  };
  // The responses to the first swap of `head` and to all later calls are lost.
  CHECK(std::holds_alternative<OutcomeUnknown>(
      store.Apply(MakeRequest(Rows(1, 1), "w1"))));
  platform.lose_after = 0;
  platform.before_swap = nullptr;
  CHECK(ReadCurrentBatch(platform).write_id() == "w1");
  // A second request with the same write id has no further effect.
  CHECK(std::holds_alternative<NothingToDo>(
      store.Apply(MakeRequest(Rows(1, 1), "w1"))));
}

TEST_CASE("A write whose response is lost is found to be accepted") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  platform.lose_next_swap_of = "head";
  CHECK(std::holds_alternative<Accepted>(
      store.Apply(MakeRequest(Rows(1, 1), "w1"))));
  CHECK(ReadCurrentBatch(platform).write_id() == "w1");
}

TEST_CASE("A write to a platform restored from an old backup is refused") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  store.Apply(MakeRequest(Rows(1, 1), "w1"));
  ApplyRequest request = MakeRequest(Rows(2, 2), "w2");
  request.known_revision = 5;
  CHECK(std::holds_alternative<Refused>(store.Apply(request)));
  CHECK(ReadCurrentBatch(platform).revision() == 1);
}

TEST_CASE("Apply does not write when the platform is unavailable") {
  MockPlatform platform;
  ALLOW_CALL(platform, Get(trompeloeil::_))
      .RETURN(Fail(FailureCode::kUnavailable, "refused"));
  FORBID_CALL(platform,
              CompareAndSwap(trompeloeil::_, trompeloeil::_, trompeloeil::_));
  TableStore store(&platform, std::chrono::milliseconds(0));
  const auto outcome = store.Apply(MakeRequest(Rows(1, 1), "w1"));
  REQUIRE(std::holds_alternative<NotAccepted>(outcome));
  CHECK(std::get<NotAccepted>(outcome).reason == "refused");
}

TEST_CASE("Only the batches that the head lists are kept") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  for (uint32_t i = 1; i <= Head::kMaxEntries + 10; ++i) {
    store.Apply(MakeRequest(Rows(i, 1), "w" + std::to_string(i)));
  }
  size_t batches = 0;
  for (const auto& [key, entry] : platform.values) {
    if (key.rfind("batch/", 0) == 0 && entry.version > 0) ++batches;
  }
  CHECK(batches == Head::kMaxEntries);
}

TEST_CASE("MergeMarks keeps marks that the caller lacks") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  const Batch batch = BuildBatch({}, Rows(1, 1), {}, {.write_id = "w"});
  MoveMark mark;
  mark.set_service("a");
  mark.set_move_revision(1);
  mark.add_recalls()->set_version("v1");
  MarkSet marks;
  marks.Join(mark);
  REQUIRE(
      std::get<bool>(Attempt([&] { return store.MergeMarks(marks, batch); })));
  // A gateway without the recall does not remove it.
  CHECK_FALSE(std::get<bool>(
      Attempt([&] { return store.MergeMarks(MarkSet(), batch); })));
  CHECK(std::get<MarkSet>(Attempt([&] {
          return store.ReadMarks();
        })).IsRecalled("a", 1));
}

// Operators write one after another to a platform that loses calls and
// responses. An accepted write must be the current batch; one that is refused
// or not accepted must not be.
TEST_CASE("The reported outcome of a write matches the platform", "[fuzz]") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    FakePlatform platform;
    platform.rng.seed(seed);
    std::mt19937_64 rng(seed);
    TableStore store(&platform, std::chrono::milliseconds(0));
    store.Apply(MakeRequest(Rows(0, 0), "first"));
    uint32_t a = 0;
    for (uint32_t i = 1; i <= 12; ++i) {
      platform.lose_before = static_cast<double>(rng() % 3) * 0.1;
      platform.lose_after = static_cast<double>(rng() % 3) * 0.1;
      const std::string write_id = "w" + std::to_string(i);
      ApplyRequest request = MakeRequest(Rows(i, 0), write_id);
      const auto outcome = store.Apply(request);
      platform.lose_before = 0;
      platform.lose_after = 0;
      const Batch current = ReadCurrentBatch(platform);
      const bool is_current = current.write_id() == write_id;
      if (const auto* accepted = std::get_if<Accepted>(&outcome)) {
        REQUIRE(is_current);
        REQUIRE(BatchDigest(accepted->batch) == BatchDigest(current));
      } else if (!std::holds_alternative<OutcomeUnknown>(outcome)) {
        REQUIRE_FALSE(is_current);
      }
      if (is_current) a = i;
      REQUIRE(RowsOf(current)[0].max_rate == a);
    }
  }
}

}  // namespace
}  // namespace kumquatmoor
