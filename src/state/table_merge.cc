// Both compare rows by their key. A row that only one side has changed since
// the base is taken from that side; one that both have changed differently is a
// conflict.

#include <spdlog/fmt/fmt.h>

#include <set>
#include <string>
#include <vector>

#include "kumquatmoor/state/table.h"
#include "state/row_index.h"

namespace kumquatmoor {
namespace {

std::string RowText(const TableRow& row) {
  return fmt::format("{}/{} weight={} max_concurrent={} max_rate={} move_by={}",
                     row.service, row.version, row.weight, row.max_concurrent,
                     row.max_rate, FormatTime(row.move_by_ms));
}

}  // namespace

MergedTable MergeTables(std::span<const TableRow> base,
                        std::span<const TableRow> mine,
                        std::span<const TableRow> theirs) {
  const auto base_rows = IndexRows(base);
  const auto my_rows = IndexRows(mine);
  const auto their_rows = IndexRows(theirs);
  std::set<RowKey> keys;
  for (const auto* index : {&base_rows, &my_rows, &their_rows}) {
    for (const auto& [key, row] : *index) keys.insert(key);
  }
  const auto same = [](const TableRow* a, const TableRow* b) {
    if (a == nullptr || b == nullptr) return a == b;
    return a->HasSameCells(*b);
  };
  MergedTable merged;
  for (const auto& key : keys) {
    const TableRow* old_row = FindRow(base_rows, key);
    const TableRow* my_row = FindRow(my_rows, key);
    const TableRow* their_row = FindRow(their_rows, key);
    const bool mine_changed = !same(my_row, old_row);
    const bool theirs_changed = !same(their_row, old_row);
    if (mine_changed && theirs_changed && !same(my_row, their_row)) {
      merged.conflicts.push_back(
          {.line = my_row == nullptr ? 0 : my_row->line,
           .column = "",
           .message = fmt::format(
               "{}/{} was changed by somebody else: {}", key.first, key.second,
               their_row == nullptr ? "removed" : RowText(*their_row))});
      continue;
    }
    const TableRow* kept = mine_changed ? my_row : their_row;
    if (kept != nullptr) merged.rows.push_back(*kept);
  }
  return merged;
}

std::vector<std::string> DiffTables(std::span<const TableRow> before,
                                    std::span<const TableRow> after) {
  const auto old_rows = IndexRows(before);
  const auto new_rows = IndexRows(after);
  std::vector<std::string> lines;
  for (const auto& [key, row] : old_rows) {
    const TableRow* now = FindRow(new_rows, key);
    if (now == nullptr || !now->HasSameCells(*row)) {
      lines.push_back("- " + RowText(*row));
    }
    if (now != nullptr && !now->HasSameCells(*row)) {
      lines.push_back("+ " + RowText(*now));
    }
  }
  for (const auto& [key, row] : new_rows) {
    if (old_rows.count(key) == 0) lines.push_back("+ " + RowText(*row));
  }
  return lines;
}

}  // namespace kumquatmoor
