#include "kumquatmoor/state/crash_suspects.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

namespace kumquatmoor {
namespace {

constexpr int64_t kNowMs = 1'000'000'000;

std::string Key(int number) {
  return RequestKey({.target = "/" + std::to_string(number)});
}

BackendCrash CrashOf(int instance, std::vector<std::string> keys,
                     std::string version = "v1") {
  return {.service = "s",
          .version = std::move(version),
          .instance = "i-" + std::to_string(instance),
          .keys = std::move(keys)};
}

bool IsBlocked(const CrashSuspects& suspects, const std::string& key,
               const std::string& version = "v1") {
  return suspects.StandingOf(key, "s", version).blocked;
}

TEST_CASE("Requests that differ in one part have different keys") {
  const RequestIdentity identity{
      .host = "h", .method = "GET", .target = "/a", .caller = "c", .body = "b"};
  const std::string key = RequestKey(identity);
  CHECK(key.size() == 32);
  CHECK(RequestKey(identity) == key);
  RequestIdentity other = identity;
  other.caller = "d";
  CHECK(RequestKey(other) != key);
  other = identity;
  other.body = "";
  CHECK(RequestKey(other) != key);
  other = identity;
  other.host = "hG";
  other.method = "ET";
  CHECK(RequestKey(other) != key);
}

TEST_CASE("Three crashed instances block a request, repeated reports do not") {
  CrashSuspects suspects;
  for (int report = 0; report < 3; ++report) {
    suspects.AddCrash(CrashOf(1, {Key(1)}), kNowMs);
  }
  suspects.AddCrash(CrashOf(2, {Key(1)}), kNowMs);
  CHECK(suspects.StandingOf(Key(1), "s", "v1").crashes == 2);
  CHECK_FALSE(IsBlocked(suspects, Key(1)));
  suspects.AddCrash(CrashOf(3, {Key(1)}), kNowMs);
  CHECK(IsBlocked(suspects, Key(1)));
  CHECK_FALSE(IsBlocked(suspects, Key(2)));
  CHECK(suspects.BlockedCount() == 1);
}

TEST_CASE("Requests beside a known suspect are not counted") {
  CrashSuspects suspects;
  suspects.AddCrash(CrashOf(1, {Key(1), Key(2)}), kNowMs);
  suspects.AddCrash(CrashOf(2, {Key(1), Key(3)}), kNowMs);
  suspects.AddCrash(CrashOf(3, {Key(1), Key(2), Key(4)}), kNowMs);
  CHECK(IsBlocked(suspects, Key(1)));
  CHECK(suspects.StandingOf(Key(2), "s", "v1").crashes == 1);
  CHECK_FALSE(suspects.Contains(Key(3)));
  CHECK_FALSE(suspects.Contains(Key(4)));
}

TEST_CASE("A response clears a request, before and after the third crash") {
  CrashSuspects suspects;
  suspects.AddCrash(CrashOf(1, {Key(1)}), kNowMs);
  CHECK(suspects.AddResponse(Key(1), "s", "v1").size() == 1);
  CHECK(suspects.AddResponse(Key(1), "s", "v1").empty());
  for (int i = 2; i < 9; ++i) suspects.AddCrash(CrashOf(i, {Key(1)}), kNowMs);
  CHECK_FALSE(IsBlocked(suspects, Key(1)));
  for (int i = 1; i < 4; ++i) suspects.AddCrash(CrashOf(i, {Key(2)}), kNowMs);
  CHECK(IsBlocked(suspects, Key(2)));
  suspects.AddResponse(Key(2), "s", "v1");
  CHECK_FALSE(IsBlocked(suspects, Key(2)));
  // A request without a crash gets no record.
  CHECK(suspects.AddResponse(Key(3), "s", "v1").empty());
}

TEST_CASE("A request that crashes one version stays served by another") {
  CrashSuspects suspects;
  suspects.AddCrash(CrashOf(1, {Key(1)}, "v2"), kNowMs);
  suspects.AddResponse(Key(1), "s", "v1");
  suspects.AddCrash(CrashOf(2, {Key(1)}, "v2"), kNowMs);
  CHECK_FALSE(IsBlocked(suspects, Key(1), "v2"));
  suspects.AddCrash(CrashOf(3, {Key(1)}, "v2"), kNowMs);
  CHECK(IsBlocked(suspects, Key(1), "v2"));
  CHECK_FALSE(IsBlocked(suspects, Key(1), "v1"));
}

TEST_CASE("A new version may run a blocked request until it crashes") {
  CrashSuspects suspects;
  for (int i = 1; i < 4; ++i) suspects.AddCrash(CrashOf(i, {Key(1)}), kNowMs);
  CHECK_FALSE(IsBlocked(suspects, Key(1), "v2"));
  suspects.AddCrash(CrashOf(4, {Key(1)}, "v2"), kNowMs);
  CHECK(IsBlocked(suspects, Key(1), "v2"));
  CHECK_FALSE(IsBlocked(suspects, Key(1), "v3"));
  suspects.AddCrash(CrashOf(5, {Key(1)}, "v3"), kNowMs);
  CHECK(IsBlocked(suspects, Key(1), "v4"));
}

TEST_CASE("An operator clears a request, and older records do not return it") {
  CrashSuspects suspects;
  for (int i = 1; i < 4; ++i) suspects.AddCrash(CrashOf(i, {Key(1)}), kNowMs);
  const CrashRecord before = suspects.RecordOf(Key(1));
  CHECK(suspects.Clear(Key(2)).empty());
  CHECK(suspects.Clear(Key(1)).size() == 1);
  CHECK_FALSE(IsBlocked(suspects, Key(1)));
  CHECK_FALSE(suspects.Join(before));
  CHECK_FALSE(IsBlocked(suspects, Key(1)));
  for (int i = 4; i < 7; ++i) suspects.AddCrash(CrashOf(i, {Key(1)}), kNowMs);
  CHECK(IsBlocked(suspects, Key(1)));
}

TEST_CASE("Records expire, also those of a time of day that was far ahead") {
  CrashSuspects suspects;
  const int64_t lifetime_ms = 3'600'000;
  suspects.AddCrash(CrashOf(1, {Key(1)}), kNowMs);
  suspects.AddCrash(CrashOf(2, {Key(2)}), kNowMs + 3 * lifetime_ms);
  CHECK(suspects.DropExpired(kNowMs + lifetime_ms / 2));
  CHECK(suspects.Contains(Key(1)));
  CHECK_FALSE(suspects.Contains(Key(2)));
  CHECK(suspects.DropExpired(kNowMs + 2 * lifetime_ms));
  CHECK(suspects.IsEmpty());
  CHECK(suspects.Hash() == 0);
}

TEST_CASE("Invented requests do not displace a blocked one") {
  CrashSuspects suspects;
  for (int i = 1; i < 4; ++i) suspects.AddCrash(CrashOf(i, {Key(0)}), kNowMs);
  const int count = 3 * static_cast<int>(CrashSuspects::kMaxRecords);
  for (int i = 1; i < count; ++i) {
    suspects.AddCrash(CrashOf(i, {Key(i)}), kNowMs + i);
  }
  CHECK(suspects.All().size() == CrashSuspects::kMaxRecords);
  CHECK(IsBlocked(suspects, Key(0)));
}

// Guards against nodes that disagree on which requests are blocked.
TEST_CASE("Records that arrive in any order give equal sets") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 rng(seed);
    CrashSuspects origin;
    std::vector<CrashRecord> records;
    for (int step = 0; step < 60; ++step) {
      const std::string key = Key(static_cast<int>(rng() % 4));
      const std::string version = rng() % 2 == 0 ? "v1" : "v2";
      std::vector<CrashRecord> changed;
      switch (rng() % 8) {
        case 0:
          changed = origin.Clear(key);
          break;
        case 1:
          changed = origin.AddResponse(key, "s", version);
          break;
        default:
          changed = origin.AddCrash(
              CrashOf(static_cast<int>(rng() % 9), {key, Key(5)}, version),
              kNowMs + step);
      }
      records.insert(records.end(), changed.begin(), changed.end());
    }
    std::vector<CrashRecord> shuffled = records;
    shuffled.insert(shuffled.end(), records.begin(), records.end());
    std::shuffle(shuffled.begin(), shuffled.end(), rng);
    CrashSuspects joined;
    for (const auto& record : shuffled) joined.Join(record);
    CHECK(joined.Hash() == origin.Hash());
    CHECK(joined.BlockedCount() == origin.BlockedCount());
  }
}

}  // namespace
}  // namespace kumquatmoor
