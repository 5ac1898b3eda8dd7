// Replicas whose store comes back from an older copy: batches of a later
// generation of the store, with revisions that were given out before.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/store_revision.h"

namespace kumquatmoor {
namespace {

// A batch with one route for each version of the operators' configuration.
Batch BatchOf(const BatchStamp& stamp) {
  Batch batch = BuildBatch({}, std::vector<TableRow>{{"a", "v1", 100}}, {}, {});
  // A carried move that has ended weighs twice its revision and one.
  batch.mutable_services(0)->set_move_revision(stamp.carried_weight / 2);
  batch.set_revision(stamp.revision);
  batch.set_config_version(stamp.config_version);
  batch.set_carried_weight(stamp.carried_weight);
  for (uint64_t version = 1; version <= stamp.config_version; ++version) {
    HttpRoute* route = batch.add_routes();
    route->set_name("route" + std::to_string(version));
    route->set_host("shop.example");
    route->set_prefix("/" + std::to_string(version) + "/");
    WeightedService* part = route->add_parts();
    part->set_service("a");
    part->set_weight(1);
  }
  return batch;
}

const BatchStamp kInForce{.revision = 100, .config_version = 7};
const BatchStamp kCopied{.revision = MakeRevision(1, 90), .config_version = 5};
const BatchStamp kRewritten{.revision = MakeRevision(1, 93),
                            .config_version = 7};

// Two replicas that know each other, and their synchronisations.
class Pair {
 public:
  Pair() { Join(); }

  // Passes the pushes and probes of both on, and runs what they ask for.
  void Run(int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
      now += std::chrono::milliseconds(50);
      Deliver(&a, &b, a.Tick(now));
      Deliver(&b, &a, b.Tick(now));
      if (a.PopSyncPeer()) Sync(&a, &b);
      if (b.PopSyncPeer()) Sync(&b, &a);
    }
  }
  void Sync(Replica* from, Replica* to) {
    const auto reply = to->HandleSyncRequest(from->MakeSyncRequest(false), now);
    const auto offer = from->HandleSyncReply(reply, now);
    if (offer) to->HandleSyncRequest(*offer, now);
  }

  TimePoint now{};
  Replica a{{.id = "a", .control_address = "a", .seed = 1}, now};
  Replica b{{.id = "b", .control_address = "b", .seed = 2}, now};

