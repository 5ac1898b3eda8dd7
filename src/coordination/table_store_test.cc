// The platform is a small fake in memory that loses answers, before or after
// the effect. The oracle is a sequential table: what was accepted, in order.

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
  // Called before each write takes effect, to put another one in between.
  std::function<void(const std::string& key)> before_swap;
  double lose_before = 0;         // Part of the calls that never arrive.
  double lose_after = 0;          // Part of the calls whose answer is lost.
  std::string lose_next_swap_of;  // Key of one write whose answer is lost.
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
    const bool fits = entry.version == expected;
    if (fits) entry = {.value = value, .version = ++m_version};
    const bool lose = Chance(lose_after) || key == lose_next_swap_of;
    if (key == lose_next_swap_of) lose_next_swap_of.clear();
    if (lose) return Fail(FailureCode::kUnknown, "lost");
    if (!fits) return Fail(FailureCode::kConflict, "another version");
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

// For calls that must come in a given order.
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

Batch CurrentOf(FakePlatform& platform) {
  TableStore store(&platform, std::chrono::milliseconds(0));
  return std::get<Batch>(Attempt([&] { return store.ReadCurrent(); }));
}

TEST_CASE("Two operators on different rows both succeed") {
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
  const auto rows = RowsOf(CurrentOf(platform));
  CHECK(rows[0].max_rate == 2);
  CHECK(rows[1].max_rate == 3);
}

TEST_CASE("On the same row the second operator sees the conflict") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  store.Apply(MakeRequest(Rows(1, 1), "w1"));
  ApplyRequest mine = MakeRequest(Rows(2, 1), "w2");
  ApplyRequest theirs = MakeRequest(Rows(3, 1), "w3");
  mine.copied_from = 1;
  theirs.copied_from = 1;
  // The other write comes between this one's read and its swap.
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
  CHECK(RowsOf(CurrentOf(platform))[0].max_rate == 2);
}

TEST_CASE("An answer that stays lost is told as unknown") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  bool lose = true;
  platform.before_swap = [&](const std::string& key) {
    platform.lose_after = key == "head" && lose ? 1 : 0;
    if (key == "head") lose = false;
  };
  // Every answer from that of the swap on is lost, so that the client must say
  // that it does not know.
  CHECK(std::holds_alternative<OutcomeUnknown>(
      store.Apply(MakeRequest(Rows(1, 1), "w1"))));
  platform.lose_after = 0;
  platform.before_swap = nullptr;
  CHECK(CurrentOf(platform).write_id() == "w1");
  // Asking again with the same write id changes nothing more.
  CHECK(std::holds_alternative<NothingToDo>(
      store.Apply(MakeRequest(Rows(1, 1), "w1"))));
}

TEST_CASE("A lost answer after the effect is found to be accepted") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  platform.lose_next_swap_of = "head";
  CHECK(std::holds_alternative<Accepted>(
      store.Apply(MakeRequest(Rows(1, 1), "w1"))));
  CHECK(CurrentOf(platform).write_id() == "w1");
}

TEST_CASE("A platform restored from an old copy is not written to") {
  FakePlatform platform;
  TableStore store(&platform, std::chrono::milliseconds(0));
  store.Apply(MakeRequest(Rows(1, 1), "w1"));
  ApplyRequest request = MakeRequest(Rows(2, 2), "w2");
  request.known_revision = 5;
  CHECK(std::holds_alternative<Refused>(store.Apply(request)));
  CHECK(CurrentOf(platform).revision() == 1);
}

TEST_CASE("Nothing is written when the platform cannot be reached") {
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

TEST_CASE("Old batches are deleted, the latest stay readable") {
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

TEST_CASE("Marks on the platform only grow") {
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
  // A gateway that knows less does not take the recall away.
  CHECK_FALSE(std::get<bool>(
      Attempt([&] { return store.MergeMarks(MarkSet(), batch); })));
  CHECK(std::get<MarkSet>(Attempt([&] {
          return store.ReadMarks();
        })).IsRecalled("a", 1));
}

// Operators write one after another over a platform that loses answers. What
// is told must be true: accepted is in the table, refused and not accepted
// are not.
TEST_CASE("What an operator is told is true", "[fuzz]") {
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
      const Batch current = CurrentOf(platform);
      const bool in_force = current.write_id() == write_id;
      if (const auto* accepted = std::get_if<Accepted>(&outcome)) {
        REQUIRE(in_force);
        REQUIRE(BatchDigest(accepted->batch) == BatchDigest(current));
      } else if (!std::holds_alternative<OutcomeUnknown>(outcome)) {
        REQUIRE_FALSE(in_force);
      }
      if (in_force) a = i;
      REQUIRE(RowsOf(current)[0].max_rate == a);
    }
  }
}

}  // namespace
}  // namespace kumquatmoor
