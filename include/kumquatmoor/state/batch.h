#ifndef KUMQUATMOOR_STATE_BATCH_H_
#define KUMQUATMOOR_STATE_BATCH_H_

// Builds, checks and compares batches: the unit in which configuration is
// accepted, distributed and applied.
//
//   Batch next = BuildBatch(current, rows, marks, {.write_id = id, ...});
//   BatchDelta delta = MakeDelta(current, next);
//   std::optional<Batch> same = ApplyDelta(current, delta);  // == next
//
// All functions are pure and safe from any thread.

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

// A row with this version stands for every version without a row of its own.
inline constexpr char kAnyOtherVersion[] = "*";

struct BuildOptions {
  std::string write_id;
  std::string author;
  std::string base_key;  // Platform key of the current batch.
  int64_t now_ms = 0;
};

// The batch after `current` with the table `rows`. A service whose rows differ
// starts a new move from the weights that are in force now: the old goal if
// its move is done, the weights before its move if not. A version that left
// the table but still carries traffic stays as a retiring row.
Batch BuildBatch(const Batch& current, std::span<const TableRow> rows,
                 const MarkSet& marks, const BuildOptions& options);

// Equal for equal batches.
uint64_t BatchDigest(const Batch& batch);

BatchDelta MakeDelta(const Batch& from, const Batch& to);

// The batch that `delta` makes of `base`, or nothing if `base` is not what the
// delta was made from or the result is not what its digest promises.
std::optional<Batch> ApplyDelta(const Batch& base, const BatchDelta& delta);

// Every reason not to apply `batch`.
std::vector<std::string> CheckBatch(const Batch& batch);

const ServiceConfig* FindService(const Batch& batch, std::string_view service);

// True if the rows ask for other weights than those before the move.
bool HasMove(const ServiceConfig& config);

// True if `row` gains traffic by its move.
inline bool IsCanary(const Row& row) {
  return row.weight() > row.from_weight();
}

// The latest deadline among the rising rows, 0 if none has one.
int64_t MoveDeadline(const ServiceConfig& config);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_BATCH_H_
