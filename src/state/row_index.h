#ifndef KUMQUATMOOR_SRC_STATE_ROW_INDEX_H_
#define KUMQUATMOOR_SRC_STATE_ROW_INDEX_H_

// The rows of a table by service and version.

#include <map>
#include <span>
#include <string>
#include <utility>

#include "kumquatmoor/state/table.h"

namespace kumquatmoor {

using RowKey = std::pair<std::string, std::string>;
using RowIndex = std::map<RowKey, const TableRow*>;

inline RowKey KeyOf(const TableRow& row) { return {row.service, row.version}; }

inline RowIndex IndexRows(std::span<const TableRow> rows) {
  RowIndex index;
  for (const auto& row : rows) index[KeyOf(row)] = &row;
  return index;
}

// Null if there is no such row.
inline const TableRow* FindRow(const RowIndex& index, const RowKey& key) {
  auto found = index.find(key);
  return found == index.end() ? nullptr : found->second;
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_STATE_ROW_INDEX_H_