 private:
  void Join() {
    b.HandleSyncRequest(a.MakeSyncRequest(true), now);
    a.HandleSyncRequest(b.MakeSyncRequest(true), now);
  }
  void Deliver(Replica* from, Replica* to,
               const std::vector<OutgoingDatagram>& outgoing) {
    for (const auto& out : outgoing) {
      for (const auto& reply : to->OnDatagram(out.datagram, now)) {
        from->OnDatagram(reply.datagram, now);
      }
    }
  }
};

void CheckBothHold(const Pair& pair, const BatchStamp& stamp) {
  CHECK(StampOf(pair.a.CurrentBatch()) == stamp);
  CHECK(StampOf(pair.b.CurrentBatch()) == stamp);
  CHECK(BatchDigest(pair.a.CurrentBatch()) ==
        BatchDigest(pair.b.CurrentBatch()));
  CHECK_FALSE(pair.a.BehindSince());
  CHECK_FALSE(pair.b.BehindSince());
}

// Guards against a confirmed configuration that is replaced by the one before,
// which an older copy of the store holds.
TEST_CASE("A configuration of an older copy does not replace the one in force",
          "[generation]") {
  Replica replica({.id = "n", .control_address = "n"}, {});
  REQUIRE(replica.Offer(BatchOf(kInForce)) == OfferOutcome::kApplied);
  CHECK(replica.Offer(BatchOf(kCopied)) == OfferOutcome::kOld);
  CHECK(replica.HeldBackCount() == 1);
  CHECK(replica.CurrentBatch().routes_size() == 7);
  CHECK(replica.Offer(BatchOf(kRewritten)) == OfferOutcome::kApplied);
  CHECK(replica.HeldBackCount() == 1);
}

// Guards against nodes that hold two configurations for good, and against a
// node that answers with 404 for the routes of the others: one that started
// while the store had the older configuration only.
TEST_CASE("A node that read the older copy takes the newer configuration",
          "[generation]") {
  const bool pushed = GENERATE(true, false);
  Pair pair;
  REQUIRE(pair.a.Offer(BatchOf(kInForce)) == OfferOutcome::kApplied);
  if (pushed) pair.Run(1);
  pair.b = Replica({.id = "b", .control_address = "b", .seed = 3}, pair.now);
  REQUIRE(pair.b.Offer(BatchOf(kCopied)) == OfferOutcome::kApplied);
  pair.Run(60);
  CheckBothHold(pair, kInForce);
  REQUIRE(pair.b.Offer(BatchOf(kRewritten)) == OfferOutcome::kApplied);
  pair.Run(60);
  CheckBothHold(pair, kRewritten);
}

// Guards against a node that keeps what it read by itself, without the moves
// that the others have carried over.
TEST_CASE("A batch with carried moves replaces the same one without",
          "[generation]") {
  BatchStamp carried = kRewritten;
  carried.carried_weight = 11;
  Pair pair;
  REQUIRE(pair.a.Offer(BatchOf(carried)) == OfferOutcome::kApplied);
  REQUIRE(pair.b.Offer(BatchOf(kRewritten)) == OfferOutcome::kApplied);
  pair.Run(60);
  CheckBothHold(pair, carried);
  CHECK(pair.a.Warnings().empty());
}

// Guards against a node that was away during two returns of the store.
TEST_CASE("A node that missed two generations takes the newest batch",
          "[generation]") {
  const BatchStamp second{.revision = MakeRevision(2, 40), .config_version = 8};
  Pair pair;
  REQUIRE(pair.a.Offer(BatchOf(kInForce)) == OfferOutcome::kApplied);
  REQUIRE(pair.b.Offer(BatchOf(kRewritten)) == OfferOutcome::kApplied);
  REQUIRE(pair.b.Offer(BatchOf(second)) == OfferOutcome::kApplied);
  pair.Run(60);
  CheckBothHold(pair, second);
}

// Guards against a member that comes back to life with the directory entry that
// it had removed: the copy of the store still has it.
TEST_CASE("A directory entry of a copy says nothing of a member that left",
          "[generation]") {
  Pair pair;
  MemberRecord entry = pair.b.Self();
  entry.set_zone("z");
  for (const auto& out : pair.b.Leave(pair.now)) {
    pair.a.OnDatagram(out.datagram, pair.now);
  }
  REQUIRE(pair.a.Members().Find("b")->status() == LEFT);
  pair.a.AddDirectoryMember(entry, pair.now);
  CHECK(pair.a.Members().Find("b")->status() == LEFT);
  CHECK_FALSE(pair.a.PopSyncPeer());
}

// Guards against a lower version that comes into force while the operators
// write again what the store has lost, oldest first, and against a held version
// that is not reported. It is held until a version at least as high is written;
// after that, the revision decides again.
TEST_CASE("A lower version after a return is held until one as high is written",
          "[generation]") {
  Replica replica({.id = "n", .control_address = "n"}, {});
  REQUIRE(replica.Offer(BatchOf(kInForce)) == OfferOutcome::kApplied);
  uint64_t revision = kCopied.revision;
  for (uint64_t version = 1; version < kInForce.config_version; ++version) {
    const BatchStamp lower{.revision = ++revision, .config_version = version};
    CHECK(replica.Offer(BatchOf(lower)) == OfferOutcome::kOld);
    CHECK(replica.HeldBackCount() == version);
    CHECK(replica.Offer(BatchOf(lower)) == OfferOutcome::kOld);
    CHECK(replica.HeldBackCount() == version);
    CHECK(replica.CurrentBatch().routes_size() == 7);
  }
  CHECK(replica.Offer(BatchOf({.revision = ++revision, .config_version = 7})) ==
        OfferOutcome::kApplied);
  CHECK(replica.Offer(BatchOf({.revision = ++revision, .config_version = 6})) ==
        OfferOutcome::kApplied);
  CHECK(replica.CurrentBatch().routes_size() == 6);
}

}  // namespace
}  // namespace kumquatmoor
