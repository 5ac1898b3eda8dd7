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

// True if `read` has the order of `replaced` as a copy of the store has it:
// under the revision that it had, in a later generation.
bool IsCopyOf(const ServiceConfig& replaced, const ServiceConfig& read) {
  return IsSameOrder(replaced, read) &&
         StoreRevisionOf(OrderRevision(replaced)) ==
             StoreRevisionOf(read.order_revision());
}

// True if the store lacks the order of `move`: it has none for the service, or
// the one before.
bool IsOrderLost(const ServiceConfig& move, const ReplacedMoves& replaced,
                 const ServiceConfig& read, uint64_t generation) {
  if (GenerationOf(OrderRevision(move)) >= generation) return false;
  if (read.order_revision() == 0) return true;
  const auto before = replaced.find(read.service());
  return before != replaced.end() && !IsSameOrder(move, read) &&
         IsCopyOf(before->second, read);
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

bool IsCarried(const ServiceConfig& config, uint64_t generation) {
  return config.move_revision() > 0 &&
         GenerationOf(config.move_revision()) < generation;
}

// Lets `read` keep `move`. Its rows and its duration are taken over if `read`
// has not the same order, or lacks the outcome.
void TakeMove(const ServiceConfig& move, bool is_order_lost,
              ServiceConfig* read) {
  const bool is_outcome_lost = !HasMove(move) && HasMove(*read);
  if (is_order_lost || is_outcome_lost) KeepRows(move, read);
  if (is_order_lost) read->clear_order_revision();
  SetMoveRevision(move.move_revision(), read);
}

void CarryMove(const ServiceConfig& move, const ReplacedMoves& replaced,
               uint64_t generation, ServiceConfig* read) {
  if (!IsCarried(move, generation)) return;
  if (IsCarried(*read, generation)) {
    // Another node has carried a move: the later one is kept.
    const uint64_t later =
        std::max(move.move_revision(), read->move_revision());
    if (IsSameOrder(move, *read)) {
      TakeMove(move, false, read);
      SetMoveRevision(later, read);
    } else if (later == move.move_revision()) {
      TakeMove(move, true, read);
    }
  } else if (IsOrderLost(move, replaced, *read, generation)) {
    TakeMove(move, true, read);
  } else if (IsOrderOf(move, *read, generation)) {
    TakeMove(move, false, read);
  }
}

// Grows with the move revision, then with the end of the move, so that it grows
// whenever CarryMove() changes a service.
uint64_t CarriedWeight(const ServiceConfig& config, uint64_t generation) {
  if (!IsCarried(config, generation)) return 0;
  return 2 * config.move_revision() + (HasMove(config) ? 0 : 1);
}

}  // namespace

Batch CarryMoves(const Batch& in_force, const ReplacedMoves& replaced,
                 Batch read) {
  const uint64_t generation = GenerationOf(read.revision());
  if (generation == 0) return read;
  uint64_t weight = 0;
  for (auto& config : *read.mutable_services()) {
    const ServiceConfig* move = FindService(in_force, config.service());
    if (move != nullptr) CarryMove(*move, replaced, generation, &config);
    const uint64_t added = CarriedWeight(config, generation);
    weight = added > UINT64_MAX - weight ? UINT64_MAX : weight + added;
  }
  read.set_carried_weight(weight);
  return read;
}

size_t CountCarriedMoves(const Batch& batch) {
  const uint64_t generation = GenerationOf(batch.revision());
  return static_cast<size_t>(
      std::count_if(batch.services().begin(), batch.services().end(),
                    [&](const ServiceConfig& config) {
                      return IsCarried(config, generation);
                    }));
}

void NoteReplacedMoves(const Batch& before, const Batch& after,
                       ReplacedMoves* replaced) {
  std::erase_if(*replaced, [&](const auto& entry) {
    return FindService(after, entry.first) == nullptr;
  });
  for (const auto& config : after.services()) {
    const ServiceConfig* move = FindService(before, config.service());
    if (move == nullptr || move->move_revision() == 0) continue;
    if (move->move_revision() == config.move_revision()) continue;
    (*replaced)[config.service()] = *move;
  }
}

}  // namespace kumquatmoor
