// The move in force of a service and the service as it was read are compared by
// two revisions: `move_revision` identifies the move and its marks, while
// `order_revision` is that of its order as the store has it. Both are equal
// until the store comes back from an older copy.

#include "kumquatmoor/state/carried_moves.h"

#include <algorithm>
#include <cstdint>

#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/store_revision.h"

namespace kumquatmoor {
namespace {

// Revision at which the order was last known to be in the store.
uint64_t OrderRevision(const ServiceConfig& config) {
  return config.order_revision() > 0 ? config.order_revision()
                                     : config.move_revision();
}

// True if both are moves to the same versions within the same time.
bool IsSameOrder(const ServiceConfig& a, const ServiceConfig& b) {
  if (a.move_within_ms() != b.move_within_ms()) return false;
  return std::equal(
      a.rows().begin(), a.rows().end(), b.rows().begin(), b.rows().end(),
      [](const Row& x, const Row& y) { return x.version() == y.version(); });
}

// True if the store lacks the order of `move`: it has none for the service, or
// only an earlier one, which the order of `move` had replaced.
bool IsOrderLost(const ServiceConfig& move, const ServiceConfig& read,
                 uint64_t generation) {
  if (GenerationOf(OrderRevision(move)) >= generation) return false;
  if (read.order_revision() == 0) return true;
  return !IsSameOrder(move, read) && StoreRevisionOf(read.order_revision()) <
                                         StoreRevisionOf(OrderRevision(move));
}

// True if the order of `read` is that of `move`, perhaps written again.
bool IsOrderOf(const ServiceConfig& move, const ServiceConfig& read,
               uint64_t generation) {
  if (read.order_revision() == 0) return false;
  if (read.order_revision() == move.order_revision()) return true;
  return GenerationOf(OrderRevision(move)) < generation &&
         IsSameOrder(move, read);
}

void SetMoveRevision(uint64_t revision, ServiceConfig* config) {
  config->set_move_revision(revision);
  // Nodes that carry the same move must build the same rows.
  for (auto& row : *config->mutable_rows()) row.set_revision(revision);
}

// Replaces the rows and the duration of `read` by those of `move`.
void KeepRows(const ServiceConfig& move, ServiceConfig* read) {
  *read->mutable_rows() = move.rows();
  read->set_accepted_ms(move.accepted_ms());
  read->set_move_within_ms(move.move_within_ms());
}

// Returns how many things `read` takes over: the move and its outcome.
uint32_t CarryMove(const ServiceConfig& move, uint64_t generation,
                   ServiceConfig* read) {
  if (move.move_revision() == 0) return 0;
  if (GenerationOf(move.move_revision()) >= generation) return 0;
  const bool is_carried = read->move_revision() == move.move_revision();
  const bool is_lost = !is_carried && IsOrderLost(move, *read, generation);
  if (!is_carried && !is_lost && !IsOrderOf(move, *read, generation)) return 0;
  const bool has_ended = !HasMove(move);
  const bool is_outcome_lost = has_ended && (is_lost || HasMove(*read));
  if (is_lost || is_outcome_lost) KeepRows(move, read);
  if (is_lost) read->clear_order_revision();
  SetMoveRevision(move.move_revision(), read);
  return (is_carried ? 0 : 1) + (is_outcome_lost ? 1 : 0);
}

}  // namespace

Batch CarryMoves(const Batch& in_force, Batch read) {
  const uint64_t generation = GenerationOf(read.revision());
  if (generation == 0) return read;
  uint32_t carried = read.carried_moves();
  for (auto& config : *read.mutable_services()) {
    const ServiceConfig* move = FindService(in_force, config.service());
    if (move != nullptr) carried += CarryMove(*move, generation, &config);
  }
  read.set_carried_moves(carried);
  return read;
}

}  // namespace kumquatmoor
