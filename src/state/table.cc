// Parsing continues after a problem, so that the operator gets all problems at
// once. A row with an invalid cell is left out of `rows` and reported in
// `problems`.

#include "kumquatmoor/state/table.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <map>
#include <set>
#include <utility>

#include "state/csv.h"
#include "state/row_index.h"

namespace kumquatmoor {
namespace {

constexpr std::array<std::string_view, 7> kColumns = {
    "service",  "version", "weight",  "max_concurrent",
    "max_rate", "move_by", "revision"};
constexpr size_t kRequiredColumns = 3;  // The first ones of kColumns.
constexpr size_t kMaxNameBytes = 64;

bool IsName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes) return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::string Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  const size_t last = text.find_last_not_of(" \t");
  return std::string(text.substr(first, last - first + 1));
}

// Parses the cells of one record into a row of `table`, or into problems.
// `index` gives the cell of each column in the header.
class RowReader {
 public:
  RowReader(const CsvRecord& record, const std::map<std::string, size_t>& index,
            int64_t now_ms, ParsedTable* table)
      : m_record(record), m_index(index), m_now_ms(now_ms), m_table(table) {}

  void Read() {
    TableRow row;
    row.line = m_record.line;
    row.service = ParseNameCell("service");
    row.version = ParseNameCell("version");
    row.weight = ParseNumberCell("weight", kFullWeight);
    row.max_concurrent = ParseNumberCell("max_concurrent", kMaxRowLimit);
    row.max_rate = ParseNumberCell("max_rate", kMaxRowLimit);
    row.move_by_ms = ParseTimeCell("move_by");
    ReadRevision();
    if (m_record.cells.size() > m_index.size()) {
      Report("", "more cells than the header has columns");
    }
    if (m_valid) m_table->rows.push_back(std::move(row));
  }

 private:
  std::string Cell(const std::string& column) const {
    auto found = m_index.find(column);
    if (found == m_index.end()) return {};
    if (found->second >= m_record.cells.size()) return {};
    return Trim(m_record.cells[found->second]);
  }

  void Report(const std::string& column, std::string message) {
    m_valid = false;
    m_table->problems.push_back({.line = m_record.line,
                                 .column = column,
                                 .message = std::move(message)});
  }

  std::string ParseNameCell(const std::string& column) {
    std::string name = Cell(column);
    if (!IsName(name)) {
      Report(column, fmt::format("\"{}\" is not a name of 1 to {} letters, "
                                 "digits, '-', '_' or '.'",
                                 name.substr(0, kMaxNameBytes), kMaxNameBytes));
    }
    return name;
  }

  uint32_t ParseNumberCell(const std::string& column, uint32_t maximum) {
    const std::string cell = Cell(column);
    if (cell.empty()) return 0;
    const auto number = ParseNumber<uint32_t>(cell);
    if (number && *number <= maximum) return *number;
    Report(column, fmt::format("\"{}\" is not a whole number from 0 to {}",
                               cell.substr(0, kMaxNameBytes), maximum));
    return 0;
  }

  int64_t ParseTimeCell(const std::string& column) {
    const std::string cell = Cell(column);
    if (cell.empty()) return 0;
    if (auto time = ParseTime(cell, m_now_ms)) return *time;
    Report(column, fmt::format("\"{}\" is not a time such as "
                               "2026-05-01 12:00:00 or +30s",
                               cell.substr(0, kMaxNameBytes)));
    return 0;
  }

  void ReadRevision() {
    const std::string cell = Cell("revision");
    if (cell.empty()) return;
    const auto revision = ParseNumber<uint64_t>(cell);
    if (!revision) {
      Report("revision", fmt::format("\"{}\" is not a revision",
                                     cell.substr(0, kMaxNameBytes)));
    } else if (m_table->revision && *m_table->revision != *revision) {
      Report("revision", "differs from the revision of the rows above");
    } else {
      m_table->revision = *revision;
    }
  }

  const CsvRecord& m_record;
  const std::map<std::string, size_t>& m_index;
  int64_t m_now_ms;
  ParsedTable* m_table;
  bool m_valid = true;
};

// Returns the position of each column, by name.
std::map<std::string, size_t> ReadHeader(const CsvRecord& record,
                                         std::vector<Problem>* problems) {
  std::map<std::string, size_t> index;
  for (size_t i = 0; i < record.cells.size(); ++i) {
    const std::string name = Trim(record.cells[i]);
    if (std::find(kColumns.begin(), kColumns.end(), name) == kColumns.end()) {
      problems->push_back({.line = record.line,
                           .column = name.substr(0, kMaxNameBytes),
                           .message = "there is no such column"});
    } else if (!index.emplace(name, i).second) {
      problems->push_back({.line = record.line,
                           .column = name,
                           .message = "the column is named twice"});
    }
  }
  for (size_t i = 0; i < kRequiredColumns; ++i) {
    const std::string name(kColumns[i]);
    if (index.count(name) > 0) continue;
    problems->push_back({.line = record.line,
                         .column = name,
                         .message = "the column is missing"});
  }
  return index;
}

