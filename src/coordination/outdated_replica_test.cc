// When a replica counts as outdated: a reachable live member says that it holds
// a newer batch.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart(std::chrono::hours(1));
constexpr milliseconds kStep{50};

ReplicaOptions Options() {
  return {.id = "own", .zone = "z", .control_address = "own", .started_ms = 1};
}

Batch ValidBatch(uint64_t revision) {
  Batch batch;
  batch.set_revision(revision);
  return batch;
}

// Its services are not sorted.
Batch InvalidBatch(uint64_t revision) {
  Batch batch = ValidBatch(revision);
  for (const char* name : {"s2", "s1"}) {
    ServiceConfig* service = batch.add_services();
    service->set_service(name);
    Row* row = service->add_rows();
    row->set_version("*");
    row->set_weight(100);
    row->set_from_weight(100);
  }
  return batch;
}

// A replica with the first batch, which receives digests of other members.
class OutdatedReplica {
 public:
  OutdatedReplica() {
    REQUIRE(replica.Offer(ValidBatch(1)) == OfferOutcome::kApplied);
    replica.Tick(now);
  }

  void Join(const std::string& id, const std::string& zone,
            MemberStatus status = ALIVE) {
    Datagram push;
    push.set_kind(Datagram::PUSH);
    push.set_from("other");
    MemberRecord* member = push.add_rumours()->mutable_member();
    member->set_id(id);
    member->set_zone(zone);
    member->set_control_address(id);
    member->set_data_address(id);
    member->set_incarnation(1);
    member->set_status(status);
    replica.OnDatagram(push, now);
  }
  void Hear(const std::string& id, const Batch& batch) {
    Datagram push;
    push.set_kind(Datagram::PUSH);
    push.set_from(id);
    push.mutable_digest()->set_revision(batch.revision());
    push.mutable_digest()->set_batch_digest(BatchDigest(batch));
    replica.OnDatagram(push, now);
  }
  void Pass(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      now += kStep;
      replica.Tick(now);
    }
  }
  bool IsOutdated() const { return replica.OutdatedSince(now).has_value(); }

  TimePoint now = kStart;
  Replica replica{Options(), kStart};
};

// Guards against a node that refuses callers on the word of a node that is no
// live member.
TEST_CASE_METHOD(OutdatedReplica, "Only live members make a replica outdated",
                 "[outdated]") {
  Hear("stranger", ValidBatch(2));
  CHECK_FALSE(IsOutdated());
  Join("a", "z");
  Hear("a", ValidBatch(2));
  CHECK(replica.OutdatedSince(now) == kStart);
  for (const auto status : {SUSPECT, DEAD, LEFT}) {
    Join("a", "z", status);
    CHECK_FALSE(IsOutdated());
  }
}

