#ifndef KUMQUATMOOR_BENCH_MOVE_REPORT_H_
#define KUMQUATMOOR_BENCH_MOVE_REPORT_H_

// What the results of `make moves` add up to, as text and as JSON.

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "move_cases.h"
#include "move_run.h"
#include "quantile.h"

namespace kumquatmoor {

// A count out of a total, with the 95% interval of Wilson.
struct Share {
  uint64_t count = 0;
  uint64_t total = 0;

  void Add(bool hit) {
    ++total;
    if (hit) ++count;
  }
  std::string Text() const;
};

struct Summary {
  Share good_in_time;
  Share bad_taken_back;
  Share false_recalls;
  Share wrong_blame;  // Of a target, though no single one is at fault.
  std::vector<double> harmful;  // Part of the traffic, writes on a bad version.
  std::vector<double> harmed;   // The same, only those that the fault hit.
  std::vector<double> last_harm_s;
  std::vector<double> report_bytes_per_s;  // Bytes per second, a target.

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

// Prints one way to judge, in parts and over all, and each miss if asked to;
// adds it to `report`. Gives the summary over all.
Summary ReportResults(const std::string& way, bool show_misses,
                      const std::vector<Case>& cases,
                      const std::vector<CaseResult>& results,
                      boost::json::object* report);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_BENCH_MOVE_REPORT_H_
