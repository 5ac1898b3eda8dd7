#ifndef KUMQUATMOOR_COORDINATION_TABLE_STORE_H_
#define KUMQUATMOOR_COORDINATION_TABLE_STORE_H_

// TableStore: reads and writes the operators' table on the platform, with
// optimistic concurrency control.
//
//   TableStore store(&platform);
//   ApplyOutcome outcome = store.Apply({.rows = rows, .write_id = id, ...});
//   std::visit(printer, outcome);
//
// Keys: `batch/<revision>-<write id>` holds an immutable batch; `head` lists
// the current batch and the latest ones before it; `marks` holds the progress
// of moves. A batch is accepted at the moment at which `head` lists it. Calls
// block. Refers to the platform, which must outlive the store. As thread-safe
// as the platform.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/platform.h"
#include "kumquatmoor/protocol/failure.h"
#include "kumquatmoor/state/marks.h"
#include "kumquatmoor/state/table.h"

namespace kumquatmoor {

// One accepted batch in the list of `head`.
struct HeadEntry {
  uint64_t revision = 0;
  std::string key;
  std::string write_id;
  std::string author;
  int64_t written_ms = 0;
};

// The accepted batches, newest first.
struct Head {
  // When the list is longer, the oldest entry is dropped and its batch deleted.
  static constexpr size_t kMaxEntries = 64;

  std::vector<HeadEntry> entries;
  uint64_t version = 0;  // Version of the key `head` on the platform.

  uint64_t Revision() const {
    return entries.empty() ? 0 : entries.front().revision;
  }
  const HeadEntry* FindWrite(const std::string& write_id) const;
};

std::string FormatHead(const Head& head);
Result<Head> ParseHead(const PlatformEntry& entry);

// The outcomes of TableStore::Apply().

// The batch is the current one.
struct Accepted {
  Batch batch;
};
// The table on the platform equals the requested one already.
struct NothingToDo {
  uint64_t revision = 0;  // The current revision.
};
// The request is invalid or conflicts with another write; it has no effect.
struct Refused {
  std::vector<Problem> problems;
};
// The request has no effect, because the platform was unavailable or other
// writes came first each time.
struct NotAccepted {
  std::string reason;
};
// No answer of the platform shows whether the batch is accepted. It may still
// become accepted.
struct OutcomeUnknown {
  std::string write_id;  // Identifies the write in a later Head::FindWrite().
  std::string reason;
};
using ApplyOutcome =
    std::variant<Accepted, NothingToDo, Refused, NotAccepted, OutcomeUnknown>;

struct ApplyRequest {
  std::vector<TableRow> rows;
  // Revision of the table that the operator edited, which is the base of the
  // three-way merge; the current revision if not set.
  std::optional<uint64_t> copied_from;
  // Services that `rows` may leave out, which removes them.
  std::vector<std::string> removable;
  std::string write_id;  // Unique to this request.
  std::string author;
  int64_t now_ms = 0;
  // Highest revision that a node is known to hold. A head with a lower revision
  // was restored from an old backup, and the request is refused.
  uint64_t known_revision = 0;
  // Marks that the nodes hold; they may be newer than those on the platform.
  std::vector<MoveMark> known_marks;
};

class TableStore {
 public:
  // `retry_pause` is the delay before a failed call is repeated.
  explicit TableStore(
      Platform* platform,
      std::chrono::milliseconds retry_pause = std::chrono::milliseconds(100))
      : m_platform(platform), m_retry_pause(retry_pause) {}

  Result<Head> ReadHead();
  Result<Batch> ReadBatch(const std::string& key);
  // Returns the current batch, an empty one before the first is accepted.
  Result<Batch> ReadCurrent();
  // Merges the rows of `request` into the current table, checks the result and
  // writes it as a new batch.
  ApplyOutcome Apply(const ApplyRequest& request);

  Result<MarkSet> ReadMarks();
  // Joins `marks` into those on the platform, and drops marks of moves that
  // `batch` no longer has. Returns true if that changed them.
  Result<bool> MergeMarks(const MarkSet& marks, const Batch& batch);

 private:
  struct Snapshot;

  Result<Snapshot> ReadSnapshot();
  Result<std::vector<TableRow>> RowsAt(const Snapshot& snapshot,
                                       uint64_t revision);
  Result<ApplyOutcome> TryApply(const ApplyRequest& request, bool* retry);
  Result<ApplyOutcome> WriteBatch(const ApplyRequest& request,
                                  const Snapshot& snapshot, Batch batch,
                                  bool* retry);
  ApplyOutcome ResolveUnknownSwap(const ApplyRequest& request, const Head& next,
                                  const Batch& batch, bool* retry);

  Platform* m_platform;
  std::chrono::milliseconds m_retry_pause;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_TABLE_STORE_H_
