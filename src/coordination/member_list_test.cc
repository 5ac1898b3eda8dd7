#include "kumquatmoor/coordination/member_list.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace kumquatmoor {
namespace {

MemberRecord RandomRecord(std::mt19937_64& rng) {
  MemberRecord record;
  record.set_id("n" + std::to_string(rng() % 5));
  record.set_incarnation(static_cast<int64_t>(rng() % 3));
  record.set_version(static_cast<uint32_t>(rng() % 3));
  record.set_status(static_cast<MemberStatus>(rng() % 4));
  // Records of equal incarnation and version have equal endpoints.
  record.add_endpoints()->set_slots(record.version());
  return record;
}

TEST_CASE("Records joined in any order, or twice, give equal lists") {
  std::mt19937_64 rng(11);
  for (int round = 0; round < 300; ++round) {
    std::vector<MemberRecord> records;
    for (int i = 0; i < 5; ++i) {
      // Only a live member is added, so each list starts with live records.
      MemberRecord record;
      record.set_id("n" + std::to_string(i));
      record.add_endpoints()->set_slots(0);
      records.push_back(record);
    }
    MemberList forward;
    MemberList shuffled;
    for (const auto& record : records) {
      forward.Join(record, {});
      shuffled.Join(record, {});
    }
    for (int i = 0; i < 12; ++i) records.push_back(RandomRecord(rng));
    for (const auto& record : records) forward.Join(record, {});
    records.insert(records.end(), records.begin(), records.begin() + 5);
    std::shuffle(records.begin(), records.end(), rng);
    for (const auto& record : records) shuffled.Join(record, {});
    CHECK(forward.Hash() == shuffled.Hash());
    CHECK(forward.BucketHashes() == shuffled.BucketHashes());
  }
}

TEST_CASE("A dead member is removed after an hour and not added again") {
  MemberList members;
  MemberRecord record;
  record.set_id("n");
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  members.Join(record, now);
  const uint64_t empty = MemberList().Hash();
  record.set_status(DEAD);
  members.Join(record, now);
  members.RemoveExpired(now + std::chrono::minutes(59));
  CHECK(members.size() == 1);
  members.RemoveExpired(now + std::chrono::minutes(61));
  CHECK(members.size() == 0);
  CHECK(members.Hash() == empty);
  CHECK_FALSE(members.Join(record, now));
}

TEST_CASE("The latest leaving instances are kept across incarnations") {
  MemberRecord old;
  old.set_id("n");
  old.set_incarnation(5);
  const auto add = [&](const std::string& instance, int64_t started_ms) {
    LeavingInstance* leaving = old.add_leaving();
    leaving->set_instance(instance);
    leaving->set_started_ms(started_ms);
  };
  add("i1", 10);
  MemberRecord restarted;
  restarted.set_id("n");
  restarted.set_incarnation(6);
  for (const auto& joined :
       {JoinRecords(old, restarted), JoinRecords(restarted, old)}) {
    CHECK(joined.incarnation() == 6);
    REQUIRE(joined.leaving_size() == 1);
    CHECK(joined.leaving(0).instance() == "i1");
  }
  for (int64_t i = 2; i < 9; ++i) add("i" + std::to_string(i), 10 * i);
  const MemberRecord joined = JoinRecords(restarted, old);
  REQUIRE(joined.leaving_size() == kMaxLeavingInstances);
  CHECK(joined.leaving(kMaxLeavingInstances - 1).instance() == "i8");
}

}  // namespace
}  // namespace kumquatmoor
