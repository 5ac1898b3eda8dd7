// Mutation fuzzing: valid messages with bytes changed, erased, duplicated or
// copied from another message. Whatever is received, a replica must keep a
// valid batch of at least the same revision, its own identity, and datagrams
// within the size limit. SEED and SEEDS choose the runs.

#include <google/protobuf/stubs/logging.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <limits>
#include <random>
#include <string>

#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/coordination/table_store.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {
namespace {

constexpr TimePoint kNow = TimePoint() + std::chrono::hours(1);
constexpr size_t kMaxDatagramBytes = 1'400;
const ReplicaOptions kOptions = {
    .id = "self", .zone = "z", .control_address = "x", .started_ms = 5};

uint64_t EnvironmentOr(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Returns `text` with one or two mutations; some insert a part of `other`.
std::string Mutate(std::string text, const std::string& other,
                   std::mt19937_64* rng) {
  const uint64_t changes = 1 + (*rng)() % 2;
  for (uint64_t i = 0; i < changes && !text.empty(); ++i) {
    const size_t at = (*rng)() % text.size();
    const size_t length = 1 + (*rng)() % 16;
    switch ((*rng)() % 5) {
      case 0:
        text[at] = static_cast<char>((*rng)());
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr((*rng)() % text.size(), length));
        break;
      case 3:
        text.insert(at, other.substr((*rng)() % other.size(), length));
        break;
      default:
        // The highest number that a varint holds.
        text.insert(at, "\xff\xff\xff\xff\xff\xff\xff\xff\x7f");
    }
  }
  return text;
}

Batch MakeBatch(uint64_t revisions) {
  Batch batch;
  for (uint64_t i = 0; i < revisions; ++i) {
    const auto weight = static_cast<uint32_t>(i % 100);
    batch = BuildBatch(
        batch,
        std::vector<TableRow>{{"s", "v1", kFullWeight - weight},
                              {"s", "v2", weight, 10, 20, 1'000'000}},
        {}, {});
  }
  return batch;
}

MemberRecord MakeMember(const std::string& id) {
  MemberRecord member;
  member.set_id(id);
  member.set_zone("z");
  member.set_control_address("127.0.0.1:1");
  member.set_incarnation(5);
  Endpoint* endpoint = member.add_endpoints();
  endpoint->set_service("s");
  endpoint->set_version("v2");
  endpoint->set_slots(10);
  return member;
}

MoveMark MakeMark(uint64_t revision) {
  MoveMark mark;
  mark.set_service("s");
  mark.set_move_revision(revision);
  (*mark.mutable_stage_permille())["z"] = 50;
  mark.add_recalls()->set_version("v2");
  mark.add_blamed("b");
  return mark;
}

Datagram MakeDatagram(const Replica& replica, std::mt19937_64* rng) {
  Datagram datagram;
  datagram.set_kind(static_cast<Datagram::Kind>((*rng)() % 6));
  datagram.set_from("a");
  datagram.set_subject("b");
  datagram.set_subject_address("127.0.0.1:2");
  *datagram.mutable_digest() = replica.MakeDigest();
  *datagram.add_rumours()->mutable_member() = MakeMember("a");
  *datagram.add_rumours()->mutable_member() = MakeMember("self");
  *datagram.add_rumours()->mutable_mark() =
      MakeMark(replica.CurrentBatch().revision());
  const uint64_t revision = replica.CurrentBatch().revision();
  *datagram.add_rumours()->mutable_delta() =
      MakeDelta(replica.CurrentBatch(), MakeBatch(revision + 1));
  return datagram;
}

SyncReply MakeReply(const Replica& replica) {
  SyncReply reply;
  *reply.mutable_batch() = MakeBatch(replica.CurrentBatch().revision() + 1);
  *reply.add_members() = MakeMember("a");
  *reply.add_members() = MakeMember("self");
  *reply.add_marks() = MakeMark(replica.CurrentBatch().revision());
  reply.add_differing_buckets(3);
  return reply;
}

void CheckInvariants(const Replica& replica, uint64_t revision_before) {
  REQUIRE(replica.CurrentBatch().revision() >= revision_before);
  if (replica.CurrentBatch().revision() > 0) {
    REQUIRE(CheckBatch(replica.CurrentBatch()).empty());
  }
  const MemberRecord self = replica.Self();
  REQUIRE(self.id() == "self");
  REQUIRE(self.zone() == "z");
  REQUIRE(self.status() == ALIVE);
  REQUIRE(self.incarnation() > 0);
  const auto live = replica.LiveMembers();
  const auto table =
      BuildRoutes(replica.CurrentBatch(), replica.Marks(), live, "z");
  for (const auto& [name, service] : table->services) {
    for (const auto& version : service->versions) {
      REQUIRE(version.read_share >= 0);
      REQUIRE(version.read_share <= 1);
    }
  }
}

TEST_CASE("Damaged messages leave a replica's invariants intact", "[fuzz]") {
  google::protobuf::SetLogHandler(nullptr);  // Suppresses parse errors.
  const uint64_t first = EnvironmentOr("SEED", 1);
  const uint64_t seeds = EnvironmentOr("SEEDS", 15);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    INFO("SEED=" << seed);
    std::mt19937_64 rng(seed);
    Replica replica(kOptions, kNow);
    replica.Offer(MakeBatch(3));
    uint64_t parsed = 0;
    for (int i = 0; i < 800; ++i) {
      const TimePoint now = kNow + std::chrono::milliseconds(50 * i);
      const uint64_t before = replica.CurrentBatch().revision();
      const std::string reply_bytes = MakeReply(replica).SerializeAsString();
      const std::string bytes = MakeDatagram(replica, &rng).SerializeAsString();
      Datagram datagram;
      SyncReply reply;
      SyncRequest request;
      if (datagram.ParseFromString(Mutate(bytes, reply_bytes, &rng))) {
        ++parsed;
        replica.OnDatagram(datagram, now);
      }
      if (reply.ParseFromString(Mutate(reply_bytes, bytes, &rng))) {
        ++parsed;
        replica.HandleSyncReply(reply, now);
      }
      const std::string request_bytes =
          replica.MakeSyncRequest(rng() % 2 == 0).SerializeAsString();
      if (request.ParseFromString(Mutate(request_bytes, bytes, &rng))) {
        ++parsed;
        replica.HandleSyncRequest(request, now);
      }
      for (const auto& out : replica.Tick(now)) {
        REQUIRE(out.datagram.ByteSizeLong() <= kMaxDatagramBytes);
      }
      CheckInvariants(replica, before);
    }
    // Enough mutated messages must parse for the test to be meaningful.
    REQUIRE(parsed > 100);
  }
}

