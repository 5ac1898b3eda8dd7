// A state machine over the bytes with two states. Inside quotes, only a quote
// is special: a doubled quote stands for one, a lone quote ends the quoted
// part. Outside quotes, a comma ends the cell and a line feed ends the record,
// and a carriage return before a line feed is dropped.

#include "state/csv.h"

#include <algorithm>

namespace kumquatmoor {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

class CsvSplitter {
 public:
  explicit CsvSplitter(std::string_view text) : m_text(text) {}

  CsvText Split() {
    if (m_text.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
      m_position = kByteOrderMark.size();
    }
    m_record.line = m_line;
    for (; m_position < m_text.size(); ++m_position) {
      if (m_quoted) {
        ReadQuoted(m_text[m_position]);
      } else {
        ReadUnquoted(m_text[m_position]);
      }
    }
    if (m_quoted) m_result.unclosed_quote_line = m_quote_line;
    EndRecord();
    return std::move(m_result);
  }

 private:
  bool NextIs(char c) const {
    return m_position + 1 < m_text.size() && m_text[m_position + 1] == c;
  }

  void ReadQuoted(char c) {
    if (c == '\n') ++m_line;
    if (c != '"') {
      m_cell.push_back(c);
    } else if (NextIs('"')) {
      m_cell.push_back('"');
      ++m_position;
    } else {
      m_quoted = false;
    }
  }

  void ReadUnquoted(char c) {
    if (c == '"' && m_cell.empty()) {
      m_quoted = true;
      m_quote_line = m_line;
    } else if (c == ',') {
      EndCell();
    } else if (c == '\n') {
      ++m_line;
      EndRecord();
    } else if (c != '\r' || !NextIs('\n')) {
      m_cell.push_back(c);
    }
  }

  void EndCell() {
    m_record.cells.push_back(std::move(m_cell));
    m_cell.clear();
  }

  void EndRecord() {
    EndCell();
    const bool blank =
        std::all_of(m_record.cells.begin(), m_record.cells.end(),
                    [](const std::string& cell) { return cell.empty(); });
    if (!blank) m_result.records.push_back(std::move(m_record));
    m_record = CsvRecord{.line = m_line, .cells = {}};
  }

  std::string_view m_text;
  size_t m_position = 0;
  size_t m_line = 1;
  size_t m_quote_line = 0;
  bool m_quoted = false;
  std::string m_cell;
  CsvRecord m_record;
  CsvText m_result;
};

}  // namespace

CsvText SplitCsv(std::string_view text) { return CsvSplitter(text).Split(); }

std::string QuoteCsv(std::string_view cell) {
  if (cell.find_first_of(",\"\r\n") == std::string_view::npos) {
    return std::string(cell);
  }
  std::string quoted = "\"";
  for (char c : cell) {
    if (c == '"') quoted.push_back('"');
    quoted.push_back(c);
  }
  quoted.push_back('"');
  return quoted;
}

}  // namespace kumquatmoor
