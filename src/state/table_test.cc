#include "kumquatmoor/state/table.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>

#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

constexpr int64_t kNow = 1'800'000'000'000;
constexpr char kHeader[] =
    "service,version,weight,max_concurrent,max_rate,move_by\r\n";

std::vector<std::string> ProblemsOf(const std::string& csv,
                                    const Batch& current = {}) {
  const ParsedTable parsed = ParseCsv(csv, kNow);
  std::vector<std::string> problems;
  for (const auto& p : parsed.problems) problems.push_back(ProblemText(p));
  if (!problems.empty()) return problems;
  for (const auto& p : CheckTable(parsed.rows, current, kNow)) {
    problems.push_back(ProblemText(p));
  }
  return problems;
}

TEST_CASE("CSV is parsed as spreadsheets save it") {
  const ParsedTable parsed = ParseCsv(
      "\xEF\xBB\xBFversion,service,weight,move_by\r\n"
      "v1,\"listings\",40,\r\n\r\n"
      "v2,listings,60,\"2030-01-01 00:00:00\"\n"
      "\"v\"\"3\",x,1,\r\n",
      kNow);
  REQUIRE(parsed.rows.size() == 2);
  CHECK(parsed.rows[0].service == "listings");
  CHECK(parsed.rows[0].weight == 40);
  CHECK(parsed.rows[1].move_by_ms == 1'893'456'000'000);
  CHECK(parsed.rows[1].line == 4);
  REQUIRE(parsed.problems.size() == 1);
  CHECK(ProblemText(parsed.problems[0]) ==
        "line 5, column version: \"v\"3\" is not a name of 1 to 64 letters, "
        "digits, '-', '_' or '.'");
}

TEST_CASE("An invalid table is refused with line and column") {
  struct Case {
    const char* rows;
    const char* problem;
  };
  const Case cases[] = {
      {"a,v1,50,,,\r\n",
       "line 2, column weight: the weights of service a add "
       "up to 50, not 100"},
      {"a,v1,101,,,\r\n",
       "line 2, column weight: \"101\" is not a whole number from 0 to 100"},
      {"a,v1,-1,,,\r\n",
       "line 2, column weight: \"-1\" is not a whole number from 0 to 100"},
      {"a,v1,100,x,,\r\n",
       "line 2, column max_concurrent: \"x\" is not a "
       "whole number from 0 to 10000000"},
      {"a,v1,50,,,\r\na,v1,50,,,\r\n",
       "line 3, column version: a/v1 is named twice"},
      {"a,v1,100,,,2001-01-01 00:00:00\r\n",
       "line 2, column move_by: the deadline 2001-01-01T00:00:00Z is past"},
      {"a,v1,100,,,soon\r\n",
       "line 2, column move_by: \"soon\" is not a time "
       "such as 2026-05-01 12:00:00 or +30s"},
      {"a,v1,100,,,,9\r\n", "line 2, more cells than the header has columns"},
      {"a,v1,\"100,,,\r\n", "line 2, a quote is not closed"},
  };
  for (const auto& c : cases) {
    INFO(c.rows);
    CHECK(ProblemsOf(std::string(kHeader) + c.rows) ==
          std::vector<std::string>{c.problem});
  }
  CHECK(ProblemsOf("") == std::vector<std::string>{"the table is empty"});
  CHECK(ProblemsOf("service,weight\na,100\n") ==
        std::vector<std::string>{
            "line 1, column version: the column is missing"});
  CHECK(ProblemsOf("service,version,weight,colour\n") ==
        std::vector<std::string>{
            "line 1, column colour: there is no such column"});
}

TEST_CASE("All problems of a table are reported at once") {
  CHECK(
      ProblemsOf(std::string(kHeader) + "a,v1,x,y,z,w\r\nb,,1,,,\r\n").size() ==
      5);
}

TEST_CASE("A service without rows is refused unless it is removable") {
  const Batch current = BuildBatch(
      {}, std::vector<TableRow>{{"a", "v1", 100}, {"b", "v1", 100}}, {}, {});
  CHECK(ProblemsOf(std::string(kHeader) + "a,v1,100,,,\r\n", current) ==
        std::vector<std::string>{"column service: service b has no row left"});
  const auto rows = ParseCsv(std::string(kHeader) + "a,v1,100,,,", kNow).rows;
  const std::vector<std::string> removable = {"b"};
  CHECK(CheckTable(rows, current, kNow, removable).empty());
}

TEST_CASE("A past deadline is accepted in an unchanged row") {
  std::vector<TableRow> rows = {{"a", "v1", 100, 0, 0, kNow + 1}};
  const Batch current = BuildBatch({}, rows, {}, {});
  CHECK(CheckTable(rows, current, kNow + 5, {}).empty());
  rows[0].max_rate = 7;
  CHECK(CheckTable(rows, current, kNow + 5, {}).size() == 1);
}

