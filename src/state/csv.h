#ifndef KUMQUATMOOR_STATE_CSV_H_
#define KUMQUATMOOR_STATE_CSV_H_

// Splits CSV text (RFC 4180) into records and cells.
//
//   const CsvText csv = SplitCsv(text);
//   if (csv.unclosed_quote_line > 0) return Report(csv.unclosed_quote_line);
//   for (const CsvRecord& record : csv.records) ...
//
// All functions are pure and may be called from any thread.

#include <string>
#include <string_view>
#include <vector>

namespace kumquatmoor {

struct CsvRecord {
  size_t line = 0;  // Line on which the record starts, from 1.
  std::vector<std::string> cells;
};

struct CsvText {
  std::vector<CsvRecord> records;  // Without records whose cells are empty.
  // Line on which a quoted cell starts that does not end; 0 if there is none.
  size_t unclosed_quote_line = 0;
};

// Accepts a byte order mark, CRLF, LF, and quoted cells with line breaks.
CsvText SplitCsv(std::string_view text);

// Returns `cell`, in quotes if it contains a comma, a quote or a line break.
std::string QuoteCsv(std::string_view cell);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_CSV_H_
