#ifndef KUMQUATMOOR_BENCH_MOVE_REPORT_H_
#define KUMQUATMOOR_BENCH_MOVE_REPORT_H_

// Summaries of the results of `make moves`, as text and as JSON.

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "move_cases.h"
#include "move_run.h"
#include "quantile.h"

namespace kumquatmoor {

// A count out of a total.
struct Proportion {
  uint64_t count = 0;
  uint64_t total = 0;

  void Add(bool hit) {
    ++total;
    if (hit) ++count;
  }
  // The proportion with its 95% Wilson score interval; "-" if the total is 0.
  std::string Text() const;
};

struct Summary {
  Proportion good_in_time;
  Proportion bad_taken_back;
  Proportion false_recalls;
  Proportion wrong_blame;  // Targets excluded though no single one is at fault.
  // Of each case with a bad version: the fraction of all requests that are
  // writes to the bad version, and that are writes which the fault affected.
  std::vector<double> harmful;
  std::vector<double> harmed;
  std::vector<double> last_harm_s;
  std::vector<double> report_bytes_per_s;  // Per target.

  void Add(const Case& c, const CaseResult& result) {
    const auto targets = static_cast<double>(2 * c.deployment->targets);
    report_bytes_per_s.push_back(static_cast<double>(result.report_bytes) /
                                 targets / kWatchedSeconds);
    if (c.fault->bad) {
      bad_taken_back.Add(result.recalled);
      const auto calls =
          static_cast<double>(std::max<uint64_t>(1, result.calls));
      harmful.push_back(static_cast<double>(result.writes_on_bad) / calls);
      harmed.push_back(static_cast<double>(result.writes_harmed) / calls);
      if (result.recalled) last_harm_s.push_back(result.last_harm_s);
      return;
    }
    if (!c.fault->one_target) wrong_blame.Add(result.excluded);
    good_in_time.Add(result.full_in_time && !result.recalled);
    false_recalls.Add(result.recalled);
  }
};

// Prints the summary of one analysis method, in parts and over all cases, and
// if `show_misses` each case with the wrong result. Adds it to `report` under
// the name `method` and returns the summary over all cases.
Summary ReportResults(const std::string& method, bool show_misses,
                      const std::vector<Case>& cases,
                      const std::vector<CaseResult>& results,
                      boost::json::object* report);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_BENCH_MOVE_REPORT_H_
