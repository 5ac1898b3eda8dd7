#ifndef KUMQUATMOOR_STATE_CARRIED_MOVES_H_
#define KUMQUATMOOR_STATE_CARRIED_MOVES_H_

// Keeps moves that the store has lost.
//
//   Batch next = CarryMoves(in_force, read);
//
// A store that comes back from an older copy may lack the order of a move, have
// it under another revision, or lack the move's outcome, until it is written
// again. A batch that is read then would end the move, start it anew, or run a
// completed one again.

#include "control.pb.h"

namespace kumquatmoor {

// Returns `read` with the moves of `in_force` that are of an earlier generation
// of the store than `read`:
// - If `read` has no order of the service, or only one that is older than that
//   of the move, the service keeps its move.
// - If `read` has the same order, to the same versions within the same time,
//   under another revision, the service keeps its move revision, and with it
//   the progress of the move. A move that has ended stays ended.
// - Another order starts a new move.
// Sets `carried_moves`. The batches are sorted by service.
Batch CarryMoves(const Batch& in_force, Batch read);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_CARRIED_MOVES_H_
