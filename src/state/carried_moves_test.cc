#include "kumquatmoor/state/carried_moves.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/store_revision.h"

namespace kumquatmoor {
namespace {

enum class State { kRunning, kDone, kRolledBack };

struct Order {
  uint64_t revision = 0;
  std::string to_version = "v2";
  State state = State::kRunning;
};

// A batch of one service, as it is read from a store that has `order`.
Batch Read(uint64_t revision, const std::optional<Order>& order) {
  Batch batch;
  batch.set_revision(revision);
  ServiceConfig* config = batch.add_services();
  config->set_service("s");
  const auto add_row = [&](const std::string& version, uint32_t from,
                           uint32_t to) {
    Row* row = config->add_rows();
    row->set_version(version);
    row->set_from_weight(from);
    row->set_weight(to);
    row->set_revision(order ? order->revision : 0);
  };
  if (!order) {
    add_row("*", kFullWeight, kFullWeight);
    return batch;
  }
  const uint32_t to = order->state == State::kRolledBack ? 0 : kFullWeight;
  const uint32_t from = order->state == State::kDone ? kFullWeight : 0;
  add_row("*", kFullWeight - from, kFullWeight - to);
  add_row(order->to_version, from, to);
  config->set_move_revision(order->revision);
  config->set_order_revision(order->revision);
  config->set_move_within_ms(9'000);
  return batch;
}

const uint64_t kOrdered = 95;

Batch Carry(const Batch& in_force, const Batch& read,
            const ReplacedMoves& replaced = {}) {
  return CarryMoves(in_force, replaced, read);
}

Batch InForce(State state) {
  return Read(kOrdered, Order{.revision = kOrdered, .state = state});
}

const ServiceConfig& ServiceOf(const Batch& batch) {
  CHECK(CheckBatch(batch).empty());
  return batch.services(0);
}

TEST_CASE("A batch of the same generation carries nothing") {
  const Batch read = Read(97, std::nullopt);
  CHECK(BatchDigest(Carry(InForce(State::kRunning), read)) ==
        BatchDigest(read));
}

// Guards against a move whose order the store has lost: every request went to
// the new version at once.
TEST_CASE("A move whose order is lost goes on") {
  const Batch carried =
      Carry(InForce(State::kRunning), Read(MakeRevision(1, 90), std::nullopt));
  const ServiceConfig& config = ServiceOf(carried);
  CHECK(HasMove(config));
  CHECK(config.move_revision() == kOrdered);
  CHECK(config.order_revision() == 0);
  CHECK(CountCarriedMoves(carried) == 1);
  CHECK(carried.carried_weight() > 0);
  // Later batches of the generation, and of the next one, carry it as well.
  const Batch next = Carry(carried, Read(MakeRevision(1, 91), {}));
  CHECK(ServiceOf(next).move_revision() == kOrdered);
  const Batch later = Carry(next, Read(MakeRevision(2, 80), {}));
  CHECK(ServiceOf(later).move_revision() == kOrdered);
  CHECK(HasMove(ServiceOf(later)));
}

// Guards against a move that starts again at its first stage, and loses its
// recalls, when its order is written again.
TEST_CASE("A move whose order is written again keeps its revision") {
  const uint64_t again = MakeRevision(1, 92);
  const Batch in_force =
      GENERATE(true, false)
          ? InForce(State::kRunning)
          : Carry(InForce(State::kRunning), Read(MakeRevision(1, 90), {}));
  const Batch carried = Carry(in_force, Read(again, Order{.revision = again}));
  CHECK(ServiceOf(carried).move_revision() == kOrdered);
  CHECK(ServiceOf(carried).order_revision() == again);
  CHECK(CountCarriedMoves(carried) == 1);
  CHECK(carried.carried_weight() > 0);
  const Batch ended =
      Carry(carried, Read(MakeRevision(1, 99),
                          Order{.revision = again, .state = State::kDone}));
  CHECK(ServiceOf(ended).move_revision() == kOrdered);
  CHECK_FALSE(HasMove(ServiceOf(ended)));
  // Once more, after the store has it: the operators want a new move.
  const uint64_t anew = MakeRevision(1, 120);
  const Batch restarted = Carry(ended, Read(anew, Order{.revision = anew}));
  CHECK(ServiceOf(restarted).move_revision() == anew);
  CHECK(restarted.carried_weight() == 0);
}

// Guards against a completed move, whose old version has stopped, that runs
// again, and against one that was rolled back.
TEST_CASE("A move whose outcome is lost stays ended") {
  const State state = GENERATE(State::kDone, State::kRolledBack);
  const Batch in_force = InForce(state);
  const uint64_t again = MakeRevision(1, 92);
  const Batch carried = Carry(in_force, Read(again, Order{.revision = again}));
  CHECK_FALSE(HasMove(ServiceOf(carried)));
  CHECK(ServiceOf(carried).rows(1).weight() ==
        (state == State::kDone ? kFullWeight : 0));
  CHECK(CountCarriedMoves(carried) == 1);
  const Batch lost = Carry(in_force, Read(again, std::nullopt));
  CHECK_FALSE(HasMove(ServiceOf(lost)));
  CHECK(ServiceOf(lost).rows_size() == 2);
}

// Guards against an order that the lost one had replaced: it would move the
// service back until the operators' next write.
TEST_CASE("An order that was replaced by the lost one starts no move") {
  const Batch before = Read(80, Order{.revision = 80, .to_version = "v1"});
  const Batch in_force = InForce(State::kRunning);
  ReplacedMoves replaced;
  NoteReplacedMoves(before, in_force, &replaced);
  const Order copied{.revision = MakeRevision(1, 80), .to_version = "v1"};
  const Batch carried =
      Carry(in_force, Read(MakeRevision(1, 90), copied), replaced);
  CHECK(ServiceOf(carried).move_revision() == kOrdered);
  CHECK(ServiceOf(carried).rows(1).version() == "v2");
  NoteReplacedMoves(in_force, carried, &replaced);
  CHECK(replaced.at("s").move_revision() == 80);
  // Orders that are written after the return, also under a lower revision than
  // that of the lost one.
  for (const char* version : {"v1", "v3"}) {
    const Order next{.revision = MakeRevision(1, 92), .to_version = version};
    const Batch moved = Carry(carried, Read(next.revision, next), replaced);
    CHECK(ServiceOf(moved).move_revision() == next.revision);
    CHECK(moved.carried_weight() == 0);
  }
}

// Guards against nodes that hold different batches of one revision, as each
// carried what it knew.
TEST_CASE("Nodes that carry more add to what others have carried") {
  const uint64_t again = MakeRevision(1, 92);
  const Batch read = Read(again, Order{.revision = again});
  const Batch by_ended = Carry(InForce(State::kDone), read);
  const Batch by_running = Carry(InForce(State::kRunning), read);
  CHECK(IsNewer(StampOf(by_ended), StampOf(by_running)));
  CHECK(BatchDigest(Carry(InForce(State::kDone), by_running)) ==
        BatchDigest(by_ended));
  CHECK(BatchDigest(Carry(InForce(State::kRunning), by_ended)) ==
        BatchDigest(by_ended));
}

// Guards against two nodes that know one order by two revisions: each replaced
// the other's batch by its own for good.
TEST_CASE("Nodes that carry different moves agree on the later one") {
  const bool same_order = GENERATE(true, false);
  const Batch earlier = InForce(GENERATE(State::kRunning, State::kDone));
  const uint64_t later_revision = MakeRevision(2, 10);
  const Batch later =
      Read(later_revision, Order{.revision = later_revision,
                                 .to_version = same_order ? "v2" : "v3"});
  const Batch read = Read(MakeRevision(4, 9), std::nullopt);
  const Batch by_earlier = Carry(earlier, read);
  const Batch by_later = Carry(later, read);
  CHECK(IsNewer(StampOf(by_later), StampOf(by_earlier)));
  const Batch both = Carry(by_earlier, by_later);
  CHECK(ServiceOf(both).move_revision() == later_revision);
  CHECK(HasMove(ServiceOf(both)) ==
        (HasMove(ServiceOf(by_earlier)) || !same_order));
  CHECK(BatchDigest(both) == BatchDigest(Carry(by_later, by_earlier)));
  CHECK(BatchDigest(both) == BatchDigest(Carry(by_later, both)));
}

// Guards against memory that grows with each service that ever had two moves.
TEST_CASE("Replaced moves of removed services are forgotten") {
  ReplacedMoves replaced;
  Batch before;
  for (uint64_t i = 1; i <= 300; ++i) {
    Batch first = Read(3 * i, Order{.revision = 3 * i});
    Batch second = Read(3 * i + 1, Order{.revision = 3 * i + 1});
    const std::string service = "s" + std::to_string(i);
    first.mutable_services(0)->set_service(service);
    second.mutable_services(0)->set_service(service);
    NoteReplacedMoves(before, first, &replaced);
    NoteReplacedMoves(first, second, &replaced);
    REQUIRE(replaced.count(service) == 1);
    REQUIRE(replaced.size() == 1);
    before = second;
  }
}

}  // namespace
}  // namespace kumquatmoor
