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

// With a move of a service to "v2", as the operators' order and then its
// outcome change it.
enum class Move { kNone, kRunning, kCompleted, kRolledBack };
Batch BatchWithMove(uint64_t revision, Move move) {
  Batch batch = ValidBatch(revision);
  ServiceConfig* service = batch.add_services();
  service->set_service("s");
  const auto add_row = [&](const char* version, uint32_t weight,
                           uint32_t from_weight) {
    Row* row = service->add_rows();
    row->set_version(version);
    row->set_weight(weight);
    row->set_from_weight(from_weight);
    row->set_revision(service->move_revision());
  };
  if (move == Move::kNone) {
    add_row("*", 100, 100);
    return batch;
  }
  service->set_move_revision(2);
  const uint32_t weight = move == Move::kRolledBack ? 0 : 100;
  const uint32_t from_weight = move == Move::kCompleted ? 100 : 0;
  add_row("*", 100 - weight, 100 - from_weight);
  add_row("v2", weight, from_weight);
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
  // The digest of a replica of this version of the program.
  void HearReplica(const std::string& id, const Batch& batch) {
    Replica other({.id = id, .zone = "z", .control_address = id}, now);
    REQUIRE(other.Offer(batch) == OfferOutcome::kApplied);
    Datagram push;
    push.set_kind(Datagram::PUSH);
    push.set_from(id);
    *push.mutable_digest() = other.MakeDigest();
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

// Guards against a node that refuses every request since a newer batch records
// the progress of a move, or the same configuration once more.
TEST_CASE_METHOD(OutdatedReplica,
                 "A batch that decides nothing makes no replica outdated",
                 "[outdated]") {
  Join("a", "z");
  REQUIRE(replica.Offer(BatchWithMove(2, Move::kRunning)) ==
          OfferOutcome::kApplied);
  for (const Move move : {Move::kRunning, Move::kCompleted}) {
    Batch batch = BatchWithMove(3, move);
    batch.set_config_version(9);
    HearReplica("a", batch);
    CHECK_FALSE(IsOutdated());
    // It is fetched as any other.
    CHECK(replica.BehindSince());
    CHECK_FALSE(replica.PeersAhead().empty());
    HearReplica("a", BatchWithMove(2, Move::kRunning));
  }
}

// Guards against a node that serves on by its batch although a newer one
// changes what is done with a request.
TEST_CASE_METHOD(OutdatedReplica,
                 "A batch that decides otherwise makes a replica outdated",
                 "[outdated]") {
  Join("a", "z");
  REQUIRE(replica.Offer(BatchWithMove(2, Move::kRunning)) ==
          OfferOutcome::kApplied);
  std::vector<Batch> batches(5, BatchWithMove(4, Move::kRunning));
  batches[0] = BatchWithMove(4, Move::kRolledBack);
  batches[1] = BatchWithMove(4, Move::kNone);
  batches[2].add_routes()->set_name("r");
  batches[2].mutable_routes(0)->set_prefix("/r/");
  WeightedService* part = batches[2].mutable_routes(0)->add_parts();
  part->set_service("s");
  part->set_weight(1);
  batches[3].mutable_caller_limits()->set_max_body_bytes(9);
  batches[4].mutable_services(0)->set_max_connections(9);
  for (const auto& batch : batches) {
    HearReplica("a", batch);
    CHECK(replica.OutdatedSince(now) == now);
    HearReplica("a", BatchWithMove(2, Move::kRunning));
    CHECK_FALSE(IsOutdated());
    now += milliseconds(100);
  }
}

// Guards against a time behind that begins with a newer batch which is no
// reason to refuse, and a reason that is hidden by a later or other one.
TEST_CASE_METHOD(OutdatedReplica,
                 "The time outdated counts from a batch that decides otherwise",
                 "[outdated]") {
  Join("a", "z");
  Join("b", "z");
  REQUIRE(replica.Offer(BatchWithMove(2, Move::kRunning)) ==
          OfferOutcome::kApplied);
  HearReplica("a", BatchWithMove(3, Move::kRunning));
  now += milliseconds(500);
  const TimePoint rolled_back = now;
  HearReplica("a", BatchWithMove(4, Move::kRolledBack));
  CHECK(replica.OutdatedSince(now) == rolled_back);
  now += milliseconds(500);
  HearReplica("a", BatchWithMove(5, Move::kRolledBack));
  CHECK(replica.OutdatedSince(now) == rolled_back);
  // Another node holds other contents under the revision.
  HearReplica("b", BatchWithMove(5, Move::kRunning));
  CHECK(replica.OutdatedSince(now) == rolled_back);
}

// Guards against a node of an earlier version of the program, whose digests say
// nothing of decisions, that is not counted.
TEST_CASE_METHOD(OutdatedReplica,
                 "A digest without decisions makes a replica outdated",
                 "[outdated]") {
  Join("a", "z");
  REQUIRE(replica.Offer(BatchWithMove(2, Move::kRunning)) ==
          OfferOutcome::kApplied);
  Hear("a", BatchWithMove(3, Move::kCompleted));
  CHECK(replica.OutdatedSince(now) == now);
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
