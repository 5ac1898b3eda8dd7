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

Batch InForce(State state) {
  return Read(kOrdered, Order{.revision = kOrdered, .state = state});
}

const ServiceConfig& ServiceOf(const Batch& batch) {
  CHECK(CheckBatch(batch).empty());
  return batch.services(0);
}

TEST_CASE("A batch of the same generation carries nothing") {
  const Batch read = Read(97, std::nullopt);
  CHECK(BatchDigest(CarryMoves(InForce(State::kRunning), read)) ==
        BatchDigest(read));
}

// Guards against a move whose order the store has lost: every request went to
// the new version at once.
TEST_CASE("A move whose order is lost goes on") {
  const Batch carried = CarryMoves(InForce(State::kRunning),
                                   Read(MakeRevision(1, 90), std::nullopt));
  const ServiceConfig& config = ServiceOf(carried);
  CHECK(HasMove(config));
  CHECK(config.move_revision() == kOrdered);
  CHECK(config.order_revision() == 0);
  CHECK(carried.carried_moves() == 1);
  // Later batches of the generation, and of the next one, carry it as well.
  const Batch next = CarryMoves(carried, Read(MakeRevision(1, 91), {}));
  CHECK(ServiceOf(next).move_revision() == kOrdered);
  const Batch later = CarryMoves(next, Read(MakeRevision(2, 80), {}));
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
          : CarryMoves(InForce(State::kRunning), Read(MakeRevision(1, 90), {}));
  const Batch carried =
      CarryMoves(in_force, Read(again, Order{.revision = again}));
  CHECK(ServiceOf(carried).move_revision() == kOrdered);
  CHECK(ServiceOf(carried).order_revision() == again);
  CHECK(carried.carried_moves() == 1);
  const Batch ended = CarryMoves(
      carried, Read(MakeRevision(1, 99),
                    Order{.revision = again, .state = State::kDone}));
  CHECK(ServiceOf(ended).move_revision() == kOrdered);
  CHECK_FALSE(HasMove(ServiceOf(ended)));
  // Once more, after the store has it: the operators want a new move.
  const uint64_t anew = MakeRevision(1, 120);
  const Batch restarted =
      CarryMoves(ended, Read(anew, Order{.revision = anew}));
  CHECK(ServiceOf(restarted).move_revision() == anew);
  CHECK(restarted.carried_moves() == 0);
}

// Guards against a completed move, whose old version has stopped, that runs
// again, and against one that was rolled back.
TEST_CASE("A move whose outcome is lost stays ended") {
  const State state = GENERATE(State::kDone, State::kRolledBack);
  const Batch in_force = InForce(state);
  const uint64_t again = MakeRevision(1, 92);
  const Batch carried =
      CarryMoves(in_force, Read(again, Order{.revision = again}));
  CHECK_FALSE(HasMove(ServiceOf(carried)));
  CHECK(ServiceOf(carried).rows(1).weight() ==
        (state == State::kDone ? kFullWeight : 0));
  CHECK(carried.carried_moves() == 2);
  const Batch lost = CarryMoves(in_force, Read(again, std::nullopt));
  CHECK_FALSE(HasMove(ServiceOf(lost)));
  CHECK(ServiceOf(lost).rows_size() == 2);
}

// Guards against an order that the lost one had replaced: it would move the
// service back until the operators' next write.
TEST_CASE("An order that was replaced by the lost one starts no move") {
  const Order old{.revision = MakeRevision(1, 80), .to_version = "v1"};
  const Batch carried =
      CarryMoves(InForce(State::kRunning), Read(MakeRevision(1, 90), old));
  CHECK(ServiceOf(carried).move_revision() == kOrdered);
  CHECK(ServiceOf(carried).rows(1).version() == "v2");
  const Order next{.revision = MakeRevision(1, 96), .to_version = "v3"};
  const Batch moved = CarryMoves(carried, Read(next.revision, next));
  CHECK(ServiceOf(moved).move_revision() == next.revision);
  CHECK(moved.carried_moves() == 0);
}

// Guards against nodes that hold different batches of one revision, as each
// carried what it knew.
TEST_CASE("Nodes that carry more add to what others have carried") {
  const uint64_t again = MakeRevision(1, 92);
  const Batch read = Read(again, Order{.revision = again});
  const Batch by_ended = CarryMoves(InForce(State::kDone), read);
  const Batch by_running = CarryMoves(InForce(State::kRunning), read);
  CHECK(IsNewer(StampOf(by_ended), StampOf(by_running)));
  CHECK(BatchDigest(CarryMoves(InForce(State::kDone), by_running)) ==
        BatchDigest(by_ended));
  CHECK(BatchDigest(CarryMoves(InForce(State::kRunning), by_ended)) ==
        BatchDigest(by_ended));
}

}  // namespace
}  // namespace kumquatmoor
