#ifndef KUMQUATMOOR_STATE_TABLE_H_
#define KUMQUATMOOR_STATE_TABLE_H_

// The operators' table: rows of (service, version), read from and written to
// CSV as a spreadsheet saves it.
//
//   ParsedTable parsed = ParseCsv(text, now_ms);
//   if (!parsed.problems.empty()) return Report(parsed.problems);
//   std::vector<Problem> problems = CheckTable(parsed.rows, current, now_ms);
//
// Columns: service, version, weight, max_concurrent, max_rate, move_by and
// optionally revision. They may stand in any order. `weight` is a percentage;
// the weights of a service add up to 100. Empty limits mean no limit.
// `move_by` is "2026-05-01 12:00:00" or "2026-05-01T12:00:00Z" (both UTC), or
// a delay from now such as "+30s", "+10m" or "+2h". `revision` is the table
// revision that the copy was taken from; MergeTables uses it to tell apart
// what the operator changed from what somebody else changed since.
//
// All functions are pure and safe from any thread.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"

namespace kumquatmoor {

inline constexpr uint32_t kFullWeight = 100;          // Percent.
inline constexpr uint32_t kMaxRowLimit = 10'000'000;  // Requests.

struct TableRow {
  std::string service;
  std::string version;
  uint32_t weight = 0;          // Percent of the service's traffic.
  uint32_t max_concurrent = 0;  // Requests at once, 0: no limit.
  uint32_t max_rate = 0;        // Requests per second, 0: no limit.
  int64_t move_by_ms = 0;       // Unix time, 0: no deadline.
  size_t line = 0;              // Where it was read, for messages.

  // Compares what an operator can change, not the line.
  bool HasSameCells(const TableRow& other) const;
};

struct Problem {
  size_t line = 0;  // 0: the table as a whole.
  std::string column;
  std::string message;
};

// "line 3, column weight: ..." for people.
std::string ProblemText(const Problem& problem);

struct ParsedTable {
  std::vector<TableRow> rows;
  std::optional<uint64_t> revision;  // Set if the column was there.
  std::vector<Problem> problems;
};

ParsedTable ParseCsv(std::string_view text, int64_t now_ms);

// CSV with a header and CRLF. `revision` is written into each row.
std::string WriteCsv(std::span<const TableRow> rows, uint64_t revision);

// The rows of `batch` that operators see, sorted by service and version.
std::vector<TableRow> RowsOf(const Batch& batch);

// Every reason to refuse `rows` as the successor of `current`. Services in
// `removable` may be left out of the table.
std::vector<Problem> CheckTable(std::span<const TableRow> rows,
                                const Batch& current, int64_t now_ms,
                                std::span<const std::string> removable = {});

struct MergedTable {
  std::vector<TableRow> rows;
  std::vector<Problem> conflicts;
};

// Three-way merge row by row: what changed from `base` to `mine` is applied to
// `theirs`. A row that both changed, differently, is a conflict.
MergedTable MergeTables(std::span<const TableRow> base,
                        std::span<const TableRow> mine,
                        std::span<const TableRow> theirs);

// One line for each difference, as "+ service/version ...".
std::vector<std::string> DiffTables(std::span<const TableRow> before,
                                    std::span<const TableRow> after);

// "2026-05-01T12:00:00Z", or "" for 0.
std::string FormatTime(int64_t unix_ms);

// The time written in `text`; see the top of this file for the forms.
std::optional<int64_t> ParseTime(std::string_view text, int64_t now_ms);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_TABLE_H_
