#ifndef KUMQUATMOOR_COORDINATION_TABLE_STORE_H_
#define KUMQUATMOOR_COORDINATION_TABLE_STORE_H_

// TableStore: the operators' table on the platform.
//
//   TableStore store(&platform);
//   ApplyOutcome outcome = store.Apply({.rows = rows, .write_id = id, ...});
//   std::visit(printer, outcome);
//
// Keys: `batch/<revision>-<write id>` holds an immutable batch; `head` names
// the accepted one and the latest before it; `marks` holds the progress of
// moves. A batch is accepted at the moment when `head` names it. Calls block.
// As thread-safe as the platform.

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

// One accepted batch, as `head` lists it.
struct HeadEntry {
  uint64_t revision = 0;
  std::string key;
  std::string write_id;
  std::string author;
  int64_t written_ms = 0;
};

struct Head {
  // Newest first. Batches that drop out of the list are deleted.
  static constexpr size_t kLength = 64;

  std::vector<HeadEntry> entries;
  uint64_t version = 0;  // Of the key on the platform.

  uint64_t Revision() const {
    return entries.empty() ? 0 : entries.front().revision;
  }
  const HeadEntry* FindWrite(const std::string& write_id) const;
};

std::string FormatHead(const Head& head);
Result<Head> ParseHead(const PlatformEntry& entry);

// How an Apply ended.
struct Accepted {
  Batch batch;
};
struct NothingToDo {
  uint64_t revision = 0;
};
struct Refused {
  std::vector<Problem> problems;  // Nothing was written.
};
struct NotAccepted {
  std::string reason;  // The platform could not be reached in time.
};
struct OutcomeUnknown {
  std::string write_id;  // What to ask for later.
  std::string reason;
};
using ApplyOutcome =
    std::variant<Accepted, NothingToDo, Refused, NotAccepted, OutcomeUnknown>;

struct ApplyRequest {
  std::vector<TableRow> rows;
  // Revision that the operator's copy was taken from; the one in force if
  // not known.
  std::optional<uint64_t> copied_from;
  std::vector<std::string> removable;  // Services that may be left out.
  std::string write_id;                // Unique for this request.
  std::string author;
  int64_t now_ms = 0;
  // Highest revision that a node is known to hold. A head below it was
  // restored from an old copy, and nothing is written on top of it.
  uint64_t known_revision = 0;
  // What nodes know of moves, beyond what the platform has.
  std::vector<MoveMark> known_marks;
};

class TableStore {
 public:
  // Waits `retry_pause` before it repeats a call that failed.
  explicit TableStore(
      Platform* platform,
      std::chrono::milliseconds retry_pause = std::chrono::milliseconds(100))
      : m_platform(platform), m_retry_pause(retry_pause) {}

  Result<Head> ReadHead();
  Result<Batch> ReadBatch(const std::string& key);
  // The batch in force; an empty one before the first is accepted.
  Result<Batch> ReadCurrent();
  ApplyOutcome Apply(const ApplyRequest& request);

  Result<MarkSet> ReadMarks();
  // Joins `marks` into those on the platform; writes only if that adds some.
  Result<bool> MergeMarks(const MarkSet& marks, const Batch& batch);

 private:
  struct Base;

  Result<Base> ReadSnapshot();
  Result<std::vector<TableRow>> RowsAt(const Base& base, uint64_t revision);
  Result<ApplyOutcome> TryApply(const ApplyRequest& request, bool* retry);
  Result<ApplyOutcome> Write(const ApplyRequest& request, const Base& base,
                             Batch batch, bool* retry);
  ApplyOutcome ResolveUnknownSwap(const ApplyRequest& request, const Head& next,
                                  const Batch& batch, bool* retry);

  Platform* m_platform;
  std::chrono::milliseconds m_retry_pause;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_TABLE_STORE_H_