TEST_CASE("Implausible member records are dropped") {
  Replica replica(kOptions, kNow);
  MemberRecord highest = MakeMember("self");
  highest.set_incarnation(std::numeric_limits<int64_t>::max());
  MemberRecord status = MakeMember("a");
  status.set_status(static_cast<MemberStatus>(9));
  const int64_t before = replica.Self().incarnation();
  Datagram datagram;
  datagram.set_kind(Datagram::PUSH);
  datagram.set_from("a");
  MemberRecord beyond_limit = MakeMember("far");
  beyond_limit.set_incarnation(kHighestIncarnation + 1);
  for (const auto& record : {highest, status, beyond_limit}) {
    *datagram.add_rumours()->mutable_member() = record;
  }
  replica.OnDatagram(datagram, kNow);
  CHECK(replica.Self().incarnation() == before);
  CHECK(replica.Members().Find("a") == nullptr);
  CHECK(replica.Members().Find("far") == nullptr);
}

TEST_CASE("ParseHead rejects damaged heads", "[fuzz]") {
  const std::string good =
      R"({"entries":[{"revision":3,"key":"batch/3-x","write_id":"w3",)"
      R"("author":"a","written_ms":5},{"revision":2,"key":"batch/2-y",)"
      R"("write_id":"w2","author":"b","written_ms":4}]})";
  const auto entries_of = [](const std::string& value) -> size_t {
    return boost::leaf::try_handle_all(
        [&]() -> Result<size_t> {
          BOOST_LEAF_AUTO(head, ParseHead({.value = value, .version = 1}));
          for (const auto& entry : head.entries) {
            REQUIRE_FALSE(entry.key.empty());
          }
          return head.entries.size();
        },
        [] { return size_t{0}; });
  };
  REQUIRE(entries_of(good) == 2);
  std::mt19937_64 rng(EnvironmentOr("SEED", 1));
  size_t rejected = 0;
  for (int i = 0; i < 5'000; ++i) {
    if (entries_of(Mutate(good, good, &rng)) == 0) ++rejected;
  }
  CHECK(rejected > 1'000);
}

}  // namespace
}  // namespace kumquatmoor
