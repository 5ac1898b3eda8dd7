#ifndef KUMQUATMOOR_STATE_CARRIED_MOVES_H_
#define KUMQUATMOOR_STATE_CARRIED_MOVES_H_

// Keeps moves that the store has lost.
//
//   Batch next = CarryMoves(in_force, replaced, read);
//   NoteReplacedMoves(in_force, next, &replaced);
//
// A store that comes back from an older copy may lack the order of a move, have
// it under another revision, or lack the move's outcome, until it is written
// again. A batch that is read then would end the move, start it anew, or run a
// completed one again.

#include <cstddef>
#include <map>
#include <string>

#include "control.pb.h"

namespace kumquatmoor {

// By service, the move before the one in force. A copy of the store may bring
// its order back.
using ReplacedMoves = std::map<std::string, ServiceConfig>;

// Returns `read` with the moves of `in_force` that are of an earlier generation
// of the store than `read`:
// - If `read` has no order of the service, or that of the move in `replaced`,
//   the service keeps its move.
// - If `read` has the same order, to the same versions within the same time,
//   under another revision, the service keeps its move revision, and with it
//   the progress of the move. A move that has ended stays ended.
// - Another order starts a new move.
// `read` may have carried moves itself, as another node gives it. Of two
// carried moves of a service, the one with the higher move revision is kept,
// then the one that has ended. `carried_weight` grows with each choice, so that
// nodes that carry different moves end with the same batch, whichever reads
// first. The batches are sorted by service.
Batch CarryMoves(const Batch& in_force, const ReplacedMoves& replaced,
                 Batch read);

// The number of moves of `batch` that are of an earlier generation of the
// store.
size_t CountCarriedMoves(const Batch& batch);

// Adds the moves of `before` that `after` replaces by others, and removes those
// of services that `after` lacks.
void NoteReplacedMoves(const Batch& before, const Batch& after,
                       ReplacedMoves* replaced);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_CARRIED_MOVES_H_
