// moves: runs the decision code of a move (analyzers, stages, routes, choice of
// target) over seeds, faults and conditions on a virtual clock. Counts how
// often a good version reaches full stage by its deadline and a bad one is
// recalled. The same cases run with the product's sequential tests and, as a
// reference, with fixed thresholds.

#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <boost/json.hpp>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>
#include <vector>

#include "fixed_thresholds.h"
#include "kumquatmoor/coordination/canary_analyzer.h"
#include "move_cases.h"
#include "move_report.h"
#include "move_run.h"

DEFINE_uint64(seeds, 12, "Seeds per deployment, request rate and fault.");
DEFINE_uint64(first_seed, 1, "The lowest seed.");
DEFINE_string(output, "", "File for the JSON report.");
DEFINE_string(only, "", "Run only the fault of this name.");
DEFINE_bool(show_misses, true, "Print each case with the wrong result.");

namespace kumquatmoor {
namespace {

namespace json = boost::json;

template <typename Analyzer>
std::vector<CaseResult> RunAll(const std::vector<Case>& cases) {
  std::vector<CaseResult> results(cases.size());
  std::atomic<size_t> next{0};
  std::vector<std::future<void>> workers;
  for (unsigned i = 0; i < std::thread::hardware_concurrency(); ++i) {
    workers.push_back(std::async(std::launch::async, [&] {
      for (size_t index = next++; index < cases.size(); index = next++) {
        results[index] = MoveRun<Analyzer>(cases[index]).Run();
      }
    }));
  }
  for (auto& worker : workers) worker.get();
  return results;
}

int Main() {
  const auto cases = AllCases({.seeds = FLAGS_seeds,
                               .first_seed = FLAGS_first_seed,
                               .only = FLAGS_only});
  json::object report;
  ReportResults("fixed thresholds", false, cases,
                RunAll<FixedThresholds>(cases), &report);
  const Summary all = ReportResults("sequential", FLAGS_show_misses, cases,
                                    RunAll<CanaryAnalyzer>(cases), &report);
  if (!FLAGS_output.empty()) {
    std::ofstream(FLAGS_output) << json::serialize(report) << "\n";
  }
  std::cout << fmt::format(
      "moves: good_in_time={}/{} bad_taken_back={}/{} false_recalls={}/{} "
      "p99_harmful={:.5f}\n",
      all.good_in_time.count, all.good_in_time.total, all.bad_taken_back.count,
      all.bad_taken_back.total, all.false_recalls.count,
      all.false_recalls.total, Quantile(all.harmful, 0.99));
  return 0;
}

}  // namespace
}  // namespace kumquatmoor

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  spdlog::set_level(spdlog::level::off);
  return kumquatmoor::Main();
}