void CheckWeights(std::span<const TableRow> rows,
                  std::vector<Problem>* problems) {
  std::map<std::string, std::pair<uint32_t, size_t>> sums;
  for (const auto& row : rows) {
    auto& [sum, line] = sums[row.service];
    sum += row.weight;
    line = row.line;
  }
  for (const auto& [service, sum_and_line] : sums) {
    const auto& [sum, line] = sum_and_line;
    if (sum == kFullWeight) continue;
    problems->push_back({.line = line,
                         .column = "weight",
                         .message = fmt::format(
                             "the weights of service {} add up to {}, not {}",
                             service, sum, kFullWeight)});
  }
}

}  // namespace

bool TableRow::HasSameCells(const TableRow& other) const {
  return service == other.service && version == other.version &&
         weight == other.weight && max_concurrent == other.max_concurrent &&
         max_rate == other.max_rate && move_by_ms == other.move_by_ms;
}

std::string ProblemText(const Problem& problem) {
  std::string text;
  if (problem.line > 0) text += fmt::format("line {}, ", problem.line);
  if (!problem.column.empty())
    text += fmt::format("column {}: ", problem.column);
  return text + problem.message;
}

std::string FormatTime(int64_t unix_ms) {
  if (unix_ms == 0) return {};
  const std::time_t seconds = unix_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const size_t size =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text.data(), size};
}

std::optional<int64_t> ParseTime(std::string_view text, int64_t now_ms) {
  if (text.size() >= 3 && text.front() == '+') {
    static const std::map<char, int64_t> kUnitMs = {
        {'s', 1000}, {'m', 60'000}, {'h', 3'600'000}};
    const auto unit = kUnitMs.find(text.back());
    const auto count = ParseNumber<uint32_t>(text.substr(1, text.size() - 2));
    if (unit == kUnitMs.end() || !count) return std::nullopt;
    return now_ms + *count * unit->second;
  }
  const std::string copy(text);
  std::tm parts{};
  for (const char* form : {"%Y-%m-%dT%H:%M:%SZ", "%Y-%m-%d %H:%M:%S"}) {
    const char* end = strptime(copy.c_str(), form, &parts);
    if (end != nullptr && *end == '\0') return timegm(&parts) * 1000LL;
  }
  return std::nullopt;
}

ParsedTable ParseCsv(std::string_view text, int64_t now_ms) {
  ParsedTable table;
  const CsvText csv = SplitCsv(text);
  if (csv.unclosed_quote_line > 0) {
    table.problems.push_back({.line = csv.unclosed_quote_line,
                              .column = "",
                              .message = "a quote is not closed"});
    return table;
  }
  if (csv.records.empty()) {
    table.problems.push_back(
        {.line = 0, .column = "", .message = "the table is empty"});
    return table;
  }
  const auto index = ReadHeader(csv.records.front(), &table.problems);
  if (!table.problems.empty()) return table;
  for (size_t i = 1; i < csv.records.size(); ++i) {
    RowReader(csv.records[i], index, now_ms, &table).Read();
  }
  return table;
}

std::string WriteCsv(std::span<const TableRow> rows, uint64_t revision) {
  std::string text =
      "service,version,weight,max_concurrent,max_rate,move_by,revision\r\n";
  const auto limit = [](uint32_t number) {
    return number == 0 ? std::string() : std::to_string(number);
  };
  for (const auto& row : rows) {
    text += fmt::format("{},{},{},{},{},{},{}\r\n", QuoteCsv(row.service),
                        QuoteCsv(row.version), row.weight,
                        limit(row.max_concurrent), limit(row.max_rate),
                        FormatTime(row.move_by_ms), revision);
  }
  return text;
}

std::vector<TableRow> RowsOf(const Batch& batch) {
  std::vector<TableRow> rows;
  for (const auto& service : batch.services()) {
    for (const auto& row : service.rows()) {
      if (row.retiring()) continue;
      rows.push_back({.service = service.service(),
                      .version = row.version(),
                      .weight = row.weight(),
                      .max_concurrent = row.max_concurrent(),
                      .max_rate = row.max_rate(),
                      .move_by_ms = row.move_by_ms(),
                      .line = 0});
    }
  }
  return rows;
}

std::vector<Problem> CheckTable(std::span<const TableRow> rows,
                                const Batch& current, int64_t now_ms,
                                std::span<const std::string> removable) {
  std::vector<Problem> problems;
  const std::vector<TableRow> before = RowsOf(current);
  const auto old_rows = IndexRows(before);
  std::set<RowKey> seen;
  std::set<std::string> services;
  for (const auto& row : rows) {
    services.insert(row.service);
    if (!seen.insert(KeyOf(row)).second) {
      problems.push_back({.line = row.line,
                          .column = "version",
                          .message = fmt::format("{}/{} is named twice",
                                                 row.service, row.version)});
    }
    const TableRow* old_row = FindRow(old_rows, KeyOf(row));
    const bool changed = old_row == nullptr || !old_row->HasSameCells(row);
    if (changed && row.move_by_ms != 0 && row.move_by_ms <= now_ms) {
      problems.push_back({.line = row.line,
                          .column = "move_by",
                          .message = fmt::format("the deadline {} is past",
                                                 FormatTime(row.move_by_ms))});
    }
  }
  CheckWeights(rows, &problems);
  for (const auto& service : current.services()) {
    const std::string& name = service.service();
    if (services.count(name) > 0) continue;
    if (std::find(removable.begin(), removable.end(), name) !=
        removable.end()) {
      continue;
    }
    problems.push_back(
        {.line = 0,
         .column = "service",
         .message = fmt::format("service {} has no row left", name)});
  }
  return problems;
}

}  // namespace kumquatmoor
