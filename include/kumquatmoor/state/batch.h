#ifndef KUMQUATMOOR_STATE_BATCH_H_
#define KUMQUATMOOR_STATE_BATCH_H_

// Builds, checks and compares batches. A batch is an immutable, numbered
// snapshot of the whole configuration: the unit in which configuration is
// accepted, distributed and applied.
//
//   Batch next = BuildBatch(current, rows, marks, {.write_id = id, ...});
//   BatchDelta delta = MakeDelta(current, next);
//   std::optional<Batch> same = ApplyDelta(current, delta);  // == next
//
// A move is a progressive rollout: the gradual shift of a service's traffic
// from the weights in force to new ones, in stages (see marks.h). Each row of
// the service has both: `from_weight` before the move and the goal `weight`.
// - A canary version gains traffic by the move.
// - An outgoing version loses its whole share by the move.
// - The baseline versions are those that the canary versions are compared with.
//
// All functions are pure and may be called from any thread.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/state/marks.h"
#include "kumquatmoor/state/table.h"

namespace kumquatmoor {

// The version of a row that applies to every version without a row of its own.
inline constexpr char kAnyOtherVersion[] = "*";

struct BuildOptions {
  std::string write_id;
  std::string author;
  std::string base_key;  // Platform key of the current batch.
  int64_t now_ms = 0;
};

// Returns the successor of `current` with the table `rows`. A service whose
// rows changed starts a new move from the weights in force: the goal of its
// previous move if `marks` show that move complete, otherwise the weights
// before that move. A version that was removed from the table but still has
// traffic stays as a retiring row.
Batch BuildBatch(const Batch& current, std::span<const TableRow> rows,
                 const MarkSet& marks, const BuildOptions& options);

// A hash of the contents: equal batches have equal digests.
uint64_t BatchDigest(const Batch& batch);

// A hash, never 0, of what decides how requests are handled: routes, limits and
// moves. A batch that only records that a move has started or is complete has
// the same one as the batch before.
uint64_t DecisionDigest(const Batch& batch);

// Returns the delta that turns `from` into `to`.
BatchDelta MakeDelta(const Batch& from, const Batch& to);

// Applies `delta` to `base`. Returns nullopt if `base` has another revision
// than the delta was made from, or if the result does not match the digest in
// the delta.
std::optional<Batch> ApplyDelta(const Batch& base, const BatchDelta& delta);

// Returns every reason not to apply `batch`; empty if it is valid.
std::vector<std::string> CheckBatch(const Batch& batch);

// Returns the configuration of `service`, or nullptr if `batch` has none. The
// services of `batch` must be sorted by name. `batch` keeps ownership.
const ServiceConfig* FindService(const Batch& batch, std::string_view service);

// True if a version gains traffic by the latest move of the service. False if
// the change left the weights as they were, such as a change of limits.
bool HasMove(const ServiceConfig& config);

// True if `row` is of a canary version.
inline bool IsCanary(const Row& row) {
  return row.weight() > row.from_weight();
}

// The latest deadline of the canary versions, in Unix time in milliseconds; 0
// if none has a deadline.
int64_t MoveDeadline(const ServiceConfig& config);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_BATCH_H_