TEST_CASE("Times and delays are parsed, other texts are refused") {
  CHECK(ParseTime("+30s", kNow) == kNow + 30'000);
  CHECK(ParseTime("+10m", kNow) == kNow + 600'000);
  CHECK(ParseTime("+2h", kNow) == kNow + 7'200'000);
  for (const char* text : {"+s", "30s", "+3d", "", "2026-13-01 00:00:00"}) {
    CHECK_FALSE(ParseTime(text, kNow));
  }
  CHECK(FormatTime(1'893'456'000'000) == "2030-01-01T00:00:00Z");
}

rc::Gen<std::vector<TableRow>> GenRows() {
  // Few names and values, so that two tables often have rows in common. A cell
  // of 0 means that there is no row.
  return rc::gen::map(
      rc::gen::container<std::vector<uint32_t>>(
          9, rc::gen::inRange<uint32_t>(0, 7)),
      [](const std::vector<uint32_t>& cells) {
        std::vector<TableRow> rows;
        for (size_t i = 0; i < cells.size(); ++i) {
          if (cells[i] == 0) continue;
          rows.push_back({.service = "s" + std::to_string(i / 3),
                          .version = "v" + std::to_string(i % 3),
                          .weight = cells[i] % 3,
                          .max_rate = cells[i] / 3});
        }
        return rows;
      });
}

// Weight and max_rate by "service/version", for comparison.
using Cells = std::map<std::string, std::pair<uint32_t, uint32_t>>;
Cells CellsOf(const std::vector<TableRow>& rows) {
  Cells cells;
  for (const auto& r : rows) {
    cells[r.service + "/" + r.version] = {r.weight, r.max_rate};
  }
  return cells;
}

TEST_CASE("CSV that was written is parsed to the same rows") {
  CHECK(rc::check([] {
    const auto rows = *GenRows();
    const ParsedTable parsed = ParseCsv(WriteCsv(rows, 7), kNow);
    RC_ASSERT(parsed.problems.empty());
    RC_ASSERT(CellsOf(parsed.rows) == CellsOf(rows));
    RC_ASSERT(rows.empty() || parsed.revision == 7U);
  }));
}

TEST_CASE("Any bytes are parsed without a crash or an invalid weight") {
  CHECK(rc::check([](const std::string& bytes) {
    const ParsedTable parsed = ParseCsv(kHeader + bytes, kNow);
    for (const auto& row : parsed.rows) {
      RC_ASSERT(row.weight <= kFullWeight);
    }
  }));
}

TEST_CASE("A merge takes each row from the side that changed it") {
  CHECK(rc::check([] {
    const auto base = *GenRows();
    const auto mine = *GenRows();
    const auto theirs = *GenRows();
    const MergedTable merged = MergeTables(base, mine, theirs);
    const Cells base_cells = CellsOf(base);
    const Cells my_cells = CellsOf(mine);
    const Cells their_cells = CellsOf(theirs);
    Cells expected;
    size_t conflicts = 0;
    Cells all = base_cells;
    all.insert(my_cells.begin(), my_cells.end());
    all.insert(their_cells.begin(), their_cells.end());
    for (const auto& [key, unused] : all) {
      const auto at = [&key = key](const Cells& cells) {
        return cells.count(key) > 0 ? std::optional(cells.at(key))
                                    : std::nullopt;
      };
      if (at(my_cells) != at(base_cells) && at(their_cells) != at(base_cells) &&
          at(my_cells) != at(their_cells)) {
        ++conflicts;
      } else if (const auto kept = at(my_cells) != at(base_cells)
                                       ? at(my_cells)
                                       : at(their_cells)) {
        expected[key] = *kept;
      }
    }
    RC_ASSERT(merged.conflicts.size() == conflicts);
    RC_ASSERT(CellsOf(merged.rows) == expected);
  }));
}

TEST_CASE("Damaged CSV gives problems, or rows that survive a round trip",
          "[fuzz]") {
  const std::string good =
      "service,version,weight,max_concurrent,max_rate,move_by\r\n"
      "bookings,v1,0,,,\r\n\"bookings\",v2,100,10,20,2030-01-01T00:00:00Z\r\n"
      "\"a.b\",v1,100,,,\r\n";
  const std::string fragments = "\",\r\n;0123456789-+.\xEF\xBB\xBF \xFF";
  for (const auto& problem : ParseCsv(good, 0).problems) {
    FAIL(ProblemText(problem));
  }
  std::mt19937_64 rng(1);
  size_t refused = 0;
  size_t accepted = 0;
  for (int i = 0; i < 40'000; ++i) {
    std::string text = good;
    for (uint64_t n = 1 + rng() % 6; n > 0 && !text.empty(); --n) {
      const size_t at = rng() % text.size();
      const size_t length = 1 + rng() % 12;
      switch (rng() % 4) {
        case 0:
          text[at] = fragments[rng() % fragments.size()];
          break;
        case 1:
          text.erase(at, length);
          break;
        case 2:
          text.insert(at, text.substr(rng() % text.size(), length));
          break;
        default:
          text.insert(at, 1, fragments[rng() % fragments.size()]);
      }
    }
    const ParsedTable parsed = ParseCsv(text, 0);
    if (!parsed.problems.empty()) {
      ++refused;
      continue;
    }
    ++accepted;
    const ParsedTable again = ParseCsv(WriteCsv(parsed.rows, 7), 0);
    INFO(text);
    REQUIRE(again.problems.empty());
    REQUIRE(again.rows.size() == parsed.rows.size());
    for (size_t row = 0; row < parsed.rows.size(); ++row) {
      REQUIRE(again.rows[row].HasSameCells(parsed.rows[row]));
    }
  }
  CHECK(refused > 1'000);
  CHECK(accepted > 1'000);
}

}  // namespace
}  // namespace kumquatmoor