// Guards against a node that waits for good for a batch that nobody holds any
// more.
TEST_CASE_METHOD(OutdatedReplica,
                 "A replica is not outdated by a batch that is gone",
                 "[outdated]") {
  Join("a", "z");
  Join("b", "z");
  Hear("a", ValidBatch(3));
  Hear("b", ValidBatch(2));
  CHECK(IsOutdated());
  // "a" has restarted and reads an older batch.
  Hear("a", ValidBatch(1));
  CHECK(IsOutdated());
  CHECK(replica.Offer(ValidBatch(2)) == OfferOutcome::kApplied);
  CHECK_FALSE(IsOutdated());
  CHECK_FALSE(replica.BehindSince());
  // "b" restarts as well, and is then silent.
  Hear("b", ValidBatch(4));
  CHECK(IsOutdated());
  Pass(milliseconds(4'000));
  CHECK_FALSE(IsOutdated());
  CHECK_FALSE(replica.BehindSince());
}

// Guards against a time behind that begins with an earlier newer batch, which
// is gone, so that a node refuses callers at once.
TEST_CASE_METHOD(OutdatedReplica,
                 "The time behind begins anew after a batch that is gone",
                 "[outdated]") {
  Join("a", "z");
  Hear("a", ValidBatch(2));
  now += milliseconds(500);
  Hear("a", ValidBatch(1));
  now += milliseconds(500);
  Hear("a", ValidBatch(3));
  CHECK(replica.OutdatedSince(now) == now);
  const TimePoint since = now;
  now += milliseconds(500);
  Hear("a", ValidBatch(3));
  CHECK(replica.OutdatedSince(now) == since);
}

// Guards against a time behind that begins anew with each newer batch, so that
// a node which is always some seconds late never refuses callers.
TEST_CASE_METHOD(OutdatedReplica,
                 "The time behind counts from the first batch that is lacking",
                 "[outdated]") {
  Join("a", "z");
  std::vector<TimePoint> named;
  for (uint64_t revision = 2; revision <= 9; ++revision) {
    named.push_back(now);
    Hear("a", ValidBatch(revision));
    now += milliseconds(160);
  }
  CHECK(replica.OutdatedSince(now) == named.front());
  REQUIRE(replica.Offer(ValidBatch(4)) == OfferOutcome::kApplied);
  CHECK(replica.OutdatedSince(now) == named[3]);
  CHECK(replica.BehindSince() == named[3]);
}

// Guards against a time behind that counts from a batch which only a member
// that is gone has named.
TEST_CASE_METHOD(OutdatedReplica,
                 "The time behind counts what present members hold",
                 "[outdated]") {
  Join("a", "z");
  Join("b", "z");
  Hear("a", ValidBatch(3));
  now += milliseconds(950);
  const TimePoint named = now;
  Hear("b", ValidBatch(2));
  Hear("a", ValidBatch(1));
  CHECK(replica.OutdatedSince(now) == named);
  CHECK(replica.BehindSince() == named);
}

// Guards against a node that refuses callers for good since it finds the newer
// batch of other nodes invalid.
TEST_CASE_METHOD(OutdatedReplica,
                 "An invalid batch does not make a replica outdated",
                 "[outdated]") {
  Join("a", "z");
  Hear("a", InvalidBatch(2));
  CHECK(IsOutdated());
  CHECK(replica.Offer(InvalidBatch(2)) == OfferOutcome::kInvalid);
  Hear("a", InvalidBatch(2));
  CHECK_FALSE(IsOutdated());
  CHECK_FALSE(replica.BehindSince());
  Hear("a", ValidBatch(2));
  CHECK(IsOutdated());
}

// Guards against a zone that stops serving when it is cut off from a batch that
// it has heard of.
TEST_CASE_METHOD(OutdatedReplica,
                 "Members of an unreachable zone make no replica outdated",
                 "[outdated]") {
  for (const char* id : {"a", "b", "c"}) Join(id, "other");
  Hear("a", ValidBatch(2));
  CHECK(IsOutdated());
  Join("b", "other", SUSPECT);
  Join("c", "other", SUSPECT);
  CHECK_FALSE(IsOutdated());
  Join("b", "other", LEFT);
  CHECK(replica.UnreachableZones(now).empty());
  CHECK(IsOutdated());
}

// Guards against a process that takes an ACK from before its pause for a sign
// of the present.
TEST_CASE_METHOD(OutdatedReplica, "After a pause only new probes count",
                 "[outdated]") {
  const auto pings = [](const std::vector<OutgoingDatagram>& sent) {
    std::vector<Datagram> found;
    for (const auto& out : sent) {
      if (out.datagram.kind() == Datagram::PING) found.push_back(out.datagram);
    }
    return found;
  };
  const auto acknowledge = [&](const Datagram& ping) {
    Datagram ack;
    ack.set_kind(Datagram::ACK);
    ack.set_from("a");
    ack.set_sequence(ping.sequence());
    replica.OnDatagram(ack, now);
  };
  Join("a", "z");
  now += milliseconds(1'000);
  const auto before = pings(replica.Tick(now));
  REQUIRE(before.size() == 1);
  now += milliseconds(5'000);
  const auto after = pings(replica.ProbeAnew(now));
  REQUIRE_FALSE(after.empty());
  acknowledge(before.front());
  CHECK(replica.LastAcknowledged() < now);
  // The next tick keeps the new probes.
  now += kStep;
  replica.Tick(now);
  acknowledge(after.front());
  CHECK(replica.LastAcknowledged() == now);
}

}  // namespace
}  // namespace kumquatmoor
