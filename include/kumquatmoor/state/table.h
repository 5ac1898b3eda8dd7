#ifndef KUMQUATMOOR_STATE_TABLE_H_
#define KUMQUATMOOR_STATE_TABLE_H_

// The operators' table of traffic weights and limits: one row for each version
// of a service, read from and written to CSV as spreadsheets save it.
//
//   ParsedTable parsed = ParseCsv(text, now_ms);
//   if (!parsed.problems.empty()) return Report(parsed.problems);
//   std::vector<Problem> problems = CheckTable(parsed.rows, current, now_ms);
//
// Columns: service, version, weight, max_concurrent, max_rate, move_by and
// optionally revision, in any order; the first three are required. `weight` is
// a percentage; the weights of a service add up to 100. Empty limits mean no
// limit. `move_by` is the deadline for the shift of traffic to the new weights:
// "2026-05-01 12:00:00" or "2026-05-01T12:00:00Z" (both UTC), or a delay from
// now such as "+30s", "+10m" or "+2h". `revision` is the table revision that
// the operator's copy was taken from: the base of the three-way merge by
// MergeTables, which keeps concurrent changes of other operators.
//
// All functions are pure and may be called from any thread.

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
  size_t line = 0;              // Line in the CSV, for messages.

  // Compares the cells, not the line.
  bool HasSameCells(const TableRow& other) const;
};

struct Problem {
  size_t line = 0;  // 0: the problem concerns the whole table.
  std::string column;
  std::string message;
};

// Formats a problem as "line 3, column weight: ...".
std::string ProblemText(const Problem& problem);

struct ParsedTable {
  std::vector<TableRow> rows;
  std::optional<uint64_t> revision;  // Set if a row has a revision.
  std::vector<Problem> problems;
};

// Parses a table. `now_ms` is the Unix time that delays in `move_by` count
// from. Reports all problems, not only the first; a row with a problem is left
// out of `rows`.
ParsedTable ParseCsv(std::string_view text, int64_t now_ms);

// Writes CSV with a header and CRLF line ends, and `revision` in each row.
std::string WriteCsv(std::span<const TableRow> rows, uint64_t revision);

// The rows of `batch` that operators see, sorted by service and version.
// Retiring rows are left out.
std::vector<TableRow> RowsOf(const Batch& batch);

// Returns every reason to refuse `rows` as the successor of `current`. Only
// services in `removable` may be missing from the table.
std::vector<Problem> CheckTable(std::span<const TableRow> rows,
                                const Batch& current, int64_t now_ms,
                                std::span<const std::string> removable = {});

struct MergedTable {
  std::vector<TableRow> rows;
  std::vector<Problem> conflicts;
};

// Three-way merge by row: applies the changes from `base` to `mine` to
// `theirs`. A row that both sides changed differently is a conflict; it is left
// out of `rows`.
MergedTable MergeTables(std::span<const TableRow> base,
                        std::span<const TableRow> mine,
                        std::span<const TableRow> theirs);

// Returns one line for each removed ("- service/version ...") or added
// ("+ service/version ...") row; a changed row gives both.
std::vector<std::string> DiffTables(std::span<const TableRow> before,
                                    std::span<const TableRow> after);

// Formats a Unix time as "2026-05-01T12:00:00Z"; 0 as "".
std::string FormatTime(int64_t unix_ms);

// Parses a time or a delay from `now_ms`, in the forms of `move_by` above, to
// Unix time in milliseconds. Returns nullopt for any other text.
std::optional<int64_t> ParseTime(std::string_view text, int64_t now_ms);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_TABLE_H_
