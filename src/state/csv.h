#ifndef KUMQUATMOOR_STATE_CSV_H_
#define KUMQUATMOOR_STATE_CSV_H_

// Splits CSV text (RFC 4180) into cells.

#include <string>
#include <string_view>
#include <vector>

namespace kumquatmoor {

struct CsvRecord {
  size_t line = 0;  // Line on which the record starts, from 1.
  std::vector<std::string> cells;
};

struct CsvText {
  std::vector<CsvRecord> records;  // Blank lines are left out.
  size_t unclosed_quote_line = 0;  // 0: every quote is closed.
};

// Accepts a byte order mark, CRLF, LF, and quoted cells with line breaks.
CsvText SplitCsv(std::string_view text);

// `cell`, quoted if it needs quotes.
std::string QuoteCsv(std::string_view cell);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_CSV_H_
